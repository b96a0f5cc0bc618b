//! The options of a client.

use std::net::SocketAddr;
use std::time::Duration;

use crate::protocol::StoreProtocol;

/// The options of a client.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// The platform's address.
    pub address: SocketAddr,
    /// The host's availability zone, sent with each request.
    pub zone: Box<str>,
    /// The longest wait of an attempt for the response head, beyond the wait that the request asks
    /// for, and then for each piece of the body. A whole body may take ten times as long, and an
    /// operation may make several attempts.
    pub deadline: Duration,
    /// The shortest wait of an attempt for the response head. The wait is a multiple of the recent
    /// average, between this and `deadline`, and doubles after each lost response. With a value
    /// below `deadline`, a lost response costs an operation milliseconds instead of the deadline.
    pub min_deadline: Duration,
    /// Limits on retries.
    pub retry: RetryOptions,
    /// The host's request quota.
    pub quota: QuotaOptions,
    /// The seed of the jitter between attempts.
    pub seed: u64,
    /// The protocol of the platform.
    pub protocol: StoreProtocol,
}

impl ClientOptions {
    /// Creates the options for the platform at `address`, with defaults for the rest.
    ///
    /// ```
    /// use camphorwalk_store::ClientOptions;
    /// let options = ClientOptions::new("127.0.0.1:9000".parse().unwrap(), "a");
    /// assert_eq!(options.retry.max_attempts, 3);
    /// ```
    pub fn new(address: SocketAddr, zone: &str) -> Self {
        Self {
            address,
            zone: zone.into(),
            deadline: Duration::from_millis(500),
            min_deadline: Duration::from_millis(500),
            retry: RetryOptions::default(),
            quota: QuotaOptions::default(),
            seed: 0,
            protocol: StoreProtocol::default(),
        }
    }
}

/// Limits on retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryOptions {
    /// The most attempts of one operation, including the first.
    pub max_attempts: u32,
    /// How many retries each first attempt adds to the budget, which all operations share.
    pub ratio: f64,
    /// The capacity of the retry budget, which starts full.
    pub max_saved: f64,
    /// The mean pause before the first retry. It doubles with each further retry.
    pub base_backoff: Duration,
    /// How long after its first attempt an operation may be retried, and a conflict may be used to
    /// determine the outcome of an attempt whose response was lost. Rows whose creation shows that
    /// outcome (witnesses, see the module `witness`) must stay unchanged for longer than this.
    pub retry_window: Duration,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            ratio: 0.2,
            max_saved: 10.0,
            base_backoff: Duration::from_millis(10),
            retry_window: Duration::from_secs(2),
        }
    }
}

/// A host's request quota at the platform, as configured by the operators.
#[derive(Clone, Copy, Debug)]
pub struct QuotaOptions {
    /// Reads, scans, object reads and host lists per second.
    pub reads_per_second: f64,
    /// Transactions and object writes per second.
    pub writes_per_second: f64,
    /// How many seconds' worth of unused quota is kept for bursts.
    pub burst_seconds: f64,
}

impl Default for QuotaOptions {
    /// The quota of a host when eleven hosts share the capacity of the platform.
    fn default() -> Self {
        Self { reads_per_second: 180.0, writes_per_second: 30.0, burst_seconds: 2.0 }
    }
}
