//! Backoff for targets that crashed.

use std::time::Duration;

use camphorwalk_core::time::Instant;

/// Backoff after the first crash. It doubles with each further crash.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The health of one target, as seen by this host's queue.
///
/// A dead target fails its calls at once and therefore always looks the least loaded. Without a
/// backoff it would attract every call and fail it. After the backoff, one call at a time is sent
/// to it until one succeeds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Number of crashes since the last successful call; crashes reported during a backoff are not
    /// counted.
    crashes: u32,
    /// When calls are sent to the target again.
    retry_at: Instant,
}

impl Health {
    /// Records that a call succeeded at the target.
    pub fn record_success(&mut self) {
        self.crashes = 0;
    }

    /// Records that the target crashed with a call in flight.
    pub fn record_crash(&mut self, now: Instant) {
        // Calls that were in flight together report the same crash; it is counted once.
        if self.crashes > 0 && now < self.retry_at {
            return;
        }

        let backoff = FIRST_BACKOFF * 2_u32.pow(self.crashes.min(5));
        self.crashes += 1;
        self.retry_at = now + backoff.min(MAX_BACKOFF);
    }

    /// Returns the maximum number of calls in flight, where `window` is the limit of a healthy
    /// target.
    pub fn limit(&self, now: Instant, window: u32) -> u32 {
        match self.crashes {
            0 => window,
            _ if now < self.retry_at => 0,
            _ => window.min(1),
        }
    }

    /// Returns when the backoff ends, or `None` if the target is not in backoff.
    pub fn backoff_ends_at(&self, now: Instant) -> Option<Instant> {
        (self.crashes > 0 && now < self.retry_at).then_some(self.retry_at)
    }
}
