//! The calls that wait at a host for a place at a target.
//!
//! Engines take calls in the order of their arrival. So calls wait here once the targets are
//! full, and the next place goes to the call whose program would lose most by waiting on:
//! programs that can still end in time before those that are late anyway; programs under way
//! before new ones, since half a program is worth nothing; then by rank; then the earliest
//! deadline.

use std::collections::BTreeMap;

use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;

/// The number of a waiting call at this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// What a call waits for, and how urgent it is. Lower goes first, field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether its program is past the time at which it should be finished: it is worth little,
    /// and while it waits others end in time that would be late behind it.
    pub is_late: bool,
    /// Whether its program is new: nothing is lost yet if it is told to come back.
    pub is_new: bool,
    /// Its rank.
    pub rank: u32,
    /// When it is too late for it.
    pub deadline: Instant,
}

/// The calls that wait, by service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    queues: Map<Box<str>, BTreeMap<(Urgency, WaiterId), ()>>,
}

impl WaitQueue {
    /// Adds a call.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::waiting::{Urgency, WaiterId, WaitQueue};
    /// let mut waiting = WaitQueue::default();
    /// let new = Urgency { is_late: false, is_new: true, rank: 0, deadline: Instant(1) };
    /// waiting.push("engines", new, WaiterId(1));
    /// waiting.push("engines", Urgency { is_new: false, ..new }, WaiterId(2));
    /// assert_eq!(waiting.first("engines"), Some(WaiterId(2)));
    /// ```
    pub fn push(&mut self, service: &str, urgency: Urgency, id: WaiterId) {
        if !self.queues.contains_key(service) {
            self.queues.insert(service.into(), BTreeMap::new());
        }
        if let Some(queue) = self.queues.get_mut(service) {
            queue.insert((urgency, id), ());
        }
    }

    /// Removes a call.
    pub fn remove(&mut self, service: &str, urgency: Urgency, id: WaiterId) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(&(urgency, id));
        }
    }

    /// Removes the call of a service that goes first.
    pub fn remove_first(&mut self, service: &str) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.pop_first();
        }
    }

    /// Returns the call of a service that goes first.
    pub fn first(&self, service: &str) -> Option<WaiterId> {
        self.queues.get(service)?.first_key_value().map(|((_, id), ())| *id)
    }

    /// Returns how many calls of a service go before one of this urgency.
    pub fn ahead(&self, service: &str, urgency: Urgency) -> usize {
        let queue = self.queues.get(service);

        queue.map_or(0, |queue| queue.range(..(urgency, WaiterId(0))).count())
    }

    /// Returns how many calls wait for a service.
    pub fn len(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, BTreeMap::len)
    }

    /// Returns whether no call waits for a service.
    pub fn is_empty(&self, service: &str) -> bool {
        self.len(service) == 0
    }

    /// Returns the services that calls wait for.
    pub fn services(&self) -> Vec<Box<str>> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());

        waiting.map(|(service, _)| service.clone()).collect()
    }
}
