//! The clock by which ages and deadlines are told.

use std::time::Duration;

use camphorwalk_core::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine's start, the time for which it was suspended included.
///
/// A clock that stands still while the machine is suspended would take an old manifest, share
/// or deadline for a fresh one after it wakes.
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

/// Returns the time until `deadline`.
pub(crate) fn until(deadline: Instant) -> Duration {
    deadline.since(now())
}
