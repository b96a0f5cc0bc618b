//! Fake targets: engines that tag their answers, and plain services with a ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::calls::Usage;
use camphorwalk_core::config::{Config, TargetKind};
use camphorwalk_core::ids::{AttemptId, TargetId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::scheduler::Event;
use camphorwalk_policy::shared_types::{AttemptOutcome, AttemptPayload, Dispatch};

use super::{Item, World};
use crate::record::Sent;

/// How long a request takes to a target, and its answer back.
const WAY: Duration = Duration::from_millis(1);

/// How long an engine takes.
const ENGINE_TIME: Duration = Duration::from_millis(100);

/// How long a plain service takes.
const SERVICE_TIME: Duration = Duration::from_millis(40);

/// How long a crashed engine is away.
const RESTART: Duration = Duration::from_secs(1);

/// A prompt with this word brings down each engine that runs it.
pub const POISON: &str = "poison";

/// How a target treats what it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// It runs and answers.
    #[default]
    Ok,
    /// It runs at once and takes this long to answer.
    Slow(Duration),
    /// It closes the connection without running.
    CloseBefore,
    /// It runs, then closes the connection without an answer.
    CloseAfter,
    /// It refuses.
    Refuse,
}

/// A target.
struct Target {
    name: Box<str>,
    id: TargetId,
    zone: Box<str>,
    kind: TargetKind,
    mode: Mode,
    /// Until when it is away after a crash.
    away_until: Instant,
}

/// An attempt at a target.
struct Running {
    host: usize,
    session: u64,
    target: usize,
    end: AttemptOutcome,
}

/// All targets and what runs at them.
pub(super) struct Targets {
    targets: Vec<Target>,
    running: BTreeMap<AttemptId, Running>,
    /// What the ends on the agenda are for.
    ends: BTreeMap<u64, AttemptId>,
}

impl Targets {
    pub fn new(config: &Config) -> Self {
        let target = |t: &camphorwalk_core::config::Target| Target {
            name: t.name.clone(),
            id: TargetId::from_name(&t.name),
            zone: t.zone.clone(),
            kind: t.kind,
            mode: Mode::Ok,
            away_until: Instant::default(),
        };

        Self {
            targets: config.targets.iter().map(target).collect(),
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }
}

impl World {
    /// Sets how the targets whose names begin with `prefix` treat what they get; returns
    /// whether there is one.
    pub fn set_target(&mut self, prefix: &str, mode: Mode) -> bool {
        let named = |target: &&mut Target| target.name.starts_with(prefix);
        let targets = self.targets.targets.iter_mut().filter(named);

        targets.map(|target| target.mode = mode).count() > 0
    }

    /// Sends an attempt. The key is looked at once more, as traffic threads do.
    pub(super) fn dispatch(&mut self, host: usize, dispatch: Box<Dispatch>) {
        let index = self.targets.targets.iter().position(|t| t.id == dispatch.target);
        let reachable = index.is_some_and(|index| {
            let target = &self.targets.targets[index];
            self.network.reaches(&self.hosts[host].zone, &target.zone)
                && target.away_until <= self.now
        });
        if !reachable || !self.key_stands(host, dispatch.key) {
            let event =
                Event::AttemptEnded { attempt: dispatch.attempt, outcome: AttemptOutcome::NotSent };
            return self.add_event(self.now + WAY, host, event);
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
        self.add(self.now + WAY, Item::Arrive { host, session, dispatch });
    }

    /// An attempt arrives, also if its host is gone by now.
    pub(super) fn on_arrival(&mut self, host: usize, session: u64, dispatch: &Dispatch) {
        let id = dispatch.target;
        let index = self.targets.targets.iter().position(|t| t.id == id);
        let index = index.expect("it was found before sending");
        let (kind, mode) = {
            let target = &self.targets.targets[index];
            (target.kind, target.mode)
        };
        let time = if kind == TargetKind::Engine { ENGINE_TIME } else { SERVICE_TIME };
        let lost = AttemptOutcome::Lost { streamed: false, crashed: false };
        let (time, end) = match mode {
            Mode::Ok => (time, self.run(dispatch)),
            Mode::Slow(time) => (time, self.run(dispatch)),
            Mode::CloseBefore => (WAY, lost.clone()),
            Mode::CloseAfter => {
                self.run(dispatch);
                (time, lost.clone())
            }
            Mode::Refuse => (WAY, AttemptOutcome::Refused { message: "busy".into() }),
        };

        // A caller of a target waits no longer than its timeout.
        let (time, end) =
            if time > dispatch.timeout { (dispatch.timeout, lost) } else { (time, end) };
        let running = Running { host, session, target: index, end };
        self.targets.running.insert(dispatch.attempt, running);
        if poisoned(dispatch) {
            return self.crash(index);
        }

        let number = self.number();
        self.targets.ends.insert(number, dispatch.attempt);
        self.add(self.now + time, Item::End { target: index, number });
    }

    /// Runs an attempt: the ledger notes it, however often it comes.
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
        let output = serde_json::to_string(&output).expect("text is plain data").into();

        AttemptOutcome::Done { output, usage }
    }

    pub(super) fn on_end(&mut self, _target: usize, number: u64) {
        let Some(attempt) = self.targets.ends.remove(&number) else {
            return;
        };
        if let Some(running) = self.targets.running.remove(&attempt) {
            self.tell_end(attempt, running);
        }
    }

    fn tell_end(&mut self, attempt: AttemptId, running: Running) {
        if self.hosts[running.host].session == running.session {
            let event = Event::AttemptEnded { attempt, outcome: running.end };
            self.add_event(self.now + WAY, running.host, event);
        }
    }

    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        if let Some(mut running) = self.targets.running.remove(&attempt) {
            running.end = AttemptOutcome::Cancelled;
            self.tell_end(attempt, running);
        }
    }

    /// A target goes down under all that runs there.
    fn crash(&mut self, index: usize) {
        self.targets.targets[index].away_until = self.now + RESTART;
        let there = |(_, running): &(&AttemptId, &Running)| running.target == index;
        let attempts: Vec<_> =
            self.targets.running.iter().filter(there).map(|(attempt, _)| *attempt).collect();

        for attempt in attempts {
            if let Some(mut running) = self.targets.running.remove(&attempt) {
                running.end = AttemptOutcome::Lost { streamed: false, crashed: true };
                self.tell_end(attempt, running);
            }
        }
    }
}

fn poisoned(dispatch: &Dispatch) -> bool {
    match &dispatch.payload {
        AttemptPayload::Generate { prompt, .. } => prompt.iter().any(|text| text.contains(POISON)),
        AttemptPayload::Operation { .. } => false,
    }
}
