//! What a host counts.

use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bounds of latencies, in seconds: from a call within a zone to the longest time limit.
const LATENCY_BOUNDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// The counters of a host.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answers by route and status.
    pub(crate) answers: IntCounterVec,
    /// The time to an answer's head, by route.
    pub(crate) latency: HistogramVec,
    /// Answers of our own by reason.
    pub(crate) refusals: IntCounterVec,
    /// Calls sent again, by reason.
    pub(crate) resends: IntCounterVec,
    /// Calls that waited for a place.
    pub(crate) waited: IntCounter,
    /// Targets that got no calls for a while after failures.
    pub(crate) ejections: IntCounter,
    /// New connections to targets.
    pub(crate) connects: IntCounter,
    /// The version of the manifest in force.
    pub(crate) manifest_version: IntGauge,
    /// Operations on the store that another host ran.
    pub(crate) relayed: IntCounter,
    /// Turns read from the store because they were not at hand.
    pub(crate) turn_reads: IntCounter,
}

impl Metrics {
    /// Makes the counters.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            answers: IntCounterVec::new(
                Opts::new("camphorwalk_answers_total", "Answers by route and status."),
                &["route", "status"],
            )?,
            latency: HistogramVec::new(
                HistogramOpts::new(
                    "camphorwalk_answer_seconds",
                    "Seconds from a request's head to its answer's head, by route.",
                )
                .buckets(LATENCY_BOUNDS.to_vec()),
                &["route"],
            )?,
            refusals: IntCounterVec::new(
                Opts::new("camphorwalk_refusals_total", "Answers of our own by reason."),
                &["reason"],
            )?,
            resends: IntCounterVec::new(
                Opts::new("camphorwalk_resends_total", "Calls sent again, by reason."),
                &["reason"],
            )?,
            waited: IntCounter::new("camphorwalk_waited_total", "Calls that waited for a place.")?,
            ejections: IntCounter::new("camphorwalk_ejections_total", "Targets ejected.")?,
            connects: IntCounter::new("camphorwalk_connects_total", "Connections to targets.")?,
            manifest_version: IntGauge::new(
                "camphorwalk_manifest_version",
                "The version of the manifest in force.",
            )?,
            relayed: IntCounter::new(
                "camphorwalk_store_relayed_total",
                "Operations on the store that another host ran.",
            )?,
            turn_reads: IntCounter::new(
                "camphorwalk_turn_reads_total",
                "Turns read from the store because they were not at hand.",
            )?,
            registry,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.answers.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.resends.clone()))?;
        registry.register(Box::new(metrics.waited.clone()))?;
        registry.register(Box::new(metrics.ejections.clone()))?;
        registry.register(Box::new(metrics.connects.clone()))?;
        registry.register(Box::new(metrics.manifest_version.clone()))?;
        registry.register(Box::new(metrics.turn_reads.clone()))?;
        registry.register(Box::new(metrics.relayed.clone()))?;

        Ok(metrics)
    }

    /// Returns the registry.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns all figures as text.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();

        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::warn!(error = %e, "metrics: not written");
        }
        text
    }
}
