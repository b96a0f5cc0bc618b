//! State that the controllers of one host share.

use std::sync::Arc;

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::{Map, Set, rendezvous};
use camphorwalk_core::ids::{HostId, KeyId, PartitionId, PoolId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::ConfigVersion;

use crate::leases::Holder;
use crate::leases::rows::SessionRow;

/// State that the controllers of one host share.
#[derive(Debug)]
pub struct HostState {
    /// The id of this host.
    pub this_host: HostId,
    /// This host's name.
    pub name: Box<str>,
    /// The availability zone of this host.
    pub zone: ZoneId,
    /// The name of that zone.
    pub zone_name: Box<str>,
    /// The configuration in force on this host.
    pub config: Option<Arc<Config>>,
    /// The zone of each other host that is live and not leaving.
    pub live_hosts: Map<HostId, ZoneId>,
    /// The last known holder of each partition's lease.
    pub holders: Map<PartitionId, Holder>,
    /// The partitions whose lease this host holds, which makes it the home of their programs.
    pub held_partitions: Set<PartitionId>,
    /// The sessions of all hosts, as of the last read from the platform.
    pub sessions: Vec<SessionRow>,
    /// The configuration version that each other host last reported to be in force there.
    pub config_versions: Map<HostId, ConfigVersion>,
    /// The instant until which this host's leases are guaranteed to be valid.
    pub leases_valid_until: Instant,
    /// Keys that were in an earlier configuration and are not in the one in force.
    pub removed_keys: Set<KeyId>,
    /// Whether this host is shutting down and hands its leases over.
    pub leaving: bool,
}

impl HostState {
    /// Creates the state of a host that has no configuration and knows no other hosts.
    pub fn new(name: &str, zone: &str) -> Self {
        Self {
            this_host: HostId::from_name(name),
            name: name.into(),
            zone: ZoneId::from_name(zone),
            zone_name: zone.into(),
            config: None,
            live_hosts: Map::default(),
            holders: Map::default(),
            held_partitions: Set::default(),
            sessions: Vec::new(),
            config_versions: Map::default(),
            leases_valid_until: Instant::default(),
            removed_keys: Set::default(),
            leaving: false,
        }
    }

    /// Adopts a configuration; returns the keys that it no longer contains, sorted.
    pub fn adopt_config(&mut self, config: &Arc<Config>) -> Vec<KeyId> {
        let new = keys_of(config);
        let old = self.config.as_deref().map(keys_of).unwrap_or_default();
        let mut removed: Vec<_> = old.difference(&new).copied().collect();
        removed.sort_unstable();

        self.removed_keys.extend(&removed);
        self.removed_keys.retain(|key| !new.contains(key));
        self.config = Some(config.clone());

        removed
    }

    /// Returns the number of partitions, or 1 before a configuration is known.
    pub fn partitions(&self) -> u16 {
        self.config.as_ref().map_or(1, |cfg| cfg.fleet.partitions)
    }

    /// Records the holder of a partition, unless one with a higher epoch is known.
    pub fn update_holder(&mut self, partition: PartitionId, holder: Holder) {
        let known = self.holders.entry(partition).or_insert(holder);
        if holder.epoch >= known.epoch {
            *known = holder;
        }
    }

    /// Returns the host of this zone that runs the queue of a pool.
    ///
    /// Hosts with different views of the fleet may temporarily return different hosts. A target's
    /// window is then granted twice: some more requests wait at the target, but none is lost.
    pub fn queue_host(&self, pool: PoolId) -> HostId {
        let zone = self.zone;
        let others = self.live_hosts.iter().filter(|(_, z)| **z == zone).map(|(host, _)| host.0);
        let all = others.chain((!self.leaving).then_some(self.this_host.0));

        rendezvous(pool.0, all).map_or(self.this_host, HostId)
    }
}

fn keys_of(config: &Config) -> Set<KeyId> {
    let keys = config.tenants.iter().flat_map(|tenant| &tenant.keys);

    keys.map(|key| KeyId::from_name(&key.id)).collect()
}
