//! The simulated fleet of the fuzz test, and callers that keep the state they got from answers.

use std::time::Duration;

use camphorwalk_core::calls::{CallRequest, OpenRequest, Reply, Request};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::digest;
use camphorwalk_core::ids::{KeyId, ProgramId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::OperatorRequest;
use camphorwalk_scenario::checks;
use camphorwalk_scenario::fleet_config::{TEMPLATE, TenantSpec, config};
use camphorwalk_scenario::record::instant;
use camphorwalk_scenario::world::faults::{PLATFORM, POISON, PlatformMode, TargetMode};
use camphorwalk_scenario::world::{ProcessState, World};

use crate::Op;

pub const HOSTS: [&str; 4] = ["a1", "a2", "b1", "c1"];
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// The programs: name, tenant, API key.
pub const PROGRAMS: [(&str, &str, &str); 3] =
    [("P", "t1", "k1"), ("Q", "t1", "k2"), ("R", "t2", "k3")];

/// The tenants: name, rate in calls per second, burst.
pub const RATES: [(&str, f64, u32); 2] = [("t1", 3.0, 6), ("t2", 50.0, 50)];

/// Time for the fleet to start.
pub const STARTUP_TIME: Duration = Duration::from_secs(10);

/// The deadline of all programs.
pub const DEADLINE: Duration = Duration::from_secs(150);

/// Time for the fleet to recover once all faults are removed.
pub const RECOVERY_TIME: Duration = Duration::from_secs(20);

/// How soon after its withdrawal a key must be rejected by all hosts.
pub const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(4);

/// How long there must have been no fault before a withdrawal for it to reach all hosts in time.
pub const FAULT_FREE_TIME: Duration = Duration::from_secs(10);

/// What a program's callers know about it.
#[derive(Default)]
struct ProgramState {
    id: Option<ProgramId>,
    head: u32,
    tail: Option<Box<str>>,
    calls: Vec<CallRequest>,
    last_requests: Vec<u64>,
}

/// The system under test: the fleet and its callers.
pub struct Sut {
    pub world: World,
    config: Config,
    programs: [ProgramState; 3],
    /// The last time at which a fault was active.
    last_fault_at: Instant,
    /// Whether a platform fault or a network partition is active.
    fault_active: bool,
    /// The withdrawn keys, each with the time after which hosts may send no call with it.
    pub withdrawn_keys: Vec<(KeyId, Instant)>,
}

impl Sut {
    /// Starts the hosts and opens the programs.
    pub fn start() -> Self {
        let hosts: Vec<_> = HOSTS.iter().map(|name| ((*name).into(), name[..1].into())).collect();
        let tenant = |(name, rate, burst): &(&str, f64, u32)| TenantSpec {
            name: (*name).into(),
            rate: *rate,
            burst: *burst,
            serve_when_cut_off: true,
            keys: keys_of(name),
        };
        let tenants: Vec<_> = RATES.iter().map(tenant).collect();
        let config = config(&ZONES.iter().map(|zone| (*zone).into()).collect(), &tenants);
        let mut sut = Self {
            world: World::start(&hosts, &config),
            config,
            programs: Default::default(),
            last_fault_at: Instant::default(),
            fault_active: false,
            withdrawn_keys: Vec::new(),
        };

        sut.run_until(instant(STARTUP_TIME));
        for (index, (name, tenant, key)) in PROGRAMS.into_iter().enumerate() {
            let id = ProgramId::from_open_key(TenantId::from_name(tenant), name);
            sut.programs[index].id = Some(id);
            let open = OpenRequest {
                program: id,
                template: TEMPLATE.into(),
                deadline: DEADLINE,
                parent: None,
                repeatable: true,
            };
            sut.world.request(index, tenant, key, Request::Open(open), DEADLINE);
        }
        sut.run_until(instant(STARTUP_TIME + Duration::from_secs(1)));

        sut
    }

    fn run_until(&mut self, end: Instant) {
        while !self.world.run_until(end) {
            self.process_answers();
        }
        self.process_answers();

        let is_stopped = |host| self.world.state(host) != ProcessState::Up;
        if self.fault_active || (0..HOSTS.len()).any(is_stopped) {
            self.last_fault_at = self.world.now();
        }
    }

    /// Updates the head and the tail of each program from the answers to its last calls.
    fn process_answers(&mut self) {
        for program_state in &mut self.programs {
            for number in &program_state.last_requests {
                if let Some(Reply::Called(called)) = self.world.record.submissions[number].answer()
                    && called.call > program_state.head
                {
                    program_state.head = called.call;
                    program_state.tail = called.tail.clone();
                }
            }
        }
    }

    /// Executes an operation.
    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Call { program, deposit, poison, hosts } => {
                let call = self.new_call(program, deposit, poison);
                self.programs[program].calls.push(call.clone());
                self.programs[program].last_requests.clear();
                hosts.into_iter().for_each(|host| self.send(program, call.clone(), host));
            }
            Op::Retry { program, nth_last, host } => {
                let calls = &self.programs[program].calls;
                if let Some(call) = calls.iter().rev().nth(nth_last).cloned() {
                    self.send(program, call, host);
                }
            }
            Op::History { program, host } => {
                self.history(program, host);
            }
            Op::DisconnectCallers { program } => {
                let last_requests = self.programs[program].last_requests.clone();
                last_requests.into_iter().for_each(|number| self.world.disconnect_caller(number));
            }
            Op::Kill { host } => self.world.kill(host),
            Op::Restart { host } => self.world.restart(host),
            Op::Pause { host, millis } => {
                self.world.pause(host, Some(Duration::from_millis(millis)));
            }
            Op::Drain { host } => self.world.drain(host),
            Op::PartitionZones { a, b } if a != b => {
                self.start_network_partition(ZONES[a], ZONES[b])
            }
            Op::PartitionZones { .. } => {}
            Op::PartitionPlatform { zone } => self.start_network_partition(ZONES[zone], PLATFORM),
            Op::Heal => {
                self.world.heal();
                ZONES.iter().for_each(|zone| self.world.set_platform(zone, PlatformMode::Normal));
                self.fault_active = false;
            }
            Op::Platform { zone, mode } => {
                self.world.set_platform(ZONES[zone], mode);
                self.fault_active |= mode != PlatformMode::Normal;
            }
            Op::Target { deposit, mode } => {
                self.world.set_target(if deposit { "deposit" } else { "model" }, mode);
            }
            Op::InjectFault(injection) => self.world.inject_fault(injection),
            Op::Publish { hosts } => {
                for (index, host) in hosts.into_iter().enumerate() {
                    let base = self.world.version(host);
                    let mut config = self.config.clone();
                    config.templates[0].max_calls += base as u32 * 2 + index as u32;
                    self.world.publish(host, base, config);
                }
            }
            Op::Withdraw { host } => self.withdraw(host),
            Op::Run { millis } => {
                self.run_until(self.world.now() + Duration::from_millis(millis));
            }
        }
        self.run_until(self.world.now() + Duration::from_millis(5));
    }

    fn start_network_partition(&mut self, a: &str, b: &str) {
        self.world.start_network_partition(a, b);
        self.fault_active = true;
    }

    /// Withdraws the API key of the second program.
    fn withdraw(&mut self, host: usize) {
        let key = PROGRAMS[1].2;
        let now = self.world.now();
        self.world.send_operator_request(host, OperatorRequest::Withdraw { key: key.into() });
        if self.last_fault_at + FAULT_FREE_TIME > now || self.fault_active {
            return;
        }

        // The time limit applies only if no fault is active until all hosts must know the
        // withdrawal.
        self.run_until(now + MAX_WITHDRAWAL_DELAY);
        if self.last_fault_at < now {
            self.withdrawn_keys.push((KeyId::from_name(key), now + MAX_WITHDRAWAL_DELAY));
        }
    }

    fn new_call(&self, program: usize, deposit: bool, poison: bool) -> CallRequest {
        let program_state = &self.programs[program];
        let target = if deposit { "deposit" } else { "model" };
        let key = format!("{}-{}", PROGRAMS[program].0, program_state.calls.len());
        let word = if poison && !deposit { POISON } else { "words" };
        let input = format!("\"{key}/{word}\"");

        CallRequest {
            program: program_state.id.expect("the program is opened"),
            key: key.into(),
            after: program_state.head,
            target: target.into(),
            body: digest(&[target.as_bytes(), input.as_bytes()]),
            input: input.into(),
            max_tokens: None,
            stream: false,
            tail: None,
        }
    }

    fn send(&mut self, program: usize, mut call: CallRequest, host: usize) {
        let (_, tenant, key) = PROGRAMS[program];
        let program_state = &mut self.programs[program];
        call.tail = program_state.tail.clone();
        // A load balancer sends no requests to a host that is down.
        let up = |host: &usize| self.world.state(*host) != ProcessState::Down;
        let host = (host..host + HOSTS.len()).map(|h| h % HOSTS.len()).find(up).unwrap_or(host);
        let deadline = instant(STARTUP_TIME + DEADLINE).since(self.world.now());
        let number = self.world.request(host, tenant, key, Request::Call(call), deadline);
        program_state.last_requests.push(number);
    }

    fn history(&mut self, program: usize, host: usize) -> u64 {
        let (_, tenant, _) = PROGRAMS[program];
        // A key of the same tenant that is never withdrawn: that of the tenant's first program.
        let key =
            PROGRAMS.iter().find(|(_, t, _)| *t == tenant).expect("the tenant has a program").2;
        let id = self.programs[program].id.expect("the program is opened");
        let request = Request::History { program: id, from: 1 };

        self.world.request(host, tenant, key, request, Duration::from_secs(30))
    }

    /// Removes all faults, lets the fleet recover, and requests the histories of all programs.
    /// Returns the numbers of these requests with their programs.
    pub fn recover(&mut self) -> Vec<(u64, ProgramId)> {
        self.world.clear_injected_faults();
        self.apply(Op::Heal);
        self.apply(Op::Target { deposit: true, mode: TargetMode::Normal });
        self.apply(Op::Target { deposit: false, mode: TargetMode::Normal });
        for host in 0..HOSTS.len() {
            self.world.resume(host);
            if self.world.state(host) == ProcessState::Down {
                self.world.restart(host);
            }
        }
        self.run_until(self.world.now() + RECOVERY_TIME);

        // A host that was asked to shut down late may end its process only during the recovery.
        for host in 0..HOSTS.len() {
            if self.world.state(host) == ProcessState::Down {
                self.world.restart(host);
            }
        }
        self.run_until(self.world.now() + RECOVERY_TIME);
        let host = (0..HOSTS.len()).find(|host| self.world.is_ready(*host));
        let host = host.expect("a host is ready");
        let numbers: Vec<_> = (0..PROGRAMS.len())
            .map(|program| {
                let id = self.programs[program].id.expect("the program is opened");
                (self.history(program, host), id)
            })
            .collect();
        self.run_until(self.world.now() + Duration::from_secs(2));
        let end =
            instant(STARTUP_TIME + DEADLINE + checks::MAX_ANSWER_DELAY + Duration::from_secs(1));
        self.run_until(end.max(self.world.now()));

        numbers
    }
}

/// Returns the API keys of a tenant.
fn keys_of(tenant: &str) -> Vec<Box<str>> {
    PROGRAMS.iter().filter(|(_, t, _)| *t == tenant).map(|(_, _, key)| (*key).into()).collect()
}
