//! Targets whose entries the store has removed.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;

/// How long a removal is remembered: longer than another host may take to see it too.
const REMEMBERED: Duration = Duration::from_secs(10);

/// The removals that this host saw itself.
///
/// Another host that has not seen one yet still tells of the target. If it were believed, a
/// target that has left would get calls for seconds more.
#[derive(Clone, Debug, Default)]
pub struct Removals {
    seen: Map<Box<str>, Instant>,
}

impl Removals {
    /// Takes in that the store removed an entry.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::removals::Removals;
    /// let mut removals = Removals::default();
    /// removals.saw(Instant(0), "i-1");
    /// assert!(!removals.may_learn(Instant(1), "i-1"));
    /// assert!(removals.may_learn(Instant(1), "i-2"));
    /// ```
    pub fn saw(&mut self, now: Instant, id: &str) {
        self.seen.retain(|_, at| now.since(*at) < REMEMBERED);
        self.seen.insert(id.into(), now);
    }

    /// Returns whether another host's word for a target may be taken.
    pub fn may_learn(&self, now: Instant, id: &str) -> bool {
        self.seen.get(id).is_none_or(|at| now.since(*at) >= REMEMBERED)
    }
}
