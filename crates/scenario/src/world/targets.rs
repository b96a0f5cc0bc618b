//! Simulated targets: engines that put the program and call number into their output, and plain
//! services with a ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::calls::Usage;
use camphorwalk_core::config::{Config, TargetKind};
use camphorwalk_core::ids::{AttemptId, TargetId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::scheduler::Event;
use camphorwalk_policy::shared_types::{AttemptOutcome, AttemptPayload, Dispatch};

use super::{ScheduledEvent, World};
use crate::record::Sent;

/// The network delay between a host and a target, in each direction.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// The time an engine takes for a call.
const ENGINE_TIME: Duration = Duration::from_millis(100);

/// The time a plain service takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(40);

/// How long a crashed engine is unavailable.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// An engine crashes when it runs a prompt that contains this word.
pub const POISON: &str = "poison";

/// How a target treats the calls it receives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// It runs a call and answers.
    #[default]
    Normal,
    /// It runs a call at once and answers after this time.
    Slow(Duration),
    /// It closes the connection without running the call.
    CloseBefore,
    /// It runs the call, then closes the connection without an answer.
    CloseAfter,
    /// It refuses the call.
    Refuse,
}

/// A simulated engine or plain service.
struct Target {
    name: Box<str>,
    id: TargetId,
    zone: Box<str>,
    kind: TargetKind,
    mode: Mode,
    /// When the target is available again after a crash.
    unavailable_until: Instant,
}

/// An attempt that runs at a target.
struct RunningAttempt {
    host: usize,
    session: u64,
    target: usize,
    end: AttemptOutcome,
}

/// All targets and the attempts that run at them.
pub(super) struct Targets {
    targets: Vec<Target>,
    running: BTreeMap<AttemptId, RunningAttempt>,
    /// The attempts whose end is scheduled, by the number of the scheduled event.
    scheduled_ends: BTreeMap<u64, AttemptId>,
}

impl Targets {
    pub fn new(config: &Config) -> Self {
        let target = |t: &camphorwalk_core::config::Target| Target {
            name: t.name.clone(),
            id: TargetId::from_name(&t.name),
            zone: t.zone.clone(),
            kind: t.kind,
            mode: Mode::Normal,
            unavailable_until: Instant::default(),
        };

        Self {
            targets: config.targets.iter().map(target).collect(),
            running: BTreeMap::new(),
            scheduled_ends: BTreeMap::new(),
        }
    }
}

impl World {
    /// Sets the mode of the targets whose names start with `prefix`; returns whether there is one.
    pub fn set_target(&mut self, prefix: &str, mode: Mode) -> bool {
        let named = |target: &&mut Target| target.name.starts_with(prefix);
        let targets = self.targets.targets.iter_mut().filter(named);

        targets.map(|target| target.mode = mode).count() > 0
    }

    /// Sends an attempt to its target. Checks the API key again, as a real host does before it
    /// sends a call.
    pub(super) fn dispatch(&mut self, host: usize, dispatch: Box<Dispatch>) {
        let index = self.targets.targets.iter().position(|t| t.id == dispatch.target);
        let reachable = index.is_some_and(|index| {
            let target = &self.targets.targets[index];
            self.network.can_reach(&self.hosts[host].zone, &target.zone)
                && target.unavailable_until <= self.now
        });
        if !reachable || !self.is_key_accepted(host, dispatch.key) {
            let event =
                Event::AttemptEnded { attempt: dispatch.attempt, outcome: AttemptOutcome::NotSent };
            return self.schedule_host_event(self.now + NETWORK_DELAY, host, event);
        }

        self.record.sent.push(Sent {
            at: self.now,
            host,
            target: dispatch.target,
            tenant: dispatch.tenant,
            key: dispatch.key,
            program: dispatch.program,
            number: dispatch.number,
        });
        let session = self.hosts[host].session;
        self.schedule_event(
            self.now + NETWORK_DELAY,
            ScheduledEvent::AttemptArrives { host, session, dispatch },
        );
    }

    /// Starts an attempt at its target, even if the sending host has died since.
    pub(super) fn on_attempt_arrival(&mut self, host: usize, session: u64, dispatch: &Dispatch) {
        let id = dispatch.target;
        let index = self.targets.targets.iter().position(|t| t.id == id);
        let index = index.expect("the target existed when the call was sent");
        let (kind, mode) = {
            let target = &self.targets.targets[index];
            (target.kind, target.mode)
        };
        let time = if kind == TargetKind::Engine { ENGINE_TIME } else { SERVICE_TIME };
        let lost = AttemptOutcome::Lost { streamed: false, crashed: false };
        let (time, end) = match mode {
            Mode::Normal => (time, self.run(dispatch)),
            Mode::Slow(time) => (time, self.run(dispatch)),
            Mode::CloseBefore => (NETWORK_DELAY, lost.clone()),
            Mode::CloseAfter => {
                self.run(dispatch);
                (time, lost.clone())
            }
            Mode::Refuse => (NETWORK_DELAY, AttemptOutcome::Refused { message: "busy".into() }),
        };

        // The host stops waiting for a target after the timeout of the dispatch.
        let (time, end) =
            if time > dispatch.timeout { (dispatch.timeout, lost) } else { (time, end) };
        let running = RunningAttempt { host, session, target: index, end };
        self.targets.running.insert(dispatch.attempt, running);
        if contains_poison(dispatch) {
            return self.crash(index);
        }

        let number = self.next_number();
        self.targets.scheduled_ends.insert(number, dispatch.attempt);
        self.schedule_event(self.now + time, ScheduledEvent::AttemptEnds { target: index, number });
    }

    /// Runs an attempt and returns its result. The ledger counts each run of a plain service's
    /// call.
    fn run(&mut self, dispatch: &Dispatch) -> AttemptOutcome {
        let (program, number) = (dispatch.program, dispatch.number);
        let (output, tokens) = match &dispatch.payload {
            AttemptPayload::Generate { prompt, .. } => {
                let last = prompt.last().map_or("", |text| text);
                (format!("{program} {number} {}", last.replace('"', "")), prompt.len() as u64)
            }
            AttemptPayload::Operation { key, .. } => {
                *self.record.ledger.entry((program, key.clone())).or_default() += 1;
                (format!("{program} {number} {key}"), 0)
            }
        };
        let usage = Usage {
            prompt_tokens: Tokens(tokens),
            output_tokens: Tokens(tokens.min(8)),
            ..Usage::default()
        };
        let output = serde_json::to_string(&output).expect("a string can be serialized").into();

        AttemptOutcome::Done { output, usage }
    }

    pub(super) fn on_attempt_end(&mut self, _target: usize, number: u64) {
        let Some(attempt) = self.targets.scheduled_ends.remove(&number) else {
            return;
        };
        if let Some(running) = self.targets.running.remove(&attempt) {
            self.report_attempt_end(attempt, running);
        }
    }

    fn report_attempt_end(&mut self, attempt: AttemptId, running: RunningAttempt) {
        if self.hosts[running.host].session == running.session {
            let event = Event::AttemptEnded { attempt, outcome: running.end };
            self.schedule_host_event(self.now + NETWORK_DELAY, running.host, event);
        }
    }

    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        if let Some(mut running) = self.targets.running.remove(&attempt) {
            running.end = AttemptOutcome::Cancelled;
            self.report_attempt_end(attempt, running);
        }
    }

    /// Crashes a target: all attempts that run there are lost.
    fn crash(&mut self, index: usize) {
        self.targets.targets[index].unavailable_until = self.now + RESTART_TIME;
        let there = |(_, running): &(&AttemptId, &RunningAttempt)| running.target == index;
        let attempts: Vec<_> =
            self.targets.running.iter().filter(there).map(|(attempt, _)| *attempt).collect();

        for attempt in attempts {
            if let Some(mut running) = self.targets.running.remove(&attempt) {
                running.end = AttemptOutcome::Lost { streamed: false, crashed: true };
                self.report_attempt_end(attempt, running);
            }
        }
    }
}

fn contains_poison(dispatch: &Dispatch) -> bool {
    match &dispatch.payload {
        AttemptPayload::Generate { prompt, .. } => prompt.iter().any(|text| text.contains(POISON)),
        AttemptPayload::Operation { .. } => false,
    }
}
