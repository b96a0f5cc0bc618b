//! What comes next for a turn that has ended and is not kept yet.
//!
//! The end of its answer is passed on only when the turn is kept. A stream that is closed without
//! its end costs the caller the whole turn, which has been generated and would be once more. So
//! it is written again for as long as the caller waits.

use std::time::Duration;

/// The pause after the first write that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause between writes. Pauses double up to it, so that a store in trouble is not
/// asked more often for each turn that waits for it.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// How long a host must have been isolated before it breaks answers off. News that are late for an
/// instant look like isolation.
const ISOLATION_CONFIRMED_AFTER: Duration = Duration::from_secs(1);

/// What to do after a write that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Write again after a pause.
    Retry(Duration),
    /// Break the answer off.
    BreakOff,
}

/// The writes of one turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct Keeping {
    failed: u32,
}

impl Keeping {
    /// Returns how many writes failed.
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Takes in that a write failed. `left` is how much longer the caller waits, `isolated_for` how
    /// long the host has been cut off if it is: its caller is then served by other zones.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphorwalk_policy::entry::keeping::{Keeping, Next};
    /// let mut keeping = Keeping::default();
    /// let left = Duration::from_secs(2);
    /// assert!(matches!(keeping.write_failed(left, None), Next::Retry(_)));
    /// assert_eq!(keeping.write_failed(left, Some(left)), Next::BreakOff);
    /// ```
    pub fn write_failed(&mut self, left: Duration, isolated_for: Option<Duration>) -> Next {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failed.min(8)).min(LONGEST_PAUSE);
        self.failed += 1;

        let is_cut_off = isolated_for.is_some_and(|time| time >= ISOLATION_CONFIRMED_AFTER);
        match is_cut_off || pause >= left {
            true => Next::BreakOff,
            false => Next::Retry(pause),
        }
    }
}

/// Returns how many other hosts must hold a turn that the store does not have before its end is
/// passed on, of so many `known` hosts that could. A single one may be cut off together with the
/// host that the turn ran at.
///
/// ```
/// use camphorwalk_policy::entry::keeping::least_copies;
/// assert_eq!(least_copies(6), 2);
/// assert_eq!(least_copies(1), 1);
/// ```
pub fn least_copies(known: usize) -> usize {
    const LEAST_COPIES: usize = 2;

    known.clamp(1, LEAST_COPIES)
}

/// Returns how many of so many other hosts are asked to hold a turn that the store does not take.
///
/// All of a small fleet are, so that whichever of them outlives an outage writes it. In a large one few
/// do: each holder writes the turn after a while, and ten times as many writes as there are turns keep
/// the store above its rate long after an outage.
///
/// ```
/// use camphorwalk_policy::entry::keeping::most_copies;
/// assert_eq!(most_copies(8), 8);
/// assert_eq!(most_copies(60), 5);
/// ```
pub fn most_copies(others: usize) -> usize {
    /// The most other hosts of a small fleet.
    const SMALL_FLEET: usize = 10;
    const COPIES_IN_LARGE_FLEET: usize = 5;

    if others <= SMALL_FLEET { others } else { COPIES_IN_LARGE_FLEET }
}
