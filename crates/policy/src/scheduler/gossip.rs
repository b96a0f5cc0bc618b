//! What a host tells others of the fleet, and what it makes of what it hears.

use std::time::Duration;

use camphorwalk_core::hash::Digest;
use camphorwalk_core::ids::{Epoch, HostId, KeyId, PartitionId};
use camphorwalk_core::messages::gossip::{Gossip, PartitionHolder};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::platform::ObjectName;
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::ConfigVersion;

use super::extension::PROMISE;
use super::work::Work;
use super::{Action, Scheduler};
use crate::configs::{ConfigEvent, Pointer};
use crate::leases::Holder;
use crate::membership::News;
use crate::programs::ProgramEvent;

/// How long a peer that is behind is left to read the configuration from the platform,
/// before it is sent the whole of it. Also the time between two such sendings.
const SEND_CONFIG_AFTER: Duration = Duration::from_millis(1_500);

/// The most withdrawn keys, and the most quarantined digests, in one message.
const MOST_ITEMS: usize = 64;

impl Scheduler {
    /// Sends news of hosts to a peer, and with it all else that is gossiped.
    pub(super) fn gossip(&mut self, now: Instant, to: HostId, news: News, out: &mut Vec<Action>) {
        let without_platform = self.leases.promise(now + PROMISE);
        let (echo_session, echo) = self.membership.heartbeat_of(to);
        let pointer = self.configs.pointer();
        let mut quarantined: Vec<_> = self.quarantined.iter().map(|d| d.to_vec()).collect();
        quarantined.sort_unstable();
        let withdrawn: Vec<_> = self.configs.withdrawn().iter().map(|key| key.0).collect();
        self.gossiped += 1;

        let gossip = Gossip {
            hosts: news.whole,
            beats: news.beats,
            config_version: pointer.map_or(0, |p| p.version.0),
            config_object: pointer.map_or_else(String::new, |p| p.object.0.to_string()),
            withdrawn_keys: in_turn(withdrawn, self.gossiped),
            quarantined: in_turn(quarantined, self.gossiped),
            partitions: self.own_homes(),
            config: Vec::new(),
            without_platform,
            echo,
            echo_session,
        };
        out.push(Action::Send { to, message: Body::Gossip(gossip).into() });
    }

    /// Tells all other hosts at once of the partitions that are at home here.
    pub(super) fn tell_homes(&mut self, out: &mut Vec<Action>) {
        let gossip = Gossip { partitions: self.own_homes(), ..Gossip::default() };
        let message: PeerMessage = Body::Gossip(gossip).into();

        for member in self.membership.alive() {
            out.push(Action::Send { to: member.host, message: message.clone() });
        }
    }

    fn own_homes(&self) -> Vec<PartitionHolder> {
        let mut homes: Vec<_> = self.state.held_partitions.iter().copied().collect();
        homes.sort_unstable();

        let news = |partition: PartitionId| {
            let epoch = self.leases.epoch(partition)?;
            let holder = self.state.me.0;
            Some(PartitionHolder { partition: u32::from(partition.0), epoch: epoch.0, holder })
        };
        homes.into_iter().filter_map(news).collect()
    }

    /// Takes in gossip.
    pub(super) fn on_gossip(
        &mut self,
        now: Instant,
        from: HostId,
        gossip: Gossip,
        out: &mut Vec<Action>,
    ) {
        if !gossip.hosts.is_empty() {
            self.on_promise(from, &gossip);
        }
        let mut next = Vec::new();
        self.membership.heard(now, &gossip.hosts, &gossip.beats, &mut next);
        self.on_membership(now, next, out);

        for news in &gossip.partitions {
            let partition = PartitionId(news.partition as u16);
            let holder = Holder { host: HostId(news.holder), epoch: Epoch(news.epoch) };
            self.state.learn_route(partition, holder);
        }
        for bytes in &gossip.quarantined {
            if let Ok(digest) = Digest::try_from(bytes.as_slice()) {
                self.quarantine(digest);
            }
        }
        if !gossip.withdrawn_keys.is_empty() {
            let keys = gossip.withdrawn_keys.iter().copied().map(KeyId).collect();
            self.work.push_back(Work::Config(ConfigEvent::Withdrawn(keys)));
        }
        if !gossip.config.is_empty() {
            let event = ConfigEvent::Received(gossip.config.into());
            self.work.push_back(Work::Config(event));
        }
        if !gossip.hosts.is_empty() {
            self.on_peer_version(now, from, gossip.config_version, &gossip.config_object, out);
        }
    }

    /// Compares the version in force at a peer with the one here.
    fn on_peer_version(
        &mut self,
        now: Instant,
        from: HostId,
        version: u64,
        object: &str,
        out: &mut Vec<Action>,
    ) {
        let version = ConfigVersion(version);
        self.state.versions.insert(from, version);
        let mine = self.configs.pointer().map_or(ConfigVersion(0), |p| p.version);

        if version > mine {
            let pointer = Pointer { version, object: ObjectName(object.into()) };
            self.work.push_back(Work::Config(ConfigEvent::Heard(pointer)));
        } else if version < mine && self.may_send_config(now, from) {
            // A peer that is still behind may be cut off from the platform.
            self.sent_config.insert(from, now);
            let gossip = Gossip { config: self.configs.bytes().to_vec(), ..Gossip::default() };
            out.push(Action::Send { to: from, message: Body::Gossip(gossip).into() });
        }
    }

    fn may_send_config(&self, now: Instant, to: HostId) -> bool {
        let sent = self.sent_config.get(&to).copied().unwrap_or_default();

        now.since(self.adopted_at) >= SEND_CONFIG_AFTER && now.since(sent) >= SEND_CONFIG_AFTER
    }

    /// Notes a request that brings targets down.
    pub(super) fn quarantine(&mut self, digest: Digest) {
        if self.quarantined.insert(digest) {
            self.work.push_back(Work::Program(ProgramEvent::Quarantined(digest)));
        }
    }
}

/// Returns as many items as one message may hold, others with each turn.
///
/// Always the first ones would never tell of a key that was withdrawn when many were before.
fn in_turn<T>(mut items: Vec<T>, turn: usize) -> Vec<T> {
    let count = items.len();
    if count > MOST_ITEMS {
        items.rotate_left(turn * MOST_ITEMS % count);
        items.truncate(MOST_ITEMS);
    }

    items
}
