//! What a client starts with.

use std::net::SocketAddr;
use std::time::Duration;

use crate::protocol::StoreProtocol;

/// What a client starts with.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Where the platform listens.
    pub address: SocketAddr,
    /// The host's availability zone, which the platform is told.
    pub zone: Box<str>,
    /// The longest that one try waits for the head of its answer, and how long it then waits for
    /// each further piece; an answer may take ten of these, and an operation some tries.
    pub deadline: Duration,
    /// The least time that a try waits for the head. It waits a few times what the heads of answers took of
    /// late, at least this and at most `deadline`, and twice as long after each lost answer: one
    /// lost answer then costs an operation milliseconds instead of the whole deadline.
    pub min_deadline: Duration,
    /// When an operation is tried again.
    pub retry: RetryOptions,
    /// How much the host may ask of the platform.
    pub quota: QuotaOptions,
    /// The seed of the jitter between tries.
    pub seed: u64,
    /// How operations are put to the platform.
    pub protocol: StoreProtocol,
}

impl ClientOptions {
    /// Makes the options for the platform at `address`, with defaults for the rest.
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

/// When an operation is tried again.
#[derive(Clone, Copy, Debug)]
pub struct RetryOptions {
    /// The most tries of one operation, the first included.
    pub max_attempts: u32,
    /// How many retries each first try allows, over all operations.
    pub ratio: f64,
    /// The most retries that are saved up; the budget starts with these.
    pub max_saved: f64,
    /// The mean pause before the first retry; it doubles with each further one.
    pub base_backoff: Duration,
    /// How long after its first try an operation may still be tried again, and after a lost
    /// answer its rows be taken for a sign of what became of it. Rows that are written with
    /// an absent-check have to stay as they are for longer.
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

/// How much a host may ask of the platform, as its operators declare.
#[derive(Clone, Copy, Debug)]
pub struct QuotaOptions {
    /// Reads, scans, object reads and host lists a second.
    pub reads_per_second: f64,
    /// Transactions and object writes a second.
    pub writes_per_second: f64,
    /// For how many seconds an unused share is saved up.
    pub burst_seconds: f64,
}

impl Default for QuotaOptions {
    /// A host's share where eleven hosts share what the platform handles.
    fn default() -> Self {
        Self { reads_per_second: 180.0, writes_per_second: 30.0, burst_seconds: 2.0 }
    }
}
