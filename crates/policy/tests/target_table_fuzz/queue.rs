//! The queue of future events, ordered by time.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::target_table::TableCopy;

use crate::store::{Answer, Op};

/// A request of a host to the store.
#[derive(Clone, Debug)]
pub struct StoreRequest {
    pub host: usize,
    pub id: u64,
    pub asked_at: Instant,
    pub op: Op,
}

/// A request of a host to another one.
#[derive(Clone, Debug)]
pub struct PeerRequest {
    pub from: usize,
    pub to: usize,
    pub id: u64,
    pub asked_at: Instant,
    pub has: RowVersion,
    pub then: Then,
}

/// What a host does after a request to another one has ended, with or without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// It keeps waiting for the store, in this round.
    KeepWaiting(u64),
    /// It ends the round; the flag tells whether the store answered in it.
    EndRound(bool),
}

#[derive(Clone, Debug)]
pub enum Event {
    /// Targets write their rows, and rows expire.
    Targets,
    Poll(usize, u64),
    /// A host checks for targets whose grace period has ended.
    Expire(usize, u64),
    Hedge(usize, u64),
    Status(usize, u64),
    StoreHandles(StoreRequest),
    StoreAnswers(StoreRequest, Answer),
    StoreSilent(StoreRequest),
    PeerHandles(PeerRequest),
    PeerAnswers(PeerRequest, Option<TableCopy>),
    PeerSilent(PeerRequest),
}

#[derive(Default)]
pub struct Queue {
    events: BTreeMap<(Instant, u64), Event>,
    count: u64,
}

impl Queue {
    pub fn put(&mut self, now: Instant, delay: Duration, event: Event) {
        self.count += 1;
        self.events.insert((now + delay, self.count), event);
    }

    /// Removes and returns the first event, if it is due by `end`.
    pub fn next(&mut self, end: Instant) -> Option<(Instant, Event)> {
        let first = self.events.first_entry().filter(|first| first.key().0 <= end)?;
        let at = first.key().0;

        Some((at, first.remove()))
    }
}
