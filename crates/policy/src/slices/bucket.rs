//! One token bucket, and taking a token from several together.

use std::time::Duration;

use camphorwalk_core::time::Instant;

/// One token, in the millionths that rates, bursts and levels are counted in.
pub const TOKEN: u64 = 1_000_000;

/// The parts of a millionth of a token that a bucket counts: a rate of one millionth a
/// second gives one part each microsecond, so refills are exact.
const PARTS: u128 = 1_000_000;

/// One token in parts.
const TOKEN_PARTS: u128 = TOKEN as u128 * PARTS;

/// A slice's share of its tenant's rate and burst, in millionths of a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The refill a second.
    pub rate: u64,
    /// The most that the slice holds.
    pub burst: u64,
}

/// A token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    share: Share,
    /// The level at `at`, in parts.
    level: u128,
    at: Instant,
}

impl Bucket {
    /// Makes a bucket with `level` millionths of a token in it at `at`.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::slices::{Bucket, Share};
    /// let share = Share { rate: 500_000, burst: 2_000_000 };
    /// let mut bucket = Bucket::new(share, 0, Instant(0));
    /// assert_eq!(bucket.level(Instant::from_millis(3_000)), 1_500_000);
    /// assert_eq!(bucket.level(Instant::from_millis(9_000)), 2_000_000);
    /// ```
    pub fn new(share: Share, level: u64, at: Instant) -> Self {
        let level = u128::from(level.min(share.burst)) * PARTS;

        Self { share, level, at }
    }

    /// Returns the share that it refills by.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns the level at `now` in millionths of a token, rounded down.
    pub fn level(&mut self, now: Instant) -> u64 {
        self.refill(now);

        (self.level / PARTS) as u64
    }

    /// Refills by the old share until `now`, and goes on with `share`.
    ///
    /// The next refill cuts the level to the new burst, so that from here on no more is
    /// admitted than a bucket of the new share would.
    pub fn change(&mut self, share: Share, now: Instant) {
        self.refill(now);
        self.share = share;
    }

    fn burst_parts(&self) -> u128 {
        u128::from(self.share.burst) * PARTS
    }

    /// Adds what flowed in until `now`, up to the burst. Time that goes backwards adds nothing.
    fn refill(&mut self, now: Instant) {
        let micros = u128::from(now.0.saturating_sub(self.at.0));
        let full = self.burst_parts();

        self.level = (self.level + micros * u128::from(self.share.rate)).min(full);
        self.at = self.at.max(now);
    }
}

/// The outcome of [`take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// One token is taken.
    Token,
    /// There is not one token; there may be after this time. None if there never will be.
    Nothing(Option<Duration>),
}

/// Takes one token from `buckets` together, leaving their levels as even as can be.
///
/// A bucket that is full loses its refill. Draining one after another leaves the others
/// full, and the tenant is refused within its rate. Draining the fullest down to a common
/// level keeps buckets of one size filling together, as one bucket of their sum would.
///
/// ```
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::slices::{Bucket, Share, Taken, take};
/// let share = Share { rate: 1_000_000, burst: 500_000 };
/// let mut a = Bucket::new(share, 500_000, Instant(0));
/// let mut b = Bucket::new(share, 500_000, Instant(0));
/// assert_eq!(take(&mut [&mut a, &mut b], Instant(0)), Taken::Token);
/// assert!(matches!(take(&mut [&mut a, &mut b], Instant(0)), Taken::Nothing(Some(_))));
/// ```
pub fn take(buckets: &mut [&mut Bucket], now: Instant) -> Taken {
    for bucket in buckets.iter_mut() {
        bucket.refill(now);
    }

    let sum: u128 = buckets.iter().map(|b| b.level).sum();

    if sum < TOKEN_PARTS {
        return Taken::Nothing(time_to_token(buckets, sum));
    }

    drain(buckets, TOKEN_PARTS);
    Taken::Token
}

/// Takes `parts` from the fullest buckets down to a common level.
fn drain(buckets: &mut [&mut Bucket], mut parts: u128) {
    buckets.sort_by_key(|b| std::cmp::Reverse(b.level));

    // The first `n` buckets are cut to one level; `n` grows until that level is not below
    // the next bucket's.
    let mut n = 0;
    let mut sum = 0;

    for (i, bucket) in buckets.iter().enumerate() {
        if n > 0 && sum - parts.min(sum) >= bucket.level * n && sum >= parts {
            break;
        }

        sum += bucket.level;
        n = (i + 1) as u128;
    }

    let line = sum.saturating_sub(parts) / n.max(1);

    for bucket in buckets.iter_mut().take(n as usize) {
        let cut = bucket.level.saturating_sub(line).min(parts);
        bucket.level -= cut;
        parts -= cut;
    }
}

/// Returns when the sum of `buckets` reaches one token, if nothing is taken meanwhile.
fn time_to_token(buckets: &[&mut Bucket], sum: u128) -> Option<Duration> {
    let rate: u128 = buckets.iter().map(|b| u128::from(b.share.rate)).sum();
    let burst: u128 = buckets.iter().map(|b| b.burst_parts()).sum();

    if rate == 0 || burst < TOKEN_PARTS {
        return None;
    }

    let micros = (TOKEN_PARTS - sum).div_ceil(rate);

    Some(Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
}
