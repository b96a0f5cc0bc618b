//! A token bucket, and taking one token from several buckets together.

use std::time::Duration;

use camphorwalk_core::time::Instant;

/// Rates, bursts and levels are counted in millionths of a token.
pub const MILLIONTHS_PER_TOKEN: u64 = 1_000_000;

/// Subunits in a millionth of a token. At a rate of one millionth per second, a bucket gains one
/// subunit per microsecond, so refills are exact.
const SUBUNITS_PER_MILLIONTH: u128 = 1_000_000;

/// One token in subunits.
const TOKEN_SUBUNITS: u128 = MILLIONTHS_PER_TOKEN as u128 * SUBUNITS_PER_MILLIONTH;

/// A slice's share of its tenant's rate and burst, in millionths of a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The refill per second.
    pub rate: u64,
    /// The maximum level.
    pub burst: u64,
}

/// A token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    share: Share,
    /// The level at time `at`, in subunits.
    level: u128,
    at: Instant,
}

impl Bucket {
    /// Creates a bucket that contains `level` millionths of a token at time `at`.
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
        let level = u128::from(level.min(share.burst)) * SUBUNITS_PER_MILLIONTH;

        Self { share, level, at }
    }

    /// Returns the bucket's share of its tenant's rate and burst.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns the level at `now` in millionths of a token, rounded down.
    pub fn level(&mut self, now: Instant) -> u64 {
        self.refill(now);

        (self.level / SUBUNITS_PER_MILLIONTH) as u64
    }

    /// Refills the bucket at the old rate until `now`, and uses the new share from then on.
    ///
    /// The next refill limits the level to the new burst, so that no more is admitted from then
    /// on than a bucket with the new share would admit.
    pub fn set_share(&mut self, share: Share, now: Instant) {
        self.refill(now);
        self.share = share;
    }

    fn burst_subunits(&self) -> u128 {
        u128::from(self.share.burst) * SUBUNITS_PER_MILLIONTH
    }

    /// Adds the refill until `now`, up to the burst. Nothing is added if the clock goes
    /// backwards.
    fn refill(&mut self, now: Instant) {
        let micros = u128::from(now.0.saturating_sub(self.at.0));
        let burst = self.burst_subunits();

        self.level = (self.level + micros * u128::from(self.share.rate)).min(burst);
        self.at = self.at.max(now);
    }
}

/// The result of [`take_token`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// A token was taken.
    Taken,
    /// The buckets contain less than one token. They will contain one after this time, or never
    /// if it is `None`.
    Insufficient(Option<Duration>),
}

/// Takes one token from `buckets` together, and leaves their levels as even as possible.
///
/// A full bucket loses its refill. If buckets were drained one after another, the others would
/// stay full and the tenant would be refused although it is within its rate. Draining the fullest
/// buckets to a common level makes buckets of equal size behave like a single bucket of their
/// total size.
///
/// ```
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::slices::{Bucket, Share, TakeOutcome, take_token};
/// let share = Share { rate: 1_000_000, burst: 500_000 };
/// let mut a = Bucket::new(share, 500_000, Instant(0));
/// let mut b = Bucket::new(share, 500_000, Instant(0));
/// assert_eq!(take_token(&mut [&mut a, &mut b], Instant(0)), TakeOutcome::Taken);
/// let again = take_token(&mut [&mut a, &mut b], Instant(0));
/// assert!(matches!(again, TakeOutcome::Insufficient(Some(_))));
/// ```
pub fn take_token(buckets: &mut [&mut Bucket], now: Instant) -> TakeOutcome {
    for bucket in buckets.iter_mut() {
        bucket.refill(now);
    }

    let sum: u128 = buckets.iter().map(|b| b.level).sum();

    if sum < TOKEN_SUBUNITS {
        return TakeOutcome::Insufficient(time_to_token(buckets, sum));
    }

    drain_evenly(buckets, TOKEN_SUBUNITS);
    TakeOutcome::Taken
}

/// Takes `subunits` from the fullest buckets, down to a common level.
fn drain_evenly(buckets: &mut [&mut Bucket], mut subunits: u128) {
    buckets.sort_by_key(|b| std::cmp::Reverse(b.level));

    // The first `n` buckets are drained to a common level. `n` grows until that level is not
    // below the level of the next bucket.
    let mut n = 0;
    let mut sum = 0;

    for (i, bucket) in buckets.iter().enumerate() {
        if n > 0 && sum - subunits.min(sum) >= bucket.level * n && sum >= subunits {
            break;
        }

        sum += bucket.level;
        n = (i + 1) as u128;
    }

    let common_level = sum.saturating_sub(subunits) / n.max(1);

    for bucket in buckets.iter_mut().take(n as usize) {
        let drained = bucket.level.saturating_sub(common_level).min(subunits);
        bucket.level -= drained;
        subunits -= drained;
    }
}

/// Returns the time until `buckets` together contain one token if nothing is taken from them.
fn time_to_token(buckets: &[&mut Bucket], sum: u128) -> Option<Duration> {
    let rate: u128 = buckets.iter().map(|b| u128::from(b.share.rate)).sum();
    let burst: u128 = buckets.iter().map(|b| b.burst_subunits()).sum();

    if rate == 0 || burst < TOKEN_SUBUNITS {
        return None;
    }

    let micros = (TOKEN_SUBUNITS - sum).div_ceil(rate);

    Some(Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
}
