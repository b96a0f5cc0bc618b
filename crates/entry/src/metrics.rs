//! The metrics of a host.

use prometheus::{
    Encoder as _, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, TextEncoder, register_gauge_vec_with_registry,
    register_histogram_vec_with_registry, register_histogram_with_registry,
    register_int_counter_vec_with_registry, register_int_counter_with_registry,
    register_int_gauge_vec_with_registry, register_int_gauge_with_registry,
};

/// Bucket bounds of latencies, in seconds: from a call within a zone to the longest time limit.
const LATENCY_BOUNDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// Bucket bounds of waiting times, in seconds: from no wait to the longest that a call waits.
const WAIT_BOUNDS: [f64; 7] = [0.001, 0.005, 0.02, 0.05, 0.2, 0.8, 4.0];

/// The metrics of a host and their registry.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answers by route and status.
    pub(crate) answers: IntCounterVec,
    /// The time from a request to the head of its answer, by route.
    pub(crate) latency: HistogramVec,
    /// The time from a request to the head of its answer, by tenant. There are a few hundred
    /// tenants at most.
    pub(crate) tenant_latency: HistogramVec,
    /// Answers that the host made itself, by reason.
    pub(crate) refusals: IntCounterVec,
    /// Calls that were refused because they exceed their tenant's rate, by whether their program is
    /// new or running.
    pub(crate) rate_refusals: IntCounterVec,
    /// New programs that were refused because targets have no room, by cause.
    pub(crate) full_refusals: IntCounterVec,
    /// The bytes held for slow readers, by direction, if they have a bound.
    pub(crate) held_bytes: IntGaugeVec,
    /// Answers that were given up because their caller does not take them or there is no room for
    /// them, and requests whose head did not arrive in time, by cause.
    pub(crate) given_up: IntCounterVec,
    /// Up to which fraction of a service's slots programs start, by rank, as of the last one.
    pub(crate) start_limit: GaugeVec,
    /// New programs that were refused because targets have no room, by the term of their limits
    /// that refused them.
    pub(crate) refused_starts: IntCounterVec,
    /// New programs by how they arrive: for the first time, or as told when they were refused.
    pub(crate) returns: IntCounterVec,
    /// Connections of callers that ended before the answer to their request was complete, by cause.
    pub(crate) unanswered: IntCounterVec,
    /// Calls that were sent to another target or resumed, by reason.
    pub(crate) resends: IntCounterVec,
    /// Streams that callers resumed, by who knew at which version they began.
    pub(crate) stream_lookups: IntCounterVec,
    /// Streams that were sent to a target to be resumed, by who resumed them: `host`, within one
    /// answer, or `caller`.
    pub(crate) resumptions: IntCounterVec,
    /// Calls that had to wait for a place.
    pub(crate) queued_calls: IntCounter,
    /// How long calls waited for the place that they got.
    pub(crate) place_wait: Histogram,
    /// How long calls that were then admitted waited for a token of their tenant's rate limit.
    pub(crate) rate_wait: Histogram,
    /// Places that calls took, by why their target was chosen, if the host prefers some targets.
    pub(crate) placements: IntCounterVec,
    /// Load notices to and from other hosts, by what was done with them.
    pub(crate) load_notices: IntCounterVec,
    /// Ejections: targets that get no calls for a while after failures.
    pub(crate) ejections: IntCounter,
    /// Crashes of targets with calls of this host in flight.
    pub(crate) crashes: IntCounter,
    /// Calls that were not sent although they had a place at a target, by reason.
    pub(crate) prevented_sends: IntCounterVec,
    /// The number of evacuated availability zones.
    pub(crate) evacuated_zones: IntGauge,
    /// The time per event of targets relative to the mean of their service, by target.
    pub(crate) target_pace: GaugeVec,
    /// Attempts to open a new connection to a target.
    pub(crate) connects: IntCounter,
    /// The version of the manifest in force.
    pub(crate) manifest_version: IntGauge,
    /// Requests of other hosts for the manifest, by outcome.
    pub(crate) manifest_copies: IntCounterVec,
    /// Whether the host considers itself isolated.
    pub(crate) isolated: IntGauge,
    /// Failed writes of turns, by reason.
    pub(crate) turn_write_failures: IntCounterVec,
    /// The time from the end of a turn until it was stored.
    pub(crate) turn_write_wait: Histogram,
    /// Grants that this host made without the store.
    pub(crate) grants_without_store: IntCounter,
    /// Operations on the store that were relayed through another host.
    pub(crate) relayed_operations: IntCounter,
    /// Writes that were not sent because the hosts together exceed the store's rate.
    pub(crate) throttled_writes: IntCounter,
    /// Reads of a turn from the store because this host did not have it in memory.
    pub(crate) turn_reads: IntCounter,
    /// Turns that were received with a whole conversation from another host. Turns that were
    /// requested one by one are not counted.
    pub(crate) turns_fetched: IntCounter,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let r = Registry::new();
        let latency = |name, help, label: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
            register_histogram_vec_with_registry!(opts, &[label], r)
        };
        let wait = |name, help| {
            let opts = HistogramOpts::new(name, help).buckets(WAIT_BOUNDS.to_vec());
            register_histogram_with_registry!(opts, r)
        };
        let by = |name, help, labels: &[&str]| {
            register_int_counter_vec_with_registry!(Opts::new(name, help), labels, r)
        };
        let counter = |name, help| register_int_counter_with_registry!(name, help, r);
        let gauge = |name, help| register_int_gauge_with_registry!(name, help, r);

        Ok(Self {
            answers: by(
                "camphorwalk_answers_total",
                "Answers by route and status.",
                &["route", "status"],
            )?,
            latency: latency(
                "camphorwalk_answer_seconds",
                "Seconds from a request's head to its answer's head, by route.",
                "route",
            )?,
            tenant_latency: latency(
                "camphorwalk_tenant_answer_seconds",
                "Seconds from a request's head to its answer's head, by tenant.",
                "tenant",
            )?,
            refusals: by(
                "camphorwalk_refusals_total",
                "Answers of our own by reason.",
                &["reason"],
            )?,
            rate_refusals: by(
                "camphorwalk_rate_refusals_total",
                "Calls refused over their tenant's rate, of new or running programs.",
                &["program"],
            )?,
            full_refusals: by(
                "camphorwalk_full_refusals_total",
                "New programs refused because targets have no room, by cause.",
                &["cause"],
            )?,
            held_bytes: register_int_gauge_vec_with_registry!(
                Opts::new("camphorwalk_held_bytes", "Bytes held for slow readers, by direction."),
                &["direction"],
                r
            )?,
            given_up: by(
                "camphorwalk_given_up_total",
                "Answers and requests given up, by cause.",
                &["cause"],
            )?,
            start_limit: register_gauge_vec_with_registry!(
                "camphorwalk_start_limit",
                "The fraction of a service's slots up to which programs start, by rank.",
                &["rank"],
                r
            )?,
            refused_starts: by(
                "camphorwalk_refused_starts_total",
                "New programs refused because targets have no room, by term of their limits.",
                &["term"],
            )?,
            returns: by(
                "camphorwalk_returns_total",
                "New programs by how they arrive: first, early or as told.",
                &["arrival"],
            )?,
            unanswered: by(
                "camphorwalk_unanswered_total",
                "Connections of callers that ended before the answer, by cause.",
                &["cause"],
            )?,
            resends: by("camphorwalk_resends_total", "Calls sent again, by reason.", &["reason"])?,
            stream_lookups: by(
                "camphorwalk_stream_lookups_total",
                "Streams that callers resumed, by who knew where they began.",
                &["source"],
            )?,
            resumptions: by(
                "camphorwalk_resumptions_total",
                "Streams sent to a target to be resumed, by the host or by the caller.",
                &["by"],
            )?,
            queued_calls: counter("camphorwalk_waited_total", "Calls that waited for a place.")?,
            place_wait: wait(
                "camphorwalk_place_wait_seconds",
                "Seconds that calls waited for a place which they got.",
            )?,
            rate_wait: wait(
                "camphorwalk_rate_wait_seconds",
                "Seconds that calls waited for a token of their tenant's rate.",
            )?,
            placements: by(
                "camphorwalk_placements_total",
                "Places that calls took, by why their target was chosen.",
                &["kind"],
            )?,
            load_notices: by(
                "camphorwalk_load_notices_total",
                "Load notices to and from other hosts, by outcome.",
                &["outcome"],
            )?,
            ejections: counter("camphorwalk_ejections_total", "Targets ejected.")?,
            crashes: counter(
                "camphorwalk_target_crashes_total",
                "Crashes of targets with calls of this host in flight.",
            )?,
            prevented_sends: by(
                "camphorwalk_prevented_sends_total",
                "Calls not sent to the target that was chosen for them, by reason.",
                &["reason"],
            )?,
            evacuated_zones: gauge(
                "camphorwalk_evacuated_zones",
                "The number of evacuated availability zones.",
            )?,
            target_pace: register_gauge_vec_with_registry!(
                "camphorwalk_target_pace",
                "Time per event of a target relative to the mean of its service.",
                &["target"],
                r
            )?,
            connects: counter("camphorwalk_connects_total", "Connections to targets.")?,
            manifest_version: gauge(
                "camphorwalk_manifest_version",
                "The version of the manifest in force.",
            )?,
            manifest_copies: by(
                "camphorwalk_manifest_copies_total",
                "Other hosts that asked for the manifest: sent or refused.",
                &["outcome"],
            )?,
            isolated: gauge(
                "camphorwalk_isolated",
                "1 while the host is cut off from the store and other zones.",
            )?,
            turn_write_failures: by(
                "camphorwalk_keep_failures_total",
                "Writes of turns that failed, by reason.",
                &["reason"],
            )?,
            turn_write_wait: wait(
                "camphorwalk_keep_wait_seconds",
                "Seconds that turns which had ended waited until they were kept.",
            )?,
            grants_without_store: counter(
                "camphorwalk_loose_grants_total",
                "Grants made in the store's place by this host.",
            )?,
            relayed_operations: counter(
                "camphorwalk_store_relayed_total",
                "Operations on the store that another host ran.",
            )?,
            throttled_writes: counter(
                "camphorwalk_store_throttled_total",
                "Writes not sent because the hosts together exceed the store's rate.",
            )?,
            turns_fetched: counter(
                "camphorwalk_turns_fetched_total",
                "Turns that another host sent.",
            )?,
            turn_reads: counter(
                "camphorwalk_turn_reads_total",
                "Turns read from the store because they were not at hand.",
            )?,
            registry: r,
        })
    }

    /// Returns the registry.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();

        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::warn!(error = %e, "metrics: cannot be encoded");
        }
        text
    }
}
