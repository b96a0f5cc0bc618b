//! Builds the gossip that a host sends to others and applies the gossip that it receives.

use std::time::Duration;

use camphorwalk_core::hash::Digest;
use camphorwalk_core::ids::{Epoch, HostId, KeyId, PartitionId};
use camphorwalk_core::messages::gossip::{Gossip, PartitionHolder};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::platform::ObjectName;
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::ConfigVersion;

use super::controllers::ControllerEvent;
use super::extension::PROMISE_DURATION;
use super::{Action, Scheduler};
use crate::configs::{ConfigEvent, Pointer};
use crate::leases::Holder;
use crate::membership::HostUpdates;
use crate::programs::ProgramEvent;

/// How long after the adoption of a configuration this host waits before it sends the whole
/// configuration to a peer with an older version: the peer can usually read it from the platform.
/// Also the minimum interval between two such sendings to one peer.
const SEND_CONFIG_AFTER: Duration = Duration::from_millis(1_500);

/// The maximum number of withdrawn keys in one message, and likewise of quarantined digests.
const MAX_ITEMS: usize = 64;

impl Scheduler {
    /// Sends updates about hosts to a peer, together with all other gossiped data.
    pub(super) fn send_gossip(
        &mut self,
        now: Instant,
        to: HostId,
        updates: HostUpdates,
        out: &mut Vec<Action>,
    ) {
        let without_platform = self.leases.promise_to_keep_sessions(now + PROMISE_DURATION);
        let (echo_session, echo) = self.membership.latest_heartbeat(to);
        let pointer = self.configs.pointer();
        let mut quarantined: Vec<_> = self.quarantined.iter().map(|d| d.to_vec()).collect();
        quarantined.sort_unstable();
        let withdrawn: Vec<_> = self.configs.withdrawn().iter().map(|key| key.0).collect();
        self.gossip_count += 1;

        let gossip = Gossip {
            hosts: updates.full,
            beats: updates.heartbeats,
            config_version: pointer.map_or(0, |p| p.version.0),
            config_object: pointer.map_or_else(String::new, |p| p.object.0.to_string()),
            withdrawn_keys: rotating_selection(withdrawn, self.gossip_count),
            quarantined: rotating_selection(quarantined, self.gossip_count),
            partitions: self.own_partitions(),
            config: Vec::new(),
            without_platform,
            echo,
            echo_session,
        };
        out.push(Action::Send { to, message: Body::Gossip(gossip).into() });
    }

    /// Sends the list of the partitions that this host holds to all other live hosts.
    pub(super) fn broadcast_partitions(&mut self, out: &mut Vec<Action>) {
        let gossip = Gossip { partitions: self.own_partitions(), ..Gossip::default() };
        let message: PeerMessage = Body::Gossip(gossip).into();

        for member in self.membership.live_members() {
            out.push(Action::Send { to: member.host, message: message.clone() });
        }
    }

    fn own_partitions(&self) -> Vec<PartitionHolder> {
        let mut partitions: Vec<_> = self.state.held_partitions.iter().copied().collect();
        partitions.sort_unstable();

        let to_item = |partition: PartitionId| {
            let epoch = self.leases.epoch(partition)?;
            let holder = self.state.this_host.0;
            Some(PartitionHolder { partition: u32::from(partition.0), epoch: epoch.0, holder })
        };
        partitions.into_iter().filter_map(to_item).collect()
    }

    /// Applies received gossip.
    pub(super) fn on_gossip(
        &mut self,
        now: Instant,
        from: HostId,
        gossip: Gossip,
        out: &mut Vec<Action>,
    ) {
        if !gossip.hosts.is_empty() {
            self.record_promise(from, &gossip);
        }
        let mut actions = Vec::new();
        self.membership.apply_gossip(now, &gossip.hosts, &gossip.beats, &mut actions);
        self.on_membership(now, actions, out);

        for item in &gossip.partitions {
            let partition = PartitionId(item.partition as u16);
            let holder = Holder { host: HostId(item.holder), epoch: Epoch(item.epoch) };
            self.state.update_holder(partition, holder);
        }
        for bytes in &gossip.quarantined {
            if let Ok(digest) = Digest::try_from(bytes.as_slice()) {
                self.quarantine(digest);
            }
        }
        if !gossip.withdrawn_keys.is_empty() {
            let keys = gossip.withdrawn_keys.iter().copied().map(KeyId).collect();
            self.events.push_back(ControllerEvent::Config(ConfigEvent::PeerWithdrawals(keys)));
        }
        if !gossip.config.is_empty() {
            let event = ConfigEvent::PeerConfig(gossip.config.into());
            self.events.push_back(ControllerEvent::Config(event));
        }
        if !gossip.hosts.is_empty() {
            self.on_peer_version(now, from, gossip.config_version, &gossip.config_object, out);
        }
    }

    /// Compares the configuration version in force at a peer with the one on this host, and
    /// requests or sends the newer one.
    fn on_peer_version(
        &mut self,
        now: Instant,
        from: HostId,
        version: u64,
        object: &str,
        out: &mut Vec<Action>,
    ) {
        let version = ConfigVersion(version);
        self.state.config_versions.insert(from, version);
        let mine = self.configs.pointer().map_or(ConfigVersion(0), |p| p.version);

        if version > mine {
            let pointer = Pointer { version, object: ObjectName(object.into()) };
            self.events.push_back(ControllerEvent::Config(ConfigEvent::PeerVersion(pointer)));
        } else if version < mine && self.may_send_config(now, from) {
            // A peer that is still behind may not be able to reach the platform.
            self.config_sent_at.insert(from, now);
            let gossip =
                Gossip { config: self.configs.object_bytes().to_vec(), ..Gossip::default() };
            out.push(Action::Send { to: from, message: Body::Gossip(gossip).into() });
        }
    }

    fn may_send_config(&self, now: Instant, to: HostId) -> bool {
        let sent = self.config_sent_at.get(&to).copied().unwrap_or_default();

        now.since(self.adopted_at) >= SEND_CONFIG_AFTER && now.since(sent) >= SEND_CONFIG_AFTER
    }

    /// Records the digest of a request that crashes targets.
    pub(super) fn quarantine(&mut self, digest: Digest) {
        if self.quarantined.insert(digest) {
            self.events.push_back(ControllerEvent::Program(ProgramEvent::Quarantined(digest)));
        }
    }
}

/// Returns at most [`MAX_ITEMS`] of the items, other ones for each `turn`, the number of the
/// message.
///
/// If every message contained the first items, a withdrawn key with many others before it would
/// never be gossiped.
fn rotating_selection<T>(mut items: Vec<T>, turn: usize) -> Vec<T> {
    let count = items.len();
    if count > MAX_ITEMS {
        items.rotate_left(turn * MAX_ITEMS % count);
        items.truncate(MAX_ITEMS);
    }

    items
}
