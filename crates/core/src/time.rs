//! Monotonic time as the policy sees it: a number that is passed in.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on a host's monotonic clock, in microseconds since a start of its own.
///
/// Instants of two hosts cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub u64);

impl Instant {
    /// Makes the instant this many milliseconds after the clock's start.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use std::time::Duration;
    /// assert_eq!(Instant::from_millis(3) - Instant::from_millis(1), Duration::from_millis(2));
    /// ```
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time from `earlier` to this instant, or zero if it lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        self.since(rhs)
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    /// Returns the instant that lies `rhs` before this one, or the clock's start.
    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}
