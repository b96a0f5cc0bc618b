//! The blackboard: what the controllers of a host know together.

use std::sync::Arc;

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::{Map, Set, rendezvous};
use camphorwalk_core::ids::{HostId, KeyId, PartitionId, PoolId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::ConfigVersion;

use crate::leases::Holder;
use crate::leases::rows::SessionRow;

/// What the controllers of one host know together.
#[derive(Debug)]
pub struct HostState {
    /// This host.
    pub me: HostId,
    /// This host's name.
    pub name: Box<str>,
    /// The availability zone of this host.
    pub zone: ZoneId,
    /// Its name.
    pub zone_name: Box<str>,
    /// The configuration in force here.
    pub config: Option<Arc<Config>>,
    /// The zone of each other host that counts as alive and is not leaving.
    pub live_hosts: Map<HostId, ZoneId>,
    /// Who holds each partition, as far as this host knows.
    pub routes: Map<PartitionId, Holder>,
    /// The partitions that this host holds.
    pub held_partitions: Set<PartitionId>,
    /// The hosts with a session, as the platform showed them last.
    pub sessions: Vec<SessionRow>,
    /// The configuration version that each host was last heard to have in force.
    pub versions: Map<HostId, ConfigVersion>,
    /// Until when this host's leases surely hold.
    pub leases_valid_until: Instant,
    /// Keys that an earlier configuration had and the one in force has not.
    pub removed_keys: Set<KeyId>,
    /// Whether this host is leaving.
    pub leaving: bool,
}

impl HostState {
    /// Makes the blackboard of a host that knows of nothing yet.
    pub fn new(name: &str, zone: &str) -> Self {
        Self {
            me: HostId::from_name(name),
            name: name.into(),
            zone: ZoneId::from_name(zone),
            zone_name: zone.into(),
            config: None,
            live_hosts: Map::default(),
            routes: Map::default(),
            held_partitions: Set::default(),
            sessions: Vec::new(),
            versions: Map::default(),
            leases_valid_until: Instant::default(),
            removed_keys: Set::default(),
            leaving: false,
        }
    }

    /// Takes over a configuration; returns the keys that it no longer has, in order.
    pub fn adopt(&mut self, config: &Arc<Config>) -> Vec<KeyId> {
        let new = keys_of(config);
        let old = self.config.as_deref().map(keys_of).unwrap_or_default();
        let mut gone: Vec<_> = old.difference(&new).copied().collect();
        gone.sort_unstable();

        self.removed_keys.extend(&gone);
        self.removed_keys.retain(|key| !new.contains(key));
        self.config = Some(config.clone());

        gone
    }

    /// Returns the number of partitions, or 1 before a configuration is known.
    pub fn partitions(&self) -> u16 {
        self.config.as_ref().map_or(1, |cfg| cfg.fleet.partitions)
    }

    /// Takes over a holder, unless a later one is known.
    pub fn learn_route(&mut self, partition: PartitionId, holder: Holder) {
        let known = self.routes.entry(partition).or_insert(holder);
        if holder.epoch >= known.epoch {
            *known = holder;
        }
    }

    /// Returns the host of this zone that keeps the queue of a pool.
    ///
    /// Hosts with different views may name different ones for a while. Then a target's
    /// window is granted twice: some more requests wait at the target, nothing is lost.
    pub fn keeper(&self, pool: PoolId) -> HostId {
        let zone = self.zone;
        let others = self.live_hosts.iter().filter(|(_, z)| **z == zone).map(|(host, _)| host.0);
        let all = others.chain((!self.leaving).then_some(self.me.0));

        rendezvous(pool.0, all).map_or(self.me, HostId)
    }
}

fn keys_of(config: &Config) -> Set<KeyId> {
    let keys = config.tenants.iter().flat_map(|tenant| &tenant.keys);

    keys.map(|key| KeyId::from_name(&key.id)).collect()
}
