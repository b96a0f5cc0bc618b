//! The hosts that are silent for one tenant, and the estimates of what they have admitted.
//!
//! The silent hosts are charged for as a whole, so that the cost of a tick does not depend on how
//! many there are. The calls of each are worked out when it reports again.

use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::HostId;

/// A host at the moment at which it is found silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilentHost {
    /// The fraction of the rate that it is assumed to use.
    pub(super) share: f64,
    /// The calls that it is assumed to have admitted since its last report.
    pub(super) estimated: f64,
}

/// What is known about a host that is silent, or was when it last reported the tenant's calls.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// The fraction of the rate that it is assumed to use; `None` once it is no longer silent.
    share: Option<f64>,
    /// The calls charged for it before `charged_from`.
    estimated: f64,
    /// The value of [`SilentHosts::charged`] from which on its share is charged.
    charged_from: f64,
}

/// The silent hosts of one tenant.
#[derive(Clone, Debug, Default)]
pub(super) struct SilentHosts {
    hosts: Map<HostId, Entry>,
    /// The sum of the shares of all silent hosts.
    share: f64,
    /// The calls charged so far for a share of the whole rate.
    charged: f64,
    /// The number of changes of the set of silent hosts that this state includes.
    version: u64,
}

impl SilentHosts {
    /// Returns the sum of the shares of all silent hosts.
    pub(super) fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether a host is silent.
    pub(super) fn contains(&self, host: HostId) -> bool {
        self.hosts.get(&host).is_some_and(|entry| entry.share.is_some())
    }

    /// Sets the number of changes of the set of silent hosts. Returns whether it was another one.
    pub(super) fn update_version(&mut self, version: u64) -> bool {
        std::mem::replace(&mut self.version, version) != version
    }

    /// Charges each silent host for its share of so many calls. Returns the sum of their calls.
    pub(super) fn charge_per_share(&mut self, calls: f64) -> f64 {
        self.charged += calls;

        self.share * calls
    }

    /// Divides calls among the silent hosts in proportion to their shares.
    pub(super) fn add_calls(&mut self, calls: f64) {
        if self.share > 0.0 {
            self.charged += calls / self.share;
        }
    }

    /// Adds a host that has gone silent.
    pub(super) fn begin_silence(&mut self, host: HostId, silent: SilentHost) {
        let before = self.hosts.get(&host).map_or(0.0, |entry| entry.estimated);
        let entry = Entry {
            share: Some(silent.share),
            estimated: before + silent.estimated,
            charged_from: self.charged,
        };

        self.hosts.insert(host, entry);
        self.share += silent.share;
    }

    /// Stops charging for a host, and keeps its estimate until the tenant's calls there are
    /// reported.
    pub(super) fn end_silence(&mut self, host: HostId) {
        let Some(entry) = self.hosts.get_mut(&host) else { return };

        entry.end(self.charged);
        self.sum_shares();
    }

    /// Stops charging for all hosts but these.
    pub(super) fn end_except(&mut self, silent: &Set<HostId>) {
        let ended = self.hosts.iter_mut().filter(|(host, _)| !silent.contains(host));

        ended.for_each(|(_, entry)| entry.end(self.charged));
        self.sum_shares();
    }

    /// Returns the calls that were charged for a host and removes it.
    pub(super) fn take_estimate(&mut self, host: HostId) -> f64 {
        let Some(mut entry) = self.hosts.remove(&host) else { return 0.0 };

        entry.end(self.charged);
        self.sum_shares();
        entry.estimated
    }

    /// Removes a host.
    pub(super) fn remove(&mut self, host: HostId) {
        self.take_estimate(host);
    }

    /// Keeps only hosts that belong to the fleet.
    pub(super) fn retain(&mut self, is_member: impl Fn(HostId) -> bool) {
        self.hosts.retain(|host, _| is_member(*host));
        self.sum_shares();
    }

    fn sum_shares(&mut self) {
        self.share = self.hosts.values().filter_map(|entry| entry.share).sum();
    }
}

impl Entry {
    /// Fixes the estimate and stops charging.
    fn end(&mut self, charged: f64) {
        if let Some(share) = self.share.take() {
            self.estimated += share * (charged - self.charged_from);
        }
    }
}
