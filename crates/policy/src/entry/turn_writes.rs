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
pub enum AfterFailedWrite {
    /// Write again after a pause.
    Retry(Duration),
    /// Break the answer off.
    BreakOff,
}

/// The writes of one turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnWrites {
    failed: u32,
}

impl TurnWrites {
    /// Returns how many writes failed.
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Takes in that a write failed. `left` is how much longer the caller waits, `isolated_for` how
    /// long the host has been cut off if it is: its caller is then served by other zones.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphorwalk_policy::entry::turn_writes::{AfterFailedWrite, TurnWrites};
    /// let mut keeping = TurnWrites::default();
    /// let left = Duration::from_secs(2);
    /// assert!(matches!(keeping.write_failed(left, None), AfterFailedWrite::Retry(_)));
    /// assert_eq!(keeping.write_failed(left, Some(left)), AfterFailedWrite::BreakOff);
    /// ```
    pub fn write_failed(
        &mut self,
        left: Duration,
        isolated_for: Option<Duration>,
    ) -> AfterFailedWrite {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failed.min(8)).min(LONGEST_PAUSE);
        self.failed += 1;

        let is_cut_off = isolated_for.is_some_and(|time| time >= ISOLATION_CONFIRMED_AFTER);
        match is_cut_off || pause >= left {
            true => AfterFailedWrite::BreakOff,
            false => AfterFailedWrite::Retry(pause),
        }
    }
}

/// The longest gap in a stream that callers bear, the one before its end included.
pub const MAX_STREAM_GAP: Duration = Duration::from_secs(2);

/// When a caller is told to come back while the store is away.
pub const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The part of the time that a caller has left which it waits at most before it comes back.
const RETRY_PART: u32 = 3;

/// An outage of the store, as a call that is to be kept meets it.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// For how long the store has not answered the host; `None` if it never has.
    pub silent_for: Option<Duration>,
    /// How much longer the caller waits.
    pub left: Duration,
}

/// What to do with a turn that is to be kept, and was not sent yet, while the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Send it: the store may be back when it ends.
    Now,
    /// Refuse it, and tell its caller to come back after this time.
    Later(Duration),
}

/// Decides whether a turn that is to be kept begins while the store is away.
///
/// An outage of which nothing else is known lasts about as long again as it has lasted. Its end is worth
/// waiting for while that is less than a caller waits for the end of a stream. Later the target would
/// run the turn for a caller that leaves, who is better told at once when to come back.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::turn_writes::{Outage, StartDecision, start_during_outage};
/// let left = Duration::from_millis(2_400);
/// let after = |silent_for| start_during_outage(Outage { silent_for, left });
/// assert_eq!(after(Some(Duration::from_millis(300))), StartDecision::Now);
/// let later = StartDecision::Later(Duration::from_millis(800));
/// assert_eq!(after(Some(Duration::from_secs(3))), later);
/// // A process that the store has never answered knows nothing of the outage.
/// assert_eq!(after(None), later);
/// ```
pub fn start_during_outage(outage: Outage) -> StartDecision {
    match outage.silent_for {
        Some(time) if time < MAX_STREAM_GAP => StartDecision::Now,
        _ => StartDecision::Later(OUTAGE_RETRY_AFTER.min(outage.left / RETRY_PART)),
    }
}
