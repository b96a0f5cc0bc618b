//! How fast a host writes back what was promised while the store did not take it.
//!
//! After an outage all hosts have rows to write, and a store that is asked for more than its rate
//! refuses the rest, which counts all the same. Hosts that then come back with everything keep it
//! above its rate for good: what they hold is never written, and each call's own write is refused
//! with it. So each host writes a part of what is due in a round, fewer after a refusal and more
//! after a round without one; the fleet finds the store's rate without talking about it.

use std::time::Duration;

/// After how long a host writes what it holds for another that is not heard. In this time the other
/// one mostly has, and says so.
const OTHERS_WRITE_AFTER: Duration = Duration::from_millis(700);

/// After how long it does so although the other one is heard. That one writes it itself; if five
/// hosts wrote each row of a slow store, it would be five times slower still.
const OWNER_TRUSTED: Duration = Duration::from_secs(5);

/// Returns whether a host writes what it has held for another for this long.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::write_back::writes_for_others;
/// let second = Duration::from_secs(1);
/// assert!(writes_for_others(second, || false));
/// assert!(!writes_for_others(second, || true));
/// ```
pub fn writes_for_others(held: Duration, owner_is_heard: impl FnOnce() -> bool) -> bool {
    held >= OWNER_TRUSTED || held >= OTHERS_WRITE_AFTER && !owner_is_heard()
}

/// The writes of the first round.
const FIRST: usize = 32;

/// The most and the fewest writes of a round. The fewest keep even a large fleet far below the rate
/// of its store, and tell each host when it is better.
const MOST: usize = 256;
const FEWEST: usize = 1;

/// How many more writes the round after one without a refusal has.
const MORE: usize = 8;

/// What came of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundOutcome {
    /// Nothing was due.
    Nothing,
    /// All that was due was written, or met a write of another host.
    All,
    /// As much was written as the round may have, and more is due.
    Partial,
    /// The store refused a write; the rest was not tried.
    Refused,
}

/// When the next round is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRound {
    /// At once.
    Now,
    /// When the period is over or the store is back.
    Later,
}

/// How many writes a host makes in a round.
#[derive(Clone, Copy, Debug)]
pub struct WriteBack {
    allowed: usize,
}

impl Default for WriteBack {
    fn default() -> Self {
        Self { allowed: FIRST }
    }
}

impl WriteBack {
    /// Returns how many writes the next round may have.
    pub fn max_writes(&self) -> usize {
        self.allowed
    }

    /// Takes in what came of a round; returns when the next one is.
    ///
    /// ```
    /// use camphorwalk_policy::entry::write_back::{NextRound, RoundOutcome, WriteBack};
    /// let mut pace = WriteBack::default();
    /// let before = pace.max_writes();
    /// assert_eq!(pace.round_ended(RoundOutcome::Partial), NextRound::Now);
    /// assert!(pace.max_writes() > before);
    /// assert_eq!(pace.round_ended(RoundOutcome::Refused), NextRound::Later);
    /// assert!(pace.max_writes() < before);
    /// ```
    pub fn round_ended(&mut self, round: RoundOutcome) -> NextRound {
        self.allowed = match round {
            RoundOutcome::Nothing => self.allowed,
            RoundOutcome::All | RoundOutcome::Partial => (self.allowed + MORE).min(MOST),
            RoundOutcome::Refused => (self.allowed / 2).max(FEWEST),
        };

        match round {
            RoundOutcome::Partial => NextRound::Now,
            RoundOutcome::Nothing | RoundOutcome::All | RoundOutcome::Refused => NextRound::Later,
        }
    }
}
