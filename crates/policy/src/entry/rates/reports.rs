//! The status updates that were received from other hosts.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;

use super::TenantStatus;

/// How long a silent host is assumed to keep admitting calls within its share. During a network
/// partition it does; if the others took over its share at once, both sides together would exceed
/// the rate. This is about the time after which a host whose row does not change stops counting as
/// part of the fleet.
pub(super) const SILENT_SHARE_LIFETIME: Duration = Duration::from_secs(15);

/// A host that has sent no status update for this long is silent. In a small fleet status updates
/// arrive every 100 ms.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// The status updates received from one other host.
#[derive(Clone, Debug, Default)]
pub(super) struct HostReport {
    pub(super) received_at: Instant,
    /// The time up to which the host's admitted calls have been reported or estimated.
    pub(super) counted_until: Instant,
    /// The run of its process from which a full status update has arrived. Before that, it is not
    /// known which of the calls it reports were already counted.
    pub(super) baseline_run: Option<u64>,
    /// Whether its demand is part of the accounts' sums: it belongs to the fleet, and is live or
    /// silent.
    pub(super) is_counted: bool,
    pub(super) tenants: Map<Box<str>, TenantReport>,
}

impl HostReport {
    /// Returns whether the host has reported all calls that it admitted.
    pub(super) fn has_baseline(&self) -> bool {
        self.baseline_run.is_some()
    }

    pub(super) fn is_silent(&self, now: Instant) -> bool {
        now.since(self.received_at) > SILENCE_TIMEOUT
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TenantReport {
    pub(super) status: TenantStatus,
    /// Until when the share that the host reserves for silent hosts is valid.
    pub(super) reserved_until: Instant,
}

/// The state of another host, judged by the age of its last status update.
pub(super) enum Liveness {
    /// It has never sent a status update to this process.
    Unknown,
    Live,
    /// It is assumed to keep admitting calls within its share.
    Silent,
    /// It is assumed to admit no calls any more.
    Gone,
}

pub(super) fn liveness(now: Instant, report: Option<&HostReport>) -> Liveness {
    match report {
        None => Liveness::Unknown,
        Some(report) if !report.is_silent(now) => Liveness::Live,
        Some(report) if now.since(report.received_at) <= SILENT_SHARE_LIFETIME => Liveness::Silent,
        Some(_) => Liveness::Gone,
    }
}
