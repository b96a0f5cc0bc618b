//! The host's request quota, the retry budget and the timeouts of attempts.
//!
//! Nothing here reads a clock: callers pass in the current time.

use std::time::{Duration, Instant};

use crate::options::{QuotaOptions, RetryOptions};

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The tokens left.
    level: f64,
    /// The most tokens it holds. At least one, since below that `take` would never succeed.
    max: f64,
}

impl Bucket {
    /// Creates a full bucket.
    fn full(max: f64) -> Self {
        let max = max.max(1.0);

        Self { level: max, max }
    }

    /// Adds tokens, up to the capacity.
    fn add(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.max);
    }

    /// Takes a token; returns false if there is none.
    fn take(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }

        self.level -= 1.0;
        true
    }
}

/// The kind of access that an operation counts as in the quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Access {
    /// Counts against the quota of reads.
    Read,
    /// Counts against the quota of writes.
    Write,
}

impl Access {
    /// Returns the word that metrics and logs use.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// The host's quota of platform requests, one token bucket for reads and one for writes.
#[derive(Debug)]
pub(crate) struct Quota {
    /// The configured rates.
    options: QuotaOptions,
    /// The reads left.
    reads: Bucket,
    /// The writes left.
    writes: Bucket,
    /// When the buckets were last refilled.
    refilled_at: Instant,
}

impl Quota {
    /// Creates a quota that is unused at `now`.
    pub(crate) fn new(options: QuotaOptions, now: Instant) -> Self {
        Self {
            options,
            reads: Bucket::full(options.reads_per_second * options.burst_seconds),
            writes: Bucket::full(options.writes_per_second * options.burst_seconds),
            refilled_at: now,
        }
    }

    /// Takes one access from the quota. Returns false if it is used up.
    pub(crate) fn take(&mut self, access: Access, now: Instant) -> bool {
        let seconds = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.reads.add(seconds * self.options.reads_per_second);
        self.writes.add(seconds * self.options.writes_per_second);

        match access {
            Access::Read => self.reads.take(),
            Access::Write => self.writes.take(),
        }
    }
}

/// The retry budget, which allows retries in proportion to first attempts.
///
/// Without it, retries would multiply the load on a platform that is already overloaded.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    /// How many retries each first attempt adds to the budget.
    ratio: f64,
    /// The retries left.
    retries: Bucket,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(crate) fn new(options: RetryOptions) -> Self {
        Self { ratio: options.ratio, retries: Bucket::full(options.max_saved) }
    }

    /// Records the first attempt of an operation.
    pub(crate) fn record_first_attempt(&mut self) {
        self.retries.add(self.ratio);
    }

    /// Takes one retry. Returns false if the budget is used up.
    pub(crate) fn take(&mut self) -> bool {
        self.retries.take()
    }
}

/// The timeout of an attempt, as a multiple of the average time to the response head.
const TIMEOUT_FACTOR: f64 = 8.0;

/// The weight of the newest sample in the moving average.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.1;

/// The timeout of an attempt, adapted to how fast the platform has answered recently.
#[derive(Debug)]
pub(crate) struct AttemptTimeouts {
    min: Duration,
    max: Duration,
    /// The moving average of the time to the response head, in seconds.
    average: f64,
}

impl AttemptTimeouts {
    /// Creates timeouts between `min` and `max`, starting at `min`.
    pub(crate) fn new(min: Duration, max: Duration) -> Self {
        Self { min: min.min(max), max, average: 0.0 }
    }

    /// Returns the timeout of an operation's next attempt, after `lost` attempts without a
    /// response.
    pub(crate) fn next(&self, lost: u32) -> Duration {
        let average = Duration::from_secs_f64(self.average * TIMEOUT_FACTOR);

        average.max(self.min).saturating_mul(1 << lost.min(8)).min(self.max)
    }

    /// Records the time to the response head of an attempt that was answered.
    pub(crate) fn record_response(&mut self, took: Duration) {
        self.average += (took.as_secs_f64() - self.average) * NEWEST_SAMPLE_WEIGHT;
    }

    /// Records that an attempt waited this long without a response. The platform may have become
    /// slower, so this raises the average if the next timeout would otherwise be shorter than
    /// `waited`.
    pub(crate) fn record_loss(&mut self, waited: Duration) {
        let bound = waited.as_secs_f64() / TIMEOUT_FACTOR;
        self.average = self.average.max(bound);
    }
}
