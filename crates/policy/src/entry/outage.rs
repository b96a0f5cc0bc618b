//! Whether the platform's store can be reached, as a host believes it.

use camphorwalk_core::time::Instant;

/// What an answer or its absence changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The store is away from now on.
    Lost,
    /// The store answers again.
    Regained,
}

/// A host's belief about the store.
///
/// While it is away, calls are told so at once instead of waiting for answers that do not come;
/// the hosts' own questions go on and find out when it is back.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    last_answer: Option<Instant>,
    away: bool,
}

impl StoreHealth {
    /// Returns whether the store is believed to be away.
    pub fn is_away(&self) -> bool {
        self.away
    }

    /// Returns whether the store has ever answered this process.
    pub fn has_answered(&self) -> bool {
        self.last_answer.is_some()
    }

    /// Takes in an answer.
    pub fn answered(&mut self, now: Instant) -> Option<Change> {
        self.last_answer = Some(now);

        std::mem::take(&mut self.away).then_some(Change::Regained)
    }

    /// Takes in that an operation that began at `began` got no answer. If another one got an
    /// answer since, only this one's is lost.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::outage::{Change, StoreHealth};
    /// let mut health = StoreHealth::default();
    /// health.answered(Instant(5));
    /// assert_eq!(health.failed(Instant(4)), None);
    /// assert_eq!(health.failed(Instant(6)), Some(Change::Lost));
    /// ```
    pub fn failed(&mut self, began: Instant) -> Option<Change> {
        if self.away || self.last_answer.is_some_and(|at| at > began) {
            return None;
        }

        self.away = true;
        Some(Change::Lost)
    }
}
