//! The queue of calls that wait at a host for a place at a target: the right to have one call in
//! flight there.
//!
//! Engines serve calls in the order of arrival. Calls therefore wait here once the targets are
//! full, and the next free place goes to the call whose program would lose most by waiting longer:
//! first to programs that can still finish in time, before those that are late anyway; then to
//! running programs before new ones, since a half-finished program is worth nothing; then by rank;
//! then, if the host tells refused programs when to return, to those that return as told; then by
//! the earliest deadline.

use std::collections::BTreeMap;
use std::ops::Bound;

use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;

/// The number of a waiting call, unique at this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// The urgency of a waiting call. Lower values are served first, compared field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether the call's program has missed its deadline. Its result is worth little now, and
    /// programs that wait behind it would become late too.
    pub is_late: bool,
    /// Whether the call's program is new. If the call is refused, no work is lost.
    pub is_new: bool,
    /// The rank of the call.
    pub rank: u32,
    /// The deadline of the call, or that of its program if that is earlier and not missed yet.
    pub deadline: Instant,
}

impl Urgency {
    /// Divides each rank in two: calls of programs that were refused and return as told precede all
    /// others of their rank. Must be applied to all calls of a queue, or to none.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::waiting::Urgency;
    /// let of = |rank, ms| {
    ///     Urgency { is_late: false, is_new: true, rank, deadline: Instant::from_millis(ms) }
    /// };
    /// assert!(of(1, 20).by_return(true) < of(1, 10).by_return(false));
    /// assert!(of(0, 20).by_return(false) < of(1, 10).by_return(true));
    /// ```
    pub fn by_return(self, has_waited: bool) -> Self {
        Self { rank: self.rank.saturating_mul(2).saturating_add(u32::from(!has_waited)), ..self }
    }
}

/// The waiting calls of each service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    queues: Map<Box<str>, BTreeMap<(Urgency, WaiterId), ()>>,
}

impl WaitQueue {
    /// Adds a call to the queue of a service.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::waiting::{Urgency, WaiterId, WaitQueue};
    /// let mut waiting = WaitQueue::default();
    /// let new = Urgency { is_late: false, is_new: true, rank: 0, deadline: Instant(1) };
    /// waiting.push("engines", new, WaiterId(1));
    /// waiting.push("engines", Urgency { is_new: false, ..new }, WaiterId(2));
    /// assert_eq!(waiting.next("engines", None).map(|(_, id)| id), Some(WaiterId(2)));
    /// ```
    pub fn push(&mut self, service: &str, urgency: Urgency, id: WaiterId) {
        if !self.queues.contains_key(service) {
            self.queues.insert(service.into(), BTreeMap::new());
        }
        if let Some(queue) = self.queues.get_mut(service) {
            queue.insert((urgency, id), ());
        }
    }

    /// Removes a call from the queue of a service.
    pub fn remove(&mut self, service: &str, urgency: Urgency, id: WaiterId) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(&(urgency, id));
        }
    }

    /// Returns the most urgent call of a service after another one, or of all without one.
    pub fn next(
        &self,
        service: &str,
        after: Option<(Urgency, WaiterId)>,
    ) -> Option<(Urgency, WaiterId)> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut following = self.queues.get(service)?.range((from, Bound::Unbounded));

        following.next().map(|(position, ())| *position)
    }

    /// Returns how many waiting calls of a service are more urgent than `urgency`.
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

    /// Returns the services that have waiting calls.
    pub fn services(&self) -> Vec<Box<str>> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());

        waiting.map(|(service, _)| service.clone()).collect()
    }
}
