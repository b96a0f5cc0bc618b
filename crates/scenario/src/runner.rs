//! Runs a story and judges it.

mod judge;

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::calls::{CallRequest, Executed, OpenRequest, Reply, Request};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::digest;
use camphorwalk_core::ids::{ProgramId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::OperatorRequest;

use crate::declared::{TEMPLATE, config};
use crate::record::instant;
use crate::story::{CallSpec, Command, DriveSpec, HostRef, Story};
use crate::world::faults::PLATFORM;
use crate::world::{State, World};

/// How long the fleet has to come up before a story begins.
pub const COMES_UP: Duration = Duration::from_secs(10);

/// When a caller repeats a call whose host went away or gave no time.
const REPEAT_AFTER: Duration = Duration::from_millis(500);

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// A digest of all that happened.
    pub trace: u64,
    /// Steps that hosts made.
    pub steps: u64,
    /// What was found wrong, with the line that expected otherwise.
    pub faults: Vec<String>,
}

/// What the callers of a program know.
struct Known {
    id: ProgramId,
    tenant: Box<str>,
    deadline: Instant,
    /// The last call seen.
    head: u32,
    tail: Option<Box<str>>,
}

/// A row of calls under way.
struct Drive {
    spec: DriveSpec,
    /// Calls that are over.
    done: u32,
    tries: usize,
    waits_for: Option<u64>,
    next_at: Option<Instant>,
}

/// A story under way.
struct Run<'a> {
    story: &'a Story,
    world: World,
    config: Config,
    programs: BTreeMap<Box<str>, Known>,
    drives: Vec<Drive>,
    publications: BTreeMap<Box<str>, u64>,
    /// Requests of calls that are not answered yet, by program.
    open: BTreeMap<u64, Box<str>>,
}

/// Runs a story.
///
/// ```
/// use camphorwalk_scenario::{runner::run, story::parse};
/// let text = "hosts a1\nat 1s open P at a1\nat 2s call P at a1 key=k\n\
///             until 5s\nexpect answer k called\n";
/// let outcome = run(&parse("x.txt", text).unwrap());
/// assert!(outcome.faults.is_empty(), "{:?}", outcome.faults);
/// ```
pub fn run(story: &Story) -> Outcome {
    let config = config(&story.zones(), &story.tenants);
    let mut run = Run {
        story,
        world: World::start(&story.hosts, &config),
        config,
        programs: BTreeMap::new(),
        drives: Vec::new(),
        publications: BTreeMap::new(),
        open: BTreeMap::new(),
    };

    for step in &story.steps {
        run.advance(instant(COMES_UP + step.at));
        run.carry_out(&step.command);
    }
    run.advance(instant(COMES_UP + story.until));
    let faults = run.judge();

    Outcome { trace: run.world.trace(), steps: run.world.record.steps, faults }
}

impl Run<'_> {
    /// Lets time pass, while callers act on their answers.
    fn advance(&mut self, end: Instant) {
        loop {
            // A host may have answered in the same step as it was asked.
            self.take_answers();
            let due = self.drives.iter().filter_map(|drive| drive.next_at).min();
            let next = due.map_or(end, |at| at.min(end)).max(self.world.now());
            let reached = self.world.run_until(next);
            if !reached {
                continue;
            }

            let now = self.world.now();
            let due = |drive: &Drive| drive.next_at.is_some_and(|at| at <= now);
            let due: Vec<_> = (0..self.drives.len()).filter(|i| due(&self.drives[*i])).collect();
            if due.is_empty() && now >= end {
                return;
            }
            due.into_iter().for_each(|index| self.drive(index));
        }
    }

    fn host(&self, host: &HostRef) -> usize {
        match host {
            HostRef::Name(name) => self.world.host(name).expect("the reader checks names"),
            HostRef::Home(program) => {
                let id = program_id(program, self.tenant_of(program));
                self.world.home(id).expect("the program has a home")
            }
        }
    }

    fn tenant_of(&self, program: &str) -> &str {
        self.programs.get(program).map_or("t1", |known| &known.tenant)
    }

    fn carry_out(&mut self, command: &Command) {
        match command {
            Command::Open { program, host, tenant, with, deadline } => {
                let host = self.host(host);
                self.open(program, host, tenant, with, *deadline);
            }
            Command::Call { call, host } => {
                let host = self.host(host);
                self.call(call, host);
            }
            Command::Drive(spec) => self.drives.push(Drive {
                spec: spec.clone(),
                done: 0,
                tries: 0,
                waits_for: None,
                next_at: Some(self.world.now()),
            }),
            Command::Leave { key } => {
                let record = &self.world.record;
                let of_key = record.submissions.iter().filter(|(_, s)| s.call_key() == Some(key));
                let numbers: Vec<_> = of_key.map(|(number, _)| *number).collect();
                numbers.into_iter().for_each(|number| self.world.leave(number));
            }
            Command::Kill(host) => self.world.kill(self.host(host)),
            Command::Restart(host) => self.world.restart(self.host(host)),
            Command::Pause(host, wait) => self.world.pause(self.host(host), *wait),
            Command::Resume(host) => self.world.resume(self.host(host)),
            Command::Drain(host) => self.world.drain(self.host(host)),
            Command::Cut(a, b) => self.world.cut(a, b),
            Command::Heal => self.world.heal(),
            Command::Platform(zone, mode) => {
                let zones = self.story.zones();
                for z in zones.iter().filter(|z| zone.as_ref().is_none_or(|zone| zone == *z)) {
                    self.world.set_platform(z, *mode);
                }
                debug_assert!(!zones.contains(PLATFORM));
            }
            Command::Target(name, mode) => {
                assert!(self.world.set_target(name, *mode), "there is no target `{name}`");
            }
            Command::Trap(trap) => self.world.set_trap(*trap),
            Command::Publish { name, host, base, leave } => {
                let mut config = self.config.clone();
                for target in &mut config.targets {
                    target.leaving |= Some(&target.name) == leave.as_ref();
                }
                self.config = config.clone();
                let ask = self.world.publish(self.host(host), *base, config);
                self.publications.insert(name.clone(), ask);
            }
            Command::Withdraw { key, host } => {
                let request = OperatorRequest::Withdraw { key: key.clone() };
                self.world.operate(self.host(host), request);
            }
        }
    }

    fn open(&mut self, program: &str, host: usize, tenant: &str, with: &str, deadline: Duration) {
        let id = program_id(program, tenant);
        let open = OpenRequest {
            program: id,
            template: TEMPLATE.into(),
            deadline,
            parent: None,
            repeatable: true,
        };
        self.programs.entry(program.into()).or_insert_with(|| Known {
            id,
            tenant: tenant.into(),
            deadline: self.world.now() + deadline,
            head: 0,
            tail: None,
        });
        self.world.request(host, tenant, with, Request::Open(open), deadline);
    }

    fn call(&mut self, call: &CallSpec, host: usize) -> u64 {
        let known = self.programs.get(&call.program).expect("the story opens it first");
        let input = format!("\"{}/{}/{}\"", call.program, call.key, call.input);
        let body = digest(&[call.target.as_bytes(), input.as_bytes()]);
        let request = CallRequest {
            program: known.id,
            key: call.key.clone(),
            after: call.after.unwrap_or(known.head),
            target: call.target.clone(),
            input: input.into(),
            max_tokens: None,
            stream: false,
            tail: known.tail.clone(),
            body,
        };
        let left = known.deadline.since(self.world.now());
        let (tenant, with) = (known.tenant.clone(), &call.with);
        let number = self.world.request(host, &tenant, with, Request::Call(request), left);
        self.open.insert(number, call.program.clone());

        number
    }

    /// Makes the next call of a row, or repeats the last.
    fn drive(&mut self, index: usize) {
        let drive = &mut self.drives[index];
        drive.next_at = None;
        if drive.done == drive.spec.count {
            return;
        }
        let mut call = drive.spec.call.clone();
        call.key = format!("{}-{}", call.key, drive.done + 1).into();
        let via = &drive.spec.via;
        let first = drive.done as usize + drive.tries;
        let hosts = (0..via.len()).map(|i| &via[(first + i) % via.len()]);
        let hosts: Vec<_> = hosts.filter_map(|name| self.world.host(name)).collect();

        // The balancer sends nothing to a host that is gone.
        let up = hosts.iter().find(|host| self.world.state(**host) != State::Down);
        let number = self.call(&call, *up.unwrap_or(&hosts[0]));
        self.drives[index].waits_for = Some(number);
    }

    /// Tells callers of the answers that came.
    fn take_answers(&mut self) {
        let over: Vec<_> = self
            .open
            .keys()
            .filter_map(|number| {
                let submission = &self.world.record.submissions[number];
                let reply = submission.answer().cloned();
                (reply.is_some() || submission.cut).then_some((*number, reply))
            })
            .collect();

        for (number, reply) in over {
            let program = self.open.remove(&number).expect("it is one of these");
            if let (Some(Reply::Called(called)), Some(known)) =
                (&reply, self.programs.get_mut(&program))
                && called.call > known.head
            {
                known.head = called.call;
                known.tail = called.tail.clone();
            }
            let waits = |drive: &Drive| drive.waits_for == Some(number);
            if let Some(index) = self.drives.iter().position(waits) {
                self.driven(index, reply);
            }
        }
    }

    fn driven(&mut self, index: usize, reply: Option<Reply>) {
        let now = self.world.now();
        let drive = &mut self.drives[index];
        drive.waits_for = None;

        let (over, wait) = match reply {
            Some(Reply::Refused(refusal)) => {
                let lost = refusal.ran != Executed::No && &*drive.spec.call.target == "deposit";
                let wait = refusal.retry_after.unwrap_or(REPEAT_AFTER).max(REPEAT_AFTER / 10);
                (drive.spec.drop || lost, wait)
            }
            Some(_) => (true, drive.spec.every),
            None => (false, REPEAT_AFTER),
        };
        if over {
            drive.done += 1;
            drive.tries = 0;
        } else {
            drive.tries += 1;
        }
        let wait = if drive.spec.drop { drive.spec.every } else { wait };
        drive.next_at = Some(now + wait.max(Duration::from_millis(1)));
    }
}

fn program_id(program: &str, tenant: &str) -> ProgramId {
    ProgramId::from_open_key(TenantId::from_name(tenant), program)
}
