//! The hosts of the fuzz, and the callers who remember what they were told.

use std::time::Duration;

use camphorwalk_core::calls::{CallRequest, OpenRequest, Reply, Request};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::digest;
use camphorwalk_core::ids::{KeyId, ProgramId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::OperatorRequest;
use camphorwalk_scenario::checks;
use camphorwalk_scenario::declared::{TEMPLATE, TenantSpec, config};
use camphorwalk_scenario::record::instant;
use camphorwalk_scenario::world::faults::{PLATFORM, POISON, PlatformMode, TargetMode};
use camphorwalk_scenario::world::{State, World};

use crate::Op;

pub const HOSTS: [&str; 4] = ["a1", "a2", "b1", "c1"];
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// The programs, with the tenant and the key of each.
pub const PROGRAMS: [(&str, &str, &str); 3] =
    [("P", "t1", "k1"), ("Q", "t1", "k2"), ("R", "t2", "k3")];

/// The rates and bursts of the tenants.
pub const RATES: [(&str, f64, u32); 2] = [("t1", 3.0, 6), ("t2", 50.0, 50)];

/// How long the fleet has to come up.
pub const COMES_UP: Duration = Duration::from_secs(10);

/// How long after the start the programs' callers wait.
pub const DEADLINE: Duration = Duration::from_secs(150);

/// How long the fleet has to settle once all is healed.
pub const SETTLES: Duration = Duration::from_secs(20);

/// How soon a withdrawn key stops working.
pub const WITHDRAWN_WITHIN: Duration = Duration::from_secs(4);

/// How long faults must be over for a withdrawal to have a path to all hosts.
pub const CALM: Duration = Duration::from_secs(10);

/// What the programs' callers know.
#[derive(Default)]
struct Known {
    id: Option<ProgramId>,
    head: u32,
    tail: Option<Box<str>>,
    calls: Vec<CallRequest>,
    last: Vec<u64>,
}

/// The hosts and their callers.
pub struct Sut {
    pub world: World,
    config: Config,
    programs: [Known; 3],
    /// The last time at which a fault was in force.
    troubled: Instant,
    /// Whether the platform or a cut is in the way.
    in_the_way: bool,
    /// Keys that had to be out of use from some time on.
    pub stopped: Vec<(KeyId, Instant)>,
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
            troubled: Instant::default(),
            in_the_way: false,
            stopped: Vec::new(),
        };

        sut.run_until(instant(COMES_UP));
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
        sut.run_until(instant(COMES_UP + Duration::from_secs(1)));

        sut
    }

    fn run_until(&mut self, end: Instant) {
        while !self.world.run_until(end) {
            self.take_answers();
        }
        self.take_answers();

        let stopped = |host| self.world.state(host) != State::Up;
        if self.in_the_way || (0..HOSTS.len()).any(stopped) {
            self.troubled = self.world.now();
        }
    }

    /// Callers learn the head and the tail from the answers to their last calls.
    fn take_answers(&mut self) {
        for known in &mut self.programs {
            for number in &known.last {
                if let Some(Reply::Called(called)) = self.world.record.submissions[number].answer()
                    && called.call > known.head
                {
                    known.head = called.call;
                    known.tail = called.tail.clone();
                }
            }
        }
    }

    /// Makes a step.
    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Call { program, deposit, poison, hosts } => {
                let call = self.new_call(program, deposit, poison);
                self.programs[program].calls.push(call.clone());
                self.programs[program].last.clear();
                hosts.into_iter().for_each(|host| self.send(program, call.clone(), host));
            }
            Op::Repeat { program, back, host } => {
                let calls = &self.programs[program].calls;
                if let Some(call) = calls.iter().rev().nth(back).cloned() {
                    self.send(program, call, host);
                }
            }
            Op::History { program, host } => {
                self.history(program, host);
            }
            Op::Leave { program } => {
                let last = self.programs[program].last.clone();
                last.into_iter().for_each(|number| self.world.leave(number));
            }
            Op::Kill { host } => self.world.kill(host),
            Op::Restart { host } => self.world.restart(host),
            Op::Pause { host, millis } => {
                self.world.pause(host, Some(Duration::from_millis(millis)));
            }
            Op::Drain { host } => self.world.drain(host),
            Op::CutZones { a, b } if a != b => self.cut(ZONES[a], ZONES[b]),
            Op::CutZones { .. } => {}
            Op::CutPlatform { zone } => self.cut(ZONES[zone], PLATFORM),
            Op::Heal => {
                self.world.heal();
                ZONES.iter().for_each(|zone| self.world.set_platform(zone, PlatformMode::Ok));
                self.in_the_way = false;
            }
            Op::Platform { zone, mode } => {
                self.world.set_platform(ZONES[zone], mode);
                self.in_the_way |= mode != PlatformMode::Ok;
            }
            Op::Target { deposit, mode } => {
                self.world.set_target(if deposit { "deposit" } else { "model" }, mode);
            }
            Op::Trap(trap) => self.world.set_trap(trap),
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

    fn cut(&mut self, a: &str, b: &str) {
        self.world.cut(a, b);
        self.in_the_way = true;
    }

    /// Withdraws the key of the second program.
    fn withdraw(&mut self, host: usize) {
        let key = PROGRAMS[1].2;
        let now = self.world.now();
        self.world.operate(host, OperatorRequest::Withdraw { key: key.into() });
        if self.troubled + CALM > now || self.in_the_way {
            return;
        }

        // It has a path only if nothing goes wrong while it spreads.
        self.run_until(now + WITHDRAWN_WITHIN);
        if self.troubled < now {
            self.stopped.push((KeyId::from_name(key), now + WITHDRAWN_WITHIN));
        }
    }

    fn new_call(&self, program: usize, deposit: bool, poison: bool) -> CallRequest {
        let known = &self.programs[program];
        let target = if deposit { "deposit" } else { "model" };
        let key = format!("{}-{}", PROGRAMS[program].0, known.calls.len());
        let word = if poison && !deposit { POISON } else { "words" };
        let input = format!("\"{key}/{word}\"");

        CallRequest {
            program: known.id.expect("it is opened"),
            key: key.into(),
            after: known.head,
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
        let known = &mut self.programs[program];
        call.tail = known.tail.clone();
        // The balancer sends nothing to a host that is gone.
        let up = |host: &usize| self.world.state(*host) != State::Down;
        let host = (host..host + HOSTS.len()).map(|h| h % HOSTS.len()).find(up).unwrap_or(host);
        let deadline = instant(COMES_UP + DEADLINE).since(self.world.now());
        let number = self.world.request(host, tenant, key, Request::Call(call), deadline);
        known.last.push(number);
    }

    fn history(&mut self, program: usize, host: usize) -> u64 {
        let (_, tenant, _) = PROGRAMS[program];
        // The first program's key is never withdrawn, and is its tenant's.
        let key = PROGRAMS.iter().find(|(_, t, _)| *t == tenant).expect("it has one").2;
        let id = self.programs[program].id.expect("it is opened");
        let request = Request::History { program: id, from: 1 };

        self.world.request(host, tenant, key, request, Duration::from_secs(30))
    }

    /// Heals all, lets the fleet settle, and asks for all histories.
    pub fn settle(&mut self) -> Vec<(u64, ProgramId)> {
        self.world.forget_traps();
        self.apply(Op::Heal);
        self.apply(Op::Target { deposit: true, mode: TargetMode::Ok });
        self.apply(Op::Target { deposit: false, mode: TargetMode::Ok });
        for host in 0..HOSTS.len() {
            self.world.resume(host);
            if self.world.state(host) == State::Down {
                self.world.restart(host);
            }
        }
        self.run_until(self.world.now() + SETTLES);

        // A host told to leave late may still be at it: its callers are sent elsewhere.
        for host in 0..HOSTS.len() {
            if self.world.state(host) == State::Down {
                self.world.restart(host);
            }
        }
        self.run_until(self.world.now() + SETTLES);
        let host = (0..HOSTS.len()).find(|host| self.world.is_ready(*host));
        let host = host.expect("a host serves");
        let numbers: Vec<_> = (0..PROGRAMS.len())
            .map(|program| {
                let id = self.programs[program].id.expect("it is opened");
                (self.history(program, host), id)
            })
            .collect();
        self.run_until(self.world.now() + Duration::from_secs(2));
        let end = instant(COMES_UP + DEADLINE + checks::ANSWER_BOUND + Duration::from_secs(1));
        self.run_until(end.max(self.world.now()));

        numbers
    }
}

/// Returns the keys of a tenant.
fn keys_of(tenant: &str) -> Vec<Box<str>> {
    PROGRAMS.iter().filter(|(_, t, _)| *t == tenant).map(|(_, _, key)| (*key).into()).collect()
}
