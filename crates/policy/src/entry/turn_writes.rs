//! What to do with a turn that has ended but is not stored yet.
//!
//! The end of a stream is passed on to the caller only once the turn is stored. Closing the stream
//! without its end would cost the caller the whole turn, which would then be generated a second
//! time. The write is therefore retried for as long as the caller waits.

use std::time::Duration;

/// The pause after the first failed write.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause between writes. Pauses double up to this length, so that the waiting turns do
/// not add load to a store in trouble.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// The shortest time in which a write can end before the caller leaves.
const MIN_WRITE_TIME: Duration = Duration::from_millis(50);

/// How long a host must be isolated before it breaks off streams. A short delay of other hosts'
/// status updates looks like isolation too.
const ISOLATION_CONFIRMED_AFTER: Duration = Duration::from_secs(1);

/// What to do after a failed write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailedWrite {
    /// Write again after this pause.
    Retry(Duration),
    /// Close the stream without its end.
    BreakOff,
}

/// The attempts to write one turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnWrites {
    failed: u32,
}

impl TurnWrites {
    /// Returns the number of failed writes.
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Records a failed write and decides what to do next. `left` is how much longer the caller
    /// waits. `isolated_for` is how long this host has been isolated, if it is; its caller is then
    /// better served by another zone.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphorwalk_policy::entry::turn_writes::{AfterFailedWrite, TurnWrites};
    /// let mut writes = TurnWrites::default();
    /// let left = Duration::from_secs(2);
    /// assert!(matches!(writes.write_failed(left, None), AfterFailedWrite::Retry(_)));
    /// assert_eq!(writes.write_failed(left, Some(left)), AfterFailedWrite::BreakOff);
    /// ```
    pub fn write_failed(
        &mut self,
        left: Duration,
        isolated_for: Option<Duration>,
    ) -> AfterFailedWrite {
        let pause = INITIAL_PAUSE.saturating_mul(1 << self.failed.min(8)).min(MAX_PAUSE);
        self.failed += 1;

        let is_isolated = isolated_for.is_some_and(|time| time >= ISOLATION_CONFIRMED_AFTER);
        // The last pauses are shorter: half of the remaining time is left for the write.
        let pause = pause.min(left / 2);
        match is_isolated || left - pause < MIN_WRITE_TIME {
            true => AfterFailedWrite::BreakOff,
            false => AfterFailedWrite::Retry(pause),
        }
    }
}

/// The longest gap in a stream that callers accept, including the gap before its end.
pub const MAX_STREAM_GAP: Duration = Duration::from_secs(2);

/// The Retry-After of callers that are refused because the store is unavailable. A caller of a turn
/// that has little time left gets a shorter one.
pub const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The Retry-After of a turn that is refused because the store is unavailable is at most the time
/// that its caller still waits, divided by this.
const RETRY_DIVISOR: u32 = 3;

/// An outage of the store, at the time of a call whose turn has to be stored.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// How long the store has not answered this host; `None` if it never has.
    pub silent_for: Option<Duration>,
    /// How much longer the caller waits.
    pub left: Duration,
}

/// Whether to send a turn that has to be stored to its target while the store is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Send it: the store may have recovered when the turn ends.
    Now,
    /// Refuse it, and tell the caller to retry after this time.
    Later(Duration),
}

/// Decides whether a turn that has to be stored starts while the store is unavailable.
///
/// Without other information, an outage is expected to last about as long again as it has lasted so
/// far. Starting the turn is worthwhile while that is less than a caller waits for the end of a
/// stream. In a longer outage the target would run the turn for a caller that leaves before its
/// end, so the call is refused at once with a time to retry.
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
        _ => StartDecision::Later(OUTAGE_RETRY_AFTER.min(outage.left / RETRY_DIVISOR)),
    }
}
