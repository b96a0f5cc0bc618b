//! Assigns each tenant an admission host, which collects its slices and decides on its calls.

use camphorwalk_core::hash::{Map, rendezvous};
use camphorwalk_core::ids::{HostId, TenantId};

/// Maximum number of admission hosts in the fleet.
///
/// Each owner of a column renews its loans with each admission host. Without this limit, nearly
/// every host of a large fleet would be an admission host, and owners would spend their bandwidth
/// on renewals.
const MAX_ADMISSION_HOSTS: usize = 64;

/// The admission host of each tenant, from this host's view of the fleet.
///
/// The assignment affects efficiency only. Hosts with different views collect different slices of
/// a tenant.
#[derive(Clone, Debug)]
pub(super) struct AdmissionHosts {
    local_host: HostId,
    /// Sorted. Ids are hashes of names, so the first ones are a random selection.
    reachable_hosts: Vec<HostId>,
    by_tenant: Map<TenantId, HostId>,
}

impl AdmissionHosts {
    /// Creates the view of a host that knows no other hosts.
    pub(super) fn new(local_host: HostId) -> Self {
        Self { local_host, reachable_hosts: vec![local_host], by_tenant: Map::default() }
    }

    /// Sets the hosts that are live and not leaving.
    pub(super) fn set_hosts(&mut self, mut hosts: Vec<HostId>) {
        hosts.sort_unstable();
        hosts.dedup();

        if hosts.is_empty() {
            hosts.push(self.local_host);
        }

        self.reachable_hosts = hosts;
        self.by_tenant.clear();
    }

    /// Returns whether a host is live and not leaving.
    pub(super) fn is_reachable(&self, host: HostId) -> bool {
        self.reachable_hosts.binary_search(&host).is_ok()
    }

    /// Returns the admission host of a tenant.
    pub(super) fn get(&mut self, tenant: TenantId) -> HostId {
        // The result is cached so that hosts are not ranked again for each call.
        *self.by_tenant.entry(tenant).or_insert_with(|| {
            let candidates = self.reachable_hosts.iter().take(MAX_ADMISSION_HOSTS);
            let winner = rendezvous(tenant.0, candidates.map(|host| host.0));

            winner.map_or(self.local_host, HostId)
        })
    }
}
