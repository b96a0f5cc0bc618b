//! Whether a target that went away is tried again.

use std::time::Duration;

use camphorwalk_core::time::Instant;

/// How long a target is left alone after it went away for the first time.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);

/// The longest time that a target is left alone.
const LONGEST_BACKOFF: Duration = Duration::from_secs(30);

/// The health of one target.
///
/// A dead target fails its calls at once and so always looks the least loaded: without a
/// backoff it would draw in and fail every call. After the backoff one call at a time tries
/// it, until one is answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// The crashes since it last answered.
    crashes: u32,
    /// When it is tried again.
    retry_at: Instant,
}

impl Health {
    /// Takes in that the target answered.
    pub fn worked(&mut self) {
        self.crashes = 0;
    }

    /// Takes in that the target went away under a call.
    pub fn crashed(&mut self, now: Instant) {
        // The calls that were in flight together tell of one crash, not of many.
        if self.crashes > 0 && now < self.retry_at {
            return;
        }

        let backoff = FIRST_BACKOFF * 2_u32.pow(self.crashes.min(5));
        self.crashes += 1;
        self.retry_at = now + backoff.min(LONGEST_BACKOFF);
    }

    /// Returns the most calls in flight, with this window if all is well.
    pub fn limit(&self, now: Instant, window: u32) -> u32 {
        match self.crashes {
            0 => window,
            _ if now < self.retry_at => 0,
            _ => window.min(1),
        }
    }

    /// Returns when it is tried again, if that lies ahead.
    pub fn probe_at(&self, now: Instant) -> Option<Instant> {
        (self.crashes > 0 && now < self.retry_at).then_some(self.retry_at)
    }
}
