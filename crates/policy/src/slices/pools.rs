//! Which host pools a tenant's slices.

use camphorwalk_core::hash::{Map, rendezvous};
use camphorwalk_core::ids::{HostId, TenantId};

/// The most hosts that pool tenants.
///
/// Each owner of a column renews its loans with each pool host. In a large fleet nearly
/// every host would pool some tenant, and owners would spend their bytes on renewals.
const MOST_POOL_HOSTS: usize = 64;

/// The pool host of each tenant, as this host sees the fleet.
///
/// It steers only. Hosts whose views differ pool different slices of a tenant.
#[derive(Clone, Debug)]
pub(super) struct Pools {
    me: HostId,
    /// In order. Ids are hashes of names: the first ones are as good as drawn by lot.
    hosts: Vec<HostId>,
    known: Map<TenantId, HostId>,
}

impl Pools {
    /// Makes the view of a host that knows of no other.
    pub(super) fn new(me: HostId) -> Self {
        Self { me, hosts: vec![me], known: Map::default() }
    }

    /// Takes in the hosts that can be reached.
    pub(super) fn set_hosts(&mut self, mut hosts: Vec<HostId>) {
        hosts.sort_unstable();
        hosts.dedup();

        if hosts.is_empty() {
            hosts.push(self.me);
        }

        self.hosts = hosts;
        self.known.clear();
    }

    /// Returns whether a host can be reached.
    pub(super) fn reaches(&self, host: HostId) -> bool {
        self.hosts.binary_search(&host).is_ok()
    }

    /// Returns the pool host of a tenant.
    pub(super) fn of(&mut self, tenant: TenantId) -> HostId {
        // Hosts are weighed once for each tenant, not once for each call.
        *self.known.entry(tenant).or_insert_with(|| {
            let candidates = self.hosts.iter().take(MOST_POOL_HOSTS);
            let winner = rendezvous(tenant.0, candidates.map(|host| host.0));

            winner.map_or(self.me, HostId)
        })
    }
}
