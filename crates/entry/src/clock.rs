//! The clock for ages and deadlines.

use std::time::Duration;

use camphorwalk_core::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, including the time for which it was suspended.
///
/// With a clock that stops during a suspension, an old manifest, share or deadline would seem
/// recent after the machine resumes.
///
/// ```
/// assert!(camphorwalk_entry::clock::now() <= camphorwalk_entry::clock::now());
/// ```
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000;

    Instant(seconds * 1_000_000 + micros)
}

/// Returns the time of day, in milliseconds since the Unix epoch. It may differ between hosts.
pub(crate) fn unix_ms() -> u64 {
    let time = clock_gettime(ClockId::Realtime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let millis = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000;

    seconds * 1_000 + millis
}

/// Returns the time left until `deadline`.
pub(crate) fn until(deadline: Instant) -> Duration {
    deadline.since(now())
}
