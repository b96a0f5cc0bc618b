//! What comes next for a turn that has ended and is not kept yet.
//!
//! The end of its answer is passed on only when the turn is kept. A stream that is closed without
//! its end costs the caller the whole turn, which has been generated and would be once more. So
//! keeping is tried again for as long as the caller waits.

use std::time::Duration;

/// The pause after the first try.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause between tries. Pauses double up to it, so that a store in trouble is not
/// asked more often for each turn that waits for it.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// What to do after a try that did not keep the turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try again after a pause.
    TryAgain(Duration),
    /// Break the answer off.
    BreakOff,
}

/// The keeping of one turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct Keeping {
    misses: u32,
}

impl Keeping {
    /// Returns how many tries did not keep the turn.
    pub fn misses(&self) -> u32 {
        self.misses
    }

    /// Takes in that a try did not keep the turn. `left` is how much longer the caller waits. A host
    /// that `is_isolated` does not try again: what it holds would be lost with its zone, and other
    /// zones serve the caller.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphorwalk_policy::entry::keeping::{Keeping, Next};
    /// let mut keeping = Keeping::default();
    /// let left = Duration::from_secs(2);
    /// assert!(matches!(keeping.missed(left, false), Next::TryAgain(_)));
    /// assert_eq!(keeping.missed(left, true), Next::BreakOff);
    /// ```
    pub fn missed(&mut self, left: Duration, is_isolated: bool) -> Next {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.misses.min(8)).min(LONGEST_PAUSE);
        self.misses += 1;

        match is_isolated || pause >= left {
            true => Next::BreakOff,
            false => Next::TryAgain(pause),
        }
    }
}
