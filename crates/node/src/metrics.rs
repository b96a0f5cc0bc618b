//! The metrics of a host.
//!
//! Label values are declared tenants, request kinds, refusal codes and outcomes of attempts. The
//! tenants are those of the configuration and the other sets are fixed, so the number of series is
//! bounded.

use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bucket bounds for latencies, in seconds: from calls over loopback to whole programs.
const SECONDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0];

/// The metrics of a host and the registry that holds them.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time from the arrival of a request to its final answer, in seconds, by tenant and kind.
    pub request_seconds: HistogramVec,
    /// Time from the arrival of a streamed call to its first part, in seconds, by tenant.
    pub first_part_seconds: HistogramVec,
    /// Refusals and failures, by tenant and code.
    pub refusals: IntCounterVec,
    /// The number of requests that are open.
    pub open_requests: IntGauge,
    /// Events that the control thread has handled.
    pub events: IntCounter,
    /// Attempts sent to targets, by outcome.
    pub attempts: IntCounterVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let histogram = |name, help, labels: &[&str]| {
            let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
            let vec = HistogramVec::new(opts, labels)?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        let counters = |name, help, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };

        let request_seconds = histogram(
            "camphorwalk_request_seconds",
            "Time from a request's arrival to its final answer, in seconds.",
            &["tenant", "kind"],
        )?;
        let first_part_seconds = histogram(
            "camphorwalk_first_part_seconds",
            "Time from a streamed call's arrival to its first part, in seconds.",
            &["tenant"],
        )?;
        let refusals = counters(
            "camphorwalk_refusals_total",
            "Refusals and failures told to callers.",
            &["tenant", "code"],
        )?;
        let attempts = counters(
            "camphorwalk_attempts_total",
            "Attempts sent to targets, by how they ended.",
            &["end"],
        )?;
        let open_requests =
            IntGauge::new("camphorwalk_open_requests", "Requests that are open now.")?;
        let events = IntCounter::new(
            "camphorwalk_control_events_total",
            "Events that the control thread has handled.",
        )?;
        registry.register(Box::new(open_requests.clone()))?;
        registry.register(Box::new(events.clone()))?;

        Ok(Self {
            registry,
            request_seconds,
            first_part_seconds,
            refusals,
            open_requests,
            events,
            attempts,
        })
    }

    /// Returns the registry, in which other crates register their metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        // Encoding into memory fails only for malformed names, which registration rejects.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);

        String::from_utf8_lossy(&buf).into_owned()
    }
}
