//! Monotonic time as a plain number, which callers pass to the policy code.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on a host's monotonic clock, in microseconds since the clock's start.
///
/// Instants of different hosts cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub u64);

impl Instant {
    /// Creates the instant this many milliseconds after the clock's start.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use std::time::Duration;
    /// assert_eq!(Instant::from_millis(3) - Instant::from_millis(1), Duration::from_millis(2));
    /// ```
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
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

    /// Returns the instant `rhs` before this one, but not before the clock's start.
    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}
