//! The network between hosts. Messages of a pair of hosts arrive in order; a network partition
//! between zones delays them, and a broken connection loses them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::PeerMessage;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::Event;

use super::{ProcessState, ScheduledEvent, World};

/// The delay of a message within a zone.
const SAME_ZONE_DELAY: Duration = Duration::from_millis(1);

/// The delay of a message between zones.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(2);

/// How long a peer may be silent before its connection counts as broken.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_secs(6);

/// Connections, network partitions, and messages that wait for a partition to end.
pub(super) struct Network {
    zones: Vec<Box<str>>,
    /// Pairs of zones that cannot reach each other; a zone is paired with [`PLATFORM`] if it cannot
    /// reach the platform.
    network_partitions: BTreeSet<(Box<str>, Box<str>)>,
    /// When the last message from one host to another arrives.
    last_arrival: BTreeMap<(usize, usize), Instant>,
    /// Messages in the sender's socket buffers for a receiver that it cannot reach.
    buffered: BTreeMap<(usize, usize), Vec<PeerMessage>>,
    /// Pairs of hosts whose connection is broken, as sender and receiver.
    broken_connections: BTreeSet<(usize, usize)>,
    /// Pairs of a host and a peer whose process ended, which the host cannot notice before the
    /// network partition between them ends.
    pending_peer_down: BTreeSet<(usize, usize)>,
    /// The number of network partitions so far.
    network_partition_count: u64,
    /// The number of the last network partition that has ended.
    last_healed: u64,
    /// The number of answers to callers so far.
    pub answer_count: u64,
}

/// The name that stands for the platform among zones.
pub const PLATFORM: &str = "platform";

impl Network {
    pub fn new(zones: Vec<Box<str>>) -> Self {
        Self {
            zones,
            network_partitions: BTreeSet::new(),
            last_arrival: BTreeMap::new(),
            buffered: BTreeMap::new(),
            broken_connections: BTreeSet::new(),
            pending_peer_down: BTreeSet::new(),
            network_partition_count: 0,
            last_healed: 0,
            answer_count: 0,
        }
    }

    /// Returns whether two zones, or a zone and the platform, can reach each other.
    pub fn can_reach(&self, a: &str, b: &str) -> bool {
        let pair = if a <= b { (a.into(), b.into()) } else { (b.into(), a.into()) };

        a == b || !self.network_partitions.contains(&pair)
    }

    fn hosts_connected(&self, a: usize, b: usize) -> bool {
        self.can_reach(&self.zones[a], &self.zones[b])
    }
}

impl World {
    /// Starts a network partition between two zones, or between a zone and the platform.
    pub fn start_network_partition(&mut self, a: &str, b: &str) {
        let pair = if a <= b { (a.into(), b.into()) } else { (b.into(), a.into()) };
        self.network.network_partitions.insert(pair);
        self.network.network_partition_count += 1;

        let (network_partition, at) =
            (self.network.network_partition_count, self.now + PEER_TIMEOUT);
        for x in self.zone(a) {
            for y in self.zone(b) {
                self.schedule_event(
                    at,
                    ScheduledEvent::BreakConnection { pair: (x, y), network_partition },
                );
            }
        }
    }

    /// Ends all network partitions. Messages buffered by connections that are not broken are sent
    /// now.
    pub fn heal(&mut self) {
        self.network.network_partitions.clear();
        self.network.last_healed = self.network.network_partition_count;
        self.network.broken_connections.clear();

        for (other, ended) in std::mem::take(&mut self.network.pending_peer_down) {
            self.schedule_host_event(
                self.now + CROSS_ZONE_DELAY,
                other,
                Event::PeerDown(self.hosts[ended].id),
            );
        }

        for ((from, to), messages) in std::mem::take(&mut self.network.buffered) {
            for message in messages {
                self.send_now(from, to, message);
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: HostId, message: PeerMessage) {
        let Some(receiver) = self.by_id.get(&to).copied() else {
            return self.schedule_host_event(self.now, from, Event::SendFailed { to, message });
        };
        let broken = self.network.broken_connections.contains(&(from, receiver));

        let state = &self.hosts[receiver];
        let unreachable = match state.state {
            ProcessState::Up => false,
            ProcessState::Paused => self.now - state.stopped_at > PEER_TIMEOUT,
            ProcessState::Down => true,
        };

        if broken || unreachable {
            self.schedule_host_event(self.now, from, Event::SendFailed { to, message });
        } else if self.network.hosts_connected(from, receiver) {
            self.send_now(from, receiver, message);
        } else {
            self.network.buffered.entry((from, receiver)).or_default().push(message);
        }
    }

    fn send_now(&mut self, from: usize, to: usize, message: PeerMessage) {
        let same_zone = self.network.zones[from] == self.network.zones[to];
        let arrives = self.now + if same_zone { SAME_ZONE_DELAY } else { CROSS_ZONE_DELAY };
        let last_arrival = self.network.last_arrival.entry((from, to)).or_default();
        *last_arrival = arrives.max(*last_arrival);

        let (at, from) = (*last_arrival, self.hosts[from].id);
        self.schedule_host_event(at, to, Event::Peer { from, message });
    }

    /// Breaks the connections between two hosts, unless the network partition has ended.
    pub(super) fn break_connection(&mut self, (a, b): (usize, usize), network_partition: u64) {
        if self.network.last_healed >= network_partition || self.network.hosts_connected(a, b) {
            return;
        }

        for (from, to) in [(a, b), (b, a)] {
            self.network.broken_connections.insert((from, to));
            self.network.buffered.remove(&(from, to));
            self.deliver(from, Event::PeerDown(self.hosts[to].id));
        }
    }

    /// Notifies all other hosts that their connections to a host broke. Hosts behind a network
    /// partition are notified when it ends.
    pub(super) fn notify_peer_down(&mut self, host: usize) {
        let id = self.hosts[host].id;
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            self.network.buffered.remove(&(other, host));
            self.network.buffered.remove(&(host, other));
            if self.network.hosts_connected(host, other) {
                self.schedule_host_event(self.now + CROSS_ZONE_DELAY, other, Event::PeerDown(id));
            } else {
                self.network.pending_peer_down.insert((other, host));
            }
        }
    }
}
