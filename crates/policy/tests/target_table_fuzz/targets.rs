//! The simulated targets, which register themselves in the store.

use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState};
use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;

use crate::store::Store;

pub const TARGETS: usize = 7;

/// How often a target writes its row.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The time without a heartbeat after which a row expires.
pub const EXPIRY: Duration = HEARTBEAT.saturating_mul(3);

/// How long after the store's recovery a running target may take to write its row.
pub const REWRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long before the expiry of its row a running target writes it at the latest.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// An event in a target's life.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// It starts, or restarts if it runs.
    Start,
    /// It announces that it is draining.
    Drain,
    /// It removes its row and ends.
    Leave,
    /// It leaves and starts again at once.
    Replace,
    /// It starts and leaves at once.
    StartAndLeave,
    /// It ends without removing its row.
    Crash,
    /// Another writer replaces its row by an unreadable one.
    Corrupt,
}

#[derive(Clone, Debug)]
struct RunningTarget {
    entry: TargetEntry,
    last_heartbeat: Instant,
    next_heartbeat: Instant,
}

/// One run of a target: its id and its `born` number.
pub type TargetRun = (Box<str>, u64);

pub struct Targets {
    running: Vec<Option<RunningTarget>>,
    /// When each row was last confirmed, also for targets that have ended.
    confirmed_at: Map<Box<str>, Instant>,
    /// When the store's rows stopped naming a run as ready for calls.
    ended: Map<TargetRun, Instant>,
    /// The running targets whose rows expired during an outage of the store, or at its recovery.
    expired: Map<TargetRun, Instant>,
    next_born: u64,
}

pub fn id(target: usize) -> Box<str> {
    format!("t-{target}").into()
}

impl Targets {
    pub fn new() -> Self {
        Self {
            running: vec![None; TARGETS],
            confirmed_at: Map::default(),
            ended: Map::default(),
            expired: Map::default(),
            next_born: 1,
        }
    }

    /// Returns when the store's rows stopped naming a run as ready for calls, if they did.
    pub fn ended(&self, run: &TargetRun) -> Option<Instant> {
        self.ended.get(run).copied()
    }

    /// Returns the running targets whose rows are missing since an outage.
    pub fn expired(&self) -> impl Iterator<Item = &TargetRun> {
        self.expired.keys()
    }

    pub fn step(&mut self, now: Instant, store: &mut Store, target: usize, step: Step) {
        match step {
            Step::Start => self.start(now, store, target),
            Step::Drain => self.drain(now, store, target),
            Step::Leave => self.leave(now, store, target),
            Step::Replace => {
                self.leave(now, store, target);
                self.start(now, store, target);
            }
            Step::StartAndLeave => {
                self.start(now, store, target);
                self.leave(now, store, target);
            }
            Step::Crash => self.crash(target),
            Step::Corrupt => {
                self.record_row_end(now, store, &id(target));
                store.write(&id(target), None);
                self.expired.retain(|(expired, _), _| **expired != *id(target));
                self.confirmed_at.insert(id(target), now);
            }
        }
    }

    /// Ends a target without removing its row, which does not need the store.
    pub fn crash(&mut self, target: usize) {
        if let Some(process) = self.running[target].take() {
            self.expired.remove(&(process.entry.id, process.entry.born));
        }
    }

    /// Lets running targets write their rows. The store must be available.
    pub fn write_heartbeats(&mut self, now: Instant, store: &mut Store) {
        for process in
            self.running.iter_mut().flatten().filter(|process| process.next_heartbeat <= now)
        {
            (process.last_heartbeat, process.next_heartbeat) = (now, now + HEARTBEAT);
            self.confirmed_at.insert(process.entry.id.clone(), now);

            if store.row(&process.entry.id).is_none() {
                let run = (process.entry.id.clone(), process.entry.born);
                self.expired.remove(&run);
                if process.entry.state == TargetState::Ready {
                    self.ended.remove(&run);
                }
                store.write(&process.entry.id, Some(process.entry.clone()));
            }
        }
    }

    /// Removes rows that have not been confirmed for [`EXPIRY`].
    pub fn expire(&mut self, now: Instant, store: &mut Store) {
        for target in 0..TARGETS {
            let id = id(target);
            let is_due = self.confirmed_at.get(&id).is_some_and(|at| now.since(*at) >= EXPIRY);
            if !is_due || store.row(&id).is_none() {
                continue;
            }
            let named = store.row(&id).and_then(|row| row.entry.clone());
            self.record_row_end(now, store, &id);
            store.remove(&id);

            // The previous content of the row decides, since it may be another writer's.
            let named = named.filter(|entry| entry.state == TargetState::Ready);
            if let Some(entry) = named.filter(|_| self.running[target].is_some()) {
                self.expired.insert((id, entry.born), now);
            }
        }
    }

    /// Handles the store's recovery: each running target writes within [`REWRITE_TIMEOUT`], and
    /// before its row expires if it has not expired yet.
    pub fn store_recovers(&mut self, now: Instant, delay: impl Fn(usize) -> Duration) {
        for (target, process) in self.running.iter_mut().enumerate() {
            let Some(process) = process else { continue };
            let expiry = (process.last_heartbeat + EXPIRY) - EXPIRY_MARGIN;

            process.next_heartbeat = now + delay(target);
            if expiry > now {
                process.next_heartbeat = process.next_heartbeat.min(expiry);
            }
        }
    }

    fn start(&mut self, now: Instant, store: &mut Store, target: usize) {
        self.crash(target);
        self.record_row_end(now, store, &id(target));
        let entry = entry(target, self.next_born);
        self.next_born += 1;

        store.write(&entry.id, Some(entry.clone()));
        self.confirmed_at.insert(entry.id.clone(), now);
        self.running[target] =
            Some(RunningTarget { entry, last_heartbeat: now, next_heartbeat: now + HEARTBEAT });
    }

    fn drain(&mut self, now: Instant, store: &mut Store, target: usize) {
        let Some(process) = &mut self.running[target] else { return };
        process.entry.state = TargetState::Draining;
        let (id, born) = (process.entry.id.clone(), process.entry.born);

        self.expired.remove(&(id.clone(), born));
        self.ended.entry((id.clone(), born)).or_insert(now);
        store.write(&id, Some(process.entry.clone()));
    }

    fn leave(&mut self, now: Instant, store: &mut Store, target: usize) {
        self.crash(target);
        self.record_row_end(now, store, &id(target));
        store.remove(&id(target));
    }

    /// Records that a row no longer names its target as ready for calls.
    fn record_row_end(&mut self, now: Instant, store: &Store, id: &str) {
        let entry = store.row(id).and_then(|row| row.entry.as_ref());

        if let Some(entry) = entry {
            self.ended.entry((entry.id.clone(), entry.born)).or_insert(now);
        }
    }
}

fn entry(target: usize, born: u64) -> TargetEntry {
    TargetEntry {
        id: id(target),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        version: Some("v1".into()),
        slots: 2,
        state: TargetState::Ready,
        born,
        cold_for: Duration::ZERO,
    }
}
