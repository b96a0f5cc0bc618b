//! The exact token bucket that all methods are compared with.

/// One token, in the unit of levels: 10^-12 tokens.
const TOKEN: u128 = 1_000_000_000_000;

/// A token bucket with the whole rate and burst of one tenant.
///
/// A bucket that starts full admits all calls of a sequence if and only if no window of time t
/// contains more than B + R t of them (burst and rate).
#[derive(Clone, Debug)]
pub struct ExactBucket {
    level: u128,
    at: u64,
}

impl ExactBucket {
    /// Creates a full bucket at time zero.
    pub fn full(burst: u32) -> Self {
        Self { level: u128::from(burst) * TOKEN, at: 0 }
    }

    /// Creates an empty bucket at a time in microseconds.
    ///
    /// ```
    /// use camphorwalk_bench::limits::ExactBucket;
    /// assert!(!ExactBucket::empty(5).take(5, 2.0, 1));
    /// ```
    pub fn empty(at: u64) -> Self {
        Self { level: 0, at }
    }

    /// Takes a token at a time in microseconds; returns whether there was one.
    ///
    /// ```
    /// use camphorwalk_bench::limits::ExactBucket;
    /// let mut bucket = ExactBucket::full(1);
    /// assert!(bucket.take(0, 2.0, 1));
    /// assert!(!bucket.take(499_999, 2.0, 1));
    /// assert!(bucket.take(500_000, 2.0, 1));
    /// ```
    pub fn take(&mut self, at: u64, rate: f64, burst: u32) -> bool {
        self.refill(at, rate, burst);

        let enough = TOKEN <= self.level;
        self.level -= if enough { TOKEN } else { 0 };
        enough
    }

    /// Refills the bucket up to a time in microseconds.
    ///
    /// ```
    /// use camphorwalk_bench::limits::ExactBucket;
    /// let mut bucket = ExactBucket::full(1);
    /// bucket.refill(500_000, 2.0, 2);
    /// assert!(bucket.take(500_000, 2.0, 2) && bucket.take(500_000, 2.0, 2));
    /// ```
    pub fn refill(&mut self, at: u64, rate: f64, burst: u32) {
        let inflow = u128::from(at.saturating_sub(self.at)) * u128::from((rate * 1e6) as u64);
        self.level = (self.level + inflow).min(u128::from(burst) * TOKEN);
        self.at = self.at.max(at);
    }

    /// Returns the time up to which the bucket is refilled, in microseconds.
    ///
    /// ```
    /// assert_eq!(camphorwalk_bench::limits::ExactBucket::full(1).at(), 0);
    /// ```
    pub fn at(&self) -> u64 {
        self.at
    }
}
