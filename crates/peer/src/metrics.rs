//! The Prometheus metrics of connections between hosts.

use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// The metrics of connections between hosts.
pub(crate) struct Metrics {
    /// Frames by `direction`.
    frames: IntCounterVec,
    /// Bytes of frames by `direction`.
    bytes: IntCounterVec,
    /// The counters of received frames.
    received: FrameCounters,
    /// The counters of sent frames.
    sent: FrameCounters,
    /// Open connections by `direction`.
    pub(crate) connections: IntGaugeVec,
    /// Incoming connections that were closed, by `reason`.
    pub(crate) closed: IntCounterVec,
    /// Outgoing connections that failed or ended, by `reason`.
    pub(crate) failed: IntCounterVec,
    /// Messages that were not queued or not sent, by `reason`.
    pub(crate) dropped: IntCounterVec,
}

/// The direction of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// Received.
    In,
    /// Sent.
    Out,
}

impl Direction {
    fn label(self) -> &'static str {
        match self {
            Self::In => "in",
            Self::Out => "out",
        }
    }
}

/// The counters of the frames of one direction. They are looked up once, since there are several
/// hundred frames a second.
struct FrameCounters {
    frames: IntCounter,
    bytes: IntCounter,
}

impl FrameCounters {
    fn new(frames: &IntCounterVec, bytes: &IntCounterVec, direction: Direction) -> Self {
        let label = [direction.label()];

        Self { frames: frames.with_label_values(&label), bytes: bytes.with_label_values(&label) }
    }
}

impl Metrics {
    /// Creates the metrics, not registered yet.
    pub(crate) fn new() -> Self {
        let frames = counters("frames_total", "Frames between hosts.", "direction");
        let bytes = counters("bytes_total", "Bytes of frames between hosts.", "direction");

        Self {
            received: FrameCounters::new(&frames, &bytes, Direction::In),
            sent: FrameCounters::new(&frames, &bytes, Direction::Out),
            frames,
            bytes,
            connections: gauges("connections", "Open connections between hosts.", "direction"),
            closed: counters("closed_total", "Incoming connections closed.", "reason"),
            failed: counters("failed_total", "Outgoing connections failed or ended.", "reason"),
            dropped: counters("dropped_total", "Messages not taken or lost.", "reason"),
        }
    }

    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        for counter in [&self.frames, &self.bytes, &self.closed, &self.failed, &self.dropped] {
            registry.register(Box::new(counter.clone()))?;
        }

        registry.register(Box::new(self.connections.clone()))
    }

    /// Counts one frame.
    pub(crate) fn record_frame(&self, direction: Direction, bytes: usize) {
        let counters = match direction {
            Direction::In => &self.received,
            Direction::Out => &self.sent,
        };

        counters.frames.inc();
        counters.bytes.inc_by(bytes as u64);
    }

    /// Counts messages that were not queued or not sent.
    pub(crate) fn record_dropped(&self, reason: &str, count: usize) {
        self.dropped.with_label_values(&[reason]).inc_by(count as u64);
    }
}

/// Counts a connection as open until dropped.
pub(crate) struct OpenConnectionGuard(IntGauge);

impl OpenConnectionGuard {
    /// Counts a connection in this direction.
    pub(crate) fn new(metrics: &Metrics, direction: Direction) -> Self {
        let gauge = metrics.connections.with_label_values(&[direction.label()]);
        gauge.inc();

        Self(gauge)
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Creates the options of a metric with this crate's prefix.
fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("camphorwalk").subsystem("peer")
}

/// Creates counters with one label. The names are constants, so this cannot fail.
fn counters(name: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(opts(name, help), &[label]).expect("a valid metric name")
}

/// Creates gauges with one label. The names are constants, so this cannot fail.
fn gauges(name: &str, help: &str, label: &str) -> IntGaugeVec {
    IntGaugeVec::new(opts(name, help), &[label]).expect("a valid metric name")
}
