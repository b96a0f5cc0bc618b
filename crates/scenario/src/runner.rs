//! Runs a scenario and checks its expectations.

mod expectations;

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::calls::{CallRequest, Executed, OpenRequest, Reply, Request};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::digest;
use camphorwalk_core::ids::{ProgramId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::OperatorRequest;

use crate::fleet_config::{TEMPLATE, config};
use crate::language::{CallSpec, Command, HostRef, Scenario, SequenceSpec};
use crate::record::instant;
use crate::world::faults::PLATFORM;
use crate::world::{ProcessState, World};

/// Time for the fleet to start before the scenario begins.
pub const STARTUP_TIME: Duration = Duration::from_secs(10);

/// When a caller retries a call that got no answer, or a refusal without a retry time.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// A digest of the steps of all hosts and of all answers; equal for equal runs.
    pub trace_digest: u64,
    /// How many events the schedulers of all hosts processed.
    pub steps: u64,
    /// The failed expectations with their line numbers, and violated invariants.
    pub failures: Vec<String>,
}

/// What the callers of a program know about it.
struct ProgramState {
    id: ProgramId,
    tenant: Box<str>,
    deadline: Instant,
    /// The number of the last call whose answer the callers received.
    head: u32,
    /// The sealed turns that are not stored yet, as returned with that answer.
    tail: Option<Box<str>>,
}

/// A call sequence in progress.
struct CallSequence {
    spec: SequenceSpec,
    /// Calls that need no further attempt, whether they succeeded or were given up.
    completed: u32,
    retries: usize,
    pending_request: Option<u64>,
    next_at: Option<Instant>,
}

/// A scenario in progress.
struct ScenarioRun<'a> {
    scenario: &'a Scenario,
    world: World,
    config: Config,
    programs: BTreeMap<Box<str>, ProgramState>,
    sequences: Vec<CallSequence>,
    publications: BTreeMap<Box<str>, u64>,
    /// The programs of call requests that are not answered yet, by request number.
    pending_calls: BTreeMap<u64, Box<str>>,
}

/// Runs a scenario.
///
/// ```
/// use camphorwalk_scenario::{language::parse, runner::run};
/// let text = "hosts a1\nat 1s open P at a1\nat 2s call P at a1 key=k\n\
///             until 5s\nexpect answer k called\n";
/// let outcome = run(&parse("x.txt", text).unwrap());
/// assert!(outcome.failures.is_empty(), "{:?}", outcome.failures);
/// ```
pub fn run(scenario: &Scenario) -> Outcome {
    let config = config(&scenario.zones(), &scenario.tenants);
    let mut run = ScenarioRun {
        scenario,
        world: World::start(&scenario.hosts, &config),
        config,
        programs: BTreeMap::new(),
        sequences: Vec::new(),
        publications: BTreeMap::new(),
        pending_calls: BTreeMap::new(),
    };

    for step in &scenario.steps {
        run.advance(instant(STARTUP_TIME + step.at));
        run.execute(&step.command);
    }
    run.advance(instant(STARTUP_TIME + scenario.until));
    let failures = run.check_expectations();

    Outcome { trace_digest: run.world.trace_digest(), steps: run.world.record.steps, failures }
}

impl ScenarioRun<'_> {
    /// Advances virtual time to `end`; callers act on their answers meanwhile.
    fn advance(&mut self, end: Instant) {
        loop {
            // A host may answer a request in the step that delivers it, before the world runs on.
            self.process_answers();
            let due = self.sequences.iter().filter_map(|sequence| sequence.next_at).min();
            let next = due.map_or(end, |at| at.min(end)).max(self.world.now());
            let reached = self.world.run_until(next);
            if !reached {
                continue;
            }

            let now = self.world.now();
            let due = |sequence: &CallSequence| sequence.next_at.is_some_and(|at| at <= now);
            let due: Vec<_> =
                (0..self.sequences.len()).filter(|i| due(&self.sequences[*i])).collect();
            if due.is_empty() && now >= end {
                return;
            }
            due.into_iter().for_each(|index| self.continue_sequence(index));
        }
    }

    fn host(&self, host: &HostRef) -> usize {
        match host {
            HostRef::Name(name) => self.world.host(name).expect("the parser checks host names"),
            HostRef::Home(program) => {
                let id = program_id(program, self.tenant_of(program));
                self.world.home(id).expect("a host is the home of the program")
            }
        }
    }

    fn tenant_of(&self, program: &str) -> &str {
        self.programs.get(program).map_or("t1", |program_state| &program_state.tenant)
    }

    fn execute(&mut self, command: &Command) {
        match command {
            Command::Open { program, host, tenant, api_key, deadline } => {
                let host = self.host(host);
                self.open(program, host, tenant, api_key, *deadline);
            }
            Command::Call { call, host } => {
                let host = self.host(host);
                self.call(call, host);
            }
            Command::CallSequence(spec) => self.sequences.push(CallSequence {
                spec: spec.clone(),
                completed: 0,
                retries: 0,
                pending_request: None,
                next_at: Some(self.world.now()),
            }),
            Command::DisconnectCallers { key } => {
                let record = &self.world.record;
                let of_key = record.submissions.iter().filter(|(_, s)| s.call_key() == Some(key));
                let numbers: Vec<_> = of_key.map(|(number, _)| *number).collect();
                numbers.into_iter().for_each(|number| self.world.disconnect_caller(number));
            }
            Command::Kill(host) => self.world.kill(self.host(host)),
            Command::Restart(host) => self.world.restart(self.host(host)),
            Command::Pause(host, wait) => self.world.pause(self.host(host), *wait),
            Command::Resume(host) => self.world.resume(self.host(host)),
            Command::Drain(host) => self.world.drain(self.host(host)),
            Command::NetworkPartition(a, b) => self.world.start_network_partition(a, b),
            Command::Heal => self.world.heal(),
            Command::Platform(zone, mode) => {
                let zones = self.scenario.zones();
                for z in zones.iter().filter(|z| zone.as_ref().is_none_or(|zone| zone == *z)) {
                    self.world.set_platform(z, *mode);
                }
                debug_assert!(!zones.contains(PLATFORM));
            }
            Command::Target(name, mode) => {
                assert!(self.world.set_target(name, *mode), "there is no target `{name}`");
            }
            Command::InjectFault(injection) => self.world.inject_fault(*injection),
            Command::Publish { name, host, base, leaving_target } => {
                let mut config = self.config.clone();
                for target in &mut config.targets {
                    target.leaving |= Some(&target.name) == leaving_target.as_ref();
                }
                self.config = config.clone();
                let request = self.world.publish(self.host(host), *base, config);
                self.publications.insert(name.clone(), request);
            }
            Command::Withdraw { key, host } => {
                let request = OperatorRequest::Withdraw { key: key.clone() };
                self.world.send_operator_request(self.host(host), request);
            }
        }
    }

    fn open(
        &mut self,
        program: &str,
        host: usize,
        tenant: &str,
        api_key: &str,
        deadline: Duration,
    ) {
        let id = program_id(program, tenant);
        let open = OpenRequest {
            program: id,
            template: TEMPLATE.into(),
            deadline,
            parent: None,
            repeatable: true,
        };
        self.programs.entry(program.into()).or_insert_with(|| ProgramState {
            id,
            tenant: tenant.into(),
            deadline: self.world.now() + deadline,
            head: 0,
            tail: None,
        });
        self.world.request(host, tenant, api_key, Request::Open(open), deadline);
    }

    fn call(&mut self, call: &CallSpec, host: usize) -> u64 {
        let program_state =
            self.programs.get(&call.program).expect("the scenario opens the program first");
        let input = format!("\"{}/{}/{}\"", call.program, call.key, call.input);
        let body = digest(&[call.target.as_bytes(), input.as_bytes()]);
        let request = CallRequest {
            program: program_state.id,
            key: call.key.clone(),
            after: call.after.unwrap_or(program_state.head),
            target: call.target.clone(),
            input: input.into(),
            max_tokens: None,
            stream: false,
            tail: program_state.tail.clone(),
            body,
        };
        let time_left = program_state.deadline.since(self.world.now());
        let (tenant, api_key) = (program_state.tenant.clone(), &call.api_key);
        let number = self.world.request(host, &tenant, api_key, Request::Call(request), time_left);
        self.pending_calls.insert(number, call.program.clone());

        number
    }

    /// Makes the next call of a sequence, or retries the current one.
    fn continue_sequence(&mut self, index: usize) {
        let sequence = &mut self.sequences[index];
        sequence.next_at = None;
        if sequence.completed == sequence.spec.count {
            return;
        }
        let mut call = sequence.spec.call.clone();
        call.key = format!("{}-{}", call.key, sequence.completed + 1).into();
        let via = &sequence.spec.via;
        let first = sequence.completed as usize + sequence.retries;
        let hosts = (0..via.len()).map(|i| &via[(first + i) % via.len()]);
        let hosts: Vec<_> = hosts.filter_map(|name| self.world.host(name)).collect();

        // A load balancer sends no requests to a host that is down.
        let up = hosts.iter().find(|host| self.world.state(**host) != ProcessState::Down);
        let number = self.call(&call, *up.unwrap_or(&hosts[0]));
        self.sequences[index].pending_request = Some(number);
    }

    /// Passes new answers on to the callers that wait for them.
    fn process_answers(&mut self) {
        let finished: Vec<_> = self
            .pending_calls
            .keys()
            .filter_map(|number| {
                let submission = &self.world.record.submissions[number];
                let reply = submission.answer().cloned();
                (reply.is_some() || submission.abandoned).then_some((*number, reply))
            })
            .collect();

        for (number, reply) in finished {
            let program = self.pending_calls.remove(&number).expect("the number was listed above");
            if let (Some(Reply::Called(called)), Some(program_state)) =
                (&reply, self.programs.get_mut(&program))
                && called.call > program_state.head
            {
                program_state.head = called.call;
                program_state.tail = called.tail.clone();
            }
            let is_pending = |sequence: &CallSequence| sequence.pending_request == Some(number);
            if let Some(index) = self.sequences.iter().position(is_pending) {
                self.on_sequence_answer(index, reply);
            }
        }
    }

    fn on_sequence_answer(&mut self, index: usize, reply: Option<Reply>) {
        let now = self.world.now();
        let sequence = &mut self.sequences[index];
        sequence.pending_request = None;

        let (finished, wait) = match reply {
            Some(Reply::Refused(refusal)) => {
                let must_not_retry =
                    refusal.ran != Executed::No && &*sequence.spec.call.target == "deposit";
                let wait = refusal.retry_after.unwrap_or(RETRY_AFTER).max(RETRY_AFTER / 10);
                (sequence.spec.skip_refused || must_not_retry, wait)
            }
            Some(_) => (true, sequence.spec.interval),
            None => (false, RETRY_AFTER),
        };
        if finished {
            sequence.completed += 1;
            sequence.retries = 0;
        } else {
            sequence.retries += 1;
        }
        let wait = if sequence.spec.skip_refused { sequence.spec.interval } else { wait };
        sequence.next_at = Some(now + wait.max(Duration::from_millis(1)));
    }
}

fn program_id(program: &str, tenant: &str) -> ProgramId {
    ProgramId::from_open_key(TenantId::from_name(tenant), program)
}
