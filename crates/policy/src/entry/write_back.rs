//! Paces how fast a host writes its backlog of unstored rows after an outage of the store.
//!
//! After an outage all hosts have rows to write. A store that gets more requests than its rate
//! allows refuses the excess, whichever requests these are. If every host retried all its rows at
//! once, the store would stay overloaded, and writes for new calls would be refused as often as those
//! of the backlog. Each host therefore writes only a part of its backlog per round, fewer rows after
//! a refusal and more after a round without one. The fleet converges on the store's rate without
//! coordination. All other writes are limited by `write_throttle`.

use std::time::Duration;

/// How long a host waits before it writes a row on behalf of the row's owners if one of them is not
/// live. The owners of a row are the hosts whose grants it contains. Within this time they have
/// usually written the row and reported it.
const WRITE_FOR_SILENT_OWNER_AFTER: Duration = Duration::from_millis(700);

/// How long a host waits before it writes a row on behalf of owners that are all live. They
/// normally write the row themselves; a write by each other host as well would overload a slow
/// store.
const WRITE_FOR_LIVE_OWNER_AFTER: Duration = Duration::from_secs(5);

/// Returns whether a host should write a row that it does not own and has known to be unstored for
/// the time `held`.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::write_back::writes_for_others;
/// let second = Duration::from_secs(1);
/// assert!(writes_for_others(second, || false));
/// assert!(!writes_for_others(second, || true));
/// ```
pub fn writes_for_others(held: Duration, owners_are_live: impl FnOnce() -> bool) -> bool {
    held >= WRITE_FOR_LIVE_OWNER_AFTER || held >= WRITE_FOR_SILENT_OWNER_AFTER && !owners_are_live()
}

/// The maximum number of writes in a host's first round.
const INITIAL_WRITES: usize = 32;

/// Bounds on the maximum number of writes of one host in a round. At the lower bound, even a large
/// fleet stays far below the rate of its store, and each host still notices when the store has
/// recovered.
const MAX_WRITES: usize = 256;
const MIN_WRITES: usize = 1;

/// How much the maximum number of writes grows after a round of writes without a refusal.
const WRITES_INCREMENT: usize = 8;

/// The outcome of a round of writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundOutcome {
    /// There was nothing to write.
    Nothing,
    /// Everything due was written, or conflicted with another host's write.
    All,
    /// The round reached its limit of writes, and more rows are due.
    Partial,
    /// The store refused a write, and the remaining rows were not attempted.
    Refused,
}

/// When to start the next round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRound {
    /// Immediately.
    Now,
    /// After the regular period, or when the store recovers.
    Later,
}

/// The number of writes that a host may make per round.
#[derive(Clone, Copy, Debug)]
pub struct WriteBack {
    max_writes: usize,
}

impl Default for WriteBack {
    fn default() -> Self {
        Self { max_writes: INITIAL_WRITES }
    }
}

impl WriteBack {
    /// Returns the maximum number of writes in the next round.
    pub fn max_writes(&self) -> usize {
        self.max_writes
    }

    /// Adjusts the maximum number of writes to the outcome of a round, and returns when to start
    /// the next round.
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
        self.max_writes = match round {
            RoundOutcome::Nothing => self.max_writes,
            RoundOutcome::All | RoundOutcome::Partial => {
                (self.max_writes + WRITES_INCREMENT).min(MAX_WRITES)
            }
            RoundOutcome::Refused => (self.max_writes / 2).max(MIN_WRITES),
        };

        match round {
            RoundOutcome::Partial => NextRound::Now,
            RoundOutcome::Nothing | RoundOutcome::All | RoundOutcome::Refused => NextRound::Later,
        }
    }
}
