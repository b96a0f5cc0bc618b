//! Token buckets: the host's share of the platform, and the budget of retries.
//!
//! Time is passed in.

use std::time::{Duration, Instant};

use crate::options::{QuotaOptions, RetryOptions};

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The tokens in it.
    level: f64,
    /// The most tokens it holds; at least one, or nothing would ever pass.
    most: f64,
}

impl Bucket {
    /// Makes a full bucket.
    fn full(most: f64) -> Self {
        let most = most.max(1.0);

        Self { level: most, most }
    }

    /// Adds tokens, up to the most.
    fn add(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.most);
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

/// What an operation counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    /// The share of reads.
    Read,
    /// The share of writes.
    Write,
}

/// The host's share of the platform.
#[derive(Debug)]
pub(crate) struct Share {
    /// What is declared.
    options: QuotaOptions,
    /// The reads left.
    reads: Bucket,
    /// The writes left.
    writes: Bucket,
    /// When the buckets were filled up last.
    filled: Instant,
}

impl Share {
    /// Makes a share that is unused at `now`.
    pub(crate) fn new(options: QuotaOptions, now: Instant) -> Self {
        Self {
            options,
            reads: Bucket::full(options.reads_per_second * options.burst_seconds),
            writes: Bucket::full(options.writes_per_second * options.burst_seconds),
            filled: now,
        }
    }

    /// Takes one access from the share; returns false if it is used up.
    pub(crate) fn take(&mut self, access: Access, now: Instant) -> bool {
        let seconds = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.reads.add(seconds * self.options.reads_per_second);
        self.writes.add(seconds * self.options.writes_per_second);

        match access {
            Access::Read => self.reads.take(),
            Access::Write => self.writes.take(),
        }
    }
}

/// The budget of retries: a fraction of first tries.
///
/// Without it, retries would multiply the load on a platform that is failing under load.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    /// How many retries each first try allows.
    ratio: f64,
    /// The retries left.
    retries: Bucket,
}

impl RetryBudget {
    /// Makes a budget with all that can be saved up.
    pub(crate) fn new(options: RetryOptions) -> Self {
        Self { ratio: options.ratio, retries: Bucket::full(options.max_saved) }
    }

    /// Notes a first try.
    pub(crate) fn first_try(&mut self) {
        self.retries.add(self.ratio);
    }

    /// Takes a retry; returns false if the budget is used up.
    pub(crate) fn take(&mut self) -> bool {
        self.retries.take()
    }
}

/// How many times the usual time to an answer's head a try waits for it.
const PATIENCE_FACTOR: f64 = 8.0;

/// The weight of the newest answer in the usual time.
const NEWEST_WEIGHT: f64 = 0.1;

/// How long a try waits for the head of its answer, and for each further piece.
#[derive(Debug)]
pub(crate) struct Patience {
    least: Duration,
    most: Duration,
    /// The usual time to an answer's head, in seconds.
    usual: f64,
}

impl Patience {
    /// Begins with what is least expected.
    pub(crate) fn new(least: Duration, most: Duration) -> Self {
        Self { least: least.min(most), most, usual: 0.0 }
    }

    /// Returns how long a try waits after `lost` tries without an answer.
    pub(crate) fn next(&self, lost: u32) -> Duration {
        let usual = Duration::from_secs_f64(self.usual * PATIENCE_FACTOR);

        usual.max(self.least).saturating_mul(1 << lost.min(8)).min(self.most)
    }

    /// Takes in how long the head of an answer took.
    pub(crate) fn answered(&mut self, took: Duration) {
        self.usual += (took.as_secs_f64() - self.usual) * NEWEST_WEIGHT;
    }

    /// Takes in that a try waited this long in vain: answers may take longer now.
    pub(crate) fn lost(&mut self, waited: Duration) {
        let bound = waited.as_secs_f64() / PATIENCE_FACTOR;
        self.usual = self.usual.max(bound);
    }
}
