//! The Prometheus metrics of the client.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};

use crate::attempt_log::AttemptEnd;
use crate::limits::Access;

/// The bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// The metrics of a client; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Operations, by operation and outcome.
    operations: IntCounterVec,
    /// Retries, by operation.
    retries: IntCounterVec,
    /// Attempts, by access, table and how they ended.
    attempts: IntCounterVec,
    /// The duration of operations including retries and pauses, by operation.
    seconds: HistogramVec,
}

impl Metrics {
    /// Creates the metrics, not registered yet.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let operations = Opts::new(
            "camphorwalk_store_operations_total",
            "Operations on the platform, by kind and outcome.",
        );
        let retries = Opts::new(
            "camphorwalk_store_retries_total",
            "Operations on the platform that were tried again, by kind.",
        );
        let attempts = Opts::new(
            "camphorwalk_store_attempts_total",
            "Attempts of operations on the platform, by access, table and end.",
        );
        let seconds = HistogramOpts::new(
            "camphorwalk_store_operation_seconds",
            "How long operations on the platform took, in seconds, with all tries.",
        );

        Ok(Self {
            operations: IntCounterVec::new(operations, &["operation", "outcome"])?,
            retries: IntCounterVec::new(retries, &["operation"])?,
            attempts: IntCounterVec::new(attempts, &["access", "table", "end"])?,
            seconds: HistogramVec::new(seconds.buckets(LATENCY_BOUNDS.to_vec()), &["operation"])?,
        })
    }

    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.operations.clone()))?;
        registry.register(Box::new(self.retries.clone()))?;
        registry.register(Box::new(self.attempts.clone()))?;
        registry.register(Box::new(self.seconds.clone()))
    }

    /// Records the end of an operation.
    pub(crate) fn record_operation(&self, operation: &str, outcome: &str, took: Duration) {
        self.operations.with_label_values(&[operation, outcome]).inc();
        self.seconds.with_label_values(&[operation]).observe(took.as_secs_f64());
    }

    /// Records an operation that was not sent because the quota was used up.
    pub(crate) fn record_over_quota(&self, operation: &str) {
        self.operations.with_label_values(&[operation, "over_share"]).inc();
    }

    /// Records the end of an attempt.
    pub(crate) fn record_attempt(&self, access: Access, table: &str, end: AttemptEnd) {
        self.attempts.with_label_values(&[access.name(), table, end.name()]).inc();
    }

    /// Records a retry.
    pub(crate) fn record_retry(&self, operation: &str) {
        self.retries.with_label_values(&[operation]).inc();
    }
}
