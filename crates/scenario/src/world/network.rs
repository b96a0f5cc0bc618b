//! Messages between hosts: in order for each pair, cut between zones, lost when a
//! connection breaks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::PeerMessage;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::Event;

use super::{Item, State, World};

/// How long a message within a zone takes.
const NEAR: Duration = Duration::from_millis(1);

/// How long a message between zones takes.
const FAR: Duration = Duration::from_millis(2);

/// How long a peer may be silent before its connection counts as broken.
pub(super) const SILENCE: Duration = Duration::from_secs(6);

/// Connections, cuts, and what waits behind a cut.
pub(super) struct Network {
    zones: Vec<Box<str>>,
    /// Pairs of zones that cannot reach each other, and zones that cannot reach the platform.
    cuts: BTreeSet<(Box<str>, Box<str>)>,
    /// When the last message of a pair arrives.
    last: BTreeMap<(usize, usize), Instant>,
    /// What a sender's kernel holds for a receiver that it cannot reach.
    held: BTreeMap<(usize, usize), Vec<PeerMessage>>,
    /// Pairs with a broken connection.
    broken: BTreeSet<(usize, usize)>,
    /// Hosts that have not heard yet that another's process ended, as a cut is between them.
    unheard: BTreeSet<(usize, usize)>,
    /// Counts cuts.
    cut_number: u64,
    /// The last cut that is healed.
    healed: u64,
    /// Counts answers to callers.
    pub answers: u64,
}

/// The name of the platform among zones.
pub const PLATFORM: &str = "platform";

impl Network {
    pub fn new(zones: Vec<Box<str>>) -> Self {
        Self {
            zones,
            cuts: BTreeSet::new(),
            last: BTreeMap::new(),
            held: BTreeMap::new(),
            broken: BTreeSet::new(),
            unheard: BTreeSet::new(),
            cut_number: 0,
            healed: 0,
            answers: 0,
        }
    }

    /// Returns whether a zone, or the platform, can reach another.
    pub fn reaches(&self, a: &str, b: &str) -> bool {
        let pair = if a <= b { (a.into(), b.into()) } else { (b.into(), a.into()) };

        a == b || !self.cuts.contains(&pair)
    }

    fn hosts_reach(&self, a: usize, b: usize) -> bool {
        self.reaches(&self.zones[a], &self.zones[b])
    }
}

impl World {
    /// Cuts two zones, or a zone and the platform, from each other.
    pub fn cut(&mut self, a: &str, b: &str) {
        let pair = if a <= b { (a.into(), b.into()) } else { (b.into(), a.into()) };
        self.network.cuts.insert(pair);
        self.network.cut_number += 1;

        let (cut, at) = (self.network.cut_number, self.now + SILENCE);
        for x in self.zone(a) {
            for y in self.zone(b) {
                self.add(at, Item::Break { pair: (x, y), cut });
            }
        }
    }

    /// Heals all cuts. What a connection that still stands held back arrives now.
    pub fn heal(&mut self) {
        self.network.cuts.clear();
        self.network.healed = self.network.cut_number;
        self.network.broken.clear();

        for (other, gone) in std::mem::take(&mut self.network.unheard) {
            self.add_event(self.now + FAR, other, Event::PeerDown(self.hosts[gone].id));
        }

        for ((from, to), messages) in std::mem::take(&mut self.network.held) {
            for message in messages {
                self.pass_on(from, to, message);
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: HostId, message: PeerMessage) {
        let Some(receiver) = self.by_id.get(&to).copied() else {
            return self.add_event(self.now, from, Event::SendFailed { to, message });
        };
        let broken = self.network.broken.contains(&(from, receiver));

        let state = &self.hosts[receiver];
        let gone = match state.state {
            State::Up => false,
            State::Paused => self.now - state.stopped_at > SILENCE,
            State::Down => true,
        };

        if broken || gone {
            self.add_event(self.now, from, Event::SendFailed { to, message });
        } else if self.network.hosts_reach(from, receiver) {
            self.pass_on(from, receiver, message);
        } else {
            self.network.held.entry((from, receiver)).or_default().push(message);
        }
    }

    fn pass_on(&mut self, from: usize, to: usize, message: PeerMessage) {
        let near = self.network.zones[from] == self.network.zones[to];
        let arrives = self.now + if near { NEAR } else { FAR };
        let last = self.network.last.entry((from, to)).or_default();
        *last = arrives.max(*last);

        let (at, from) = (*last, self.hosts[from].id);
        self.add_event(at, to, Event::Peer { from, message });
    }

    /// Breaks the connections of a pair, unless the cut is over.
    pub(super) fn break_connection(&mut self, (a, b): (usize, usize), cut: u64) {
        if self.network.healed >= cut || self.network.hosts_reach(a, b) {
            return;
        }

        for (from, to) in [(a, b), (b, a)] {
            self.network.broken.insert((from, to));
            self.network.held.remove(&(from, to));
            self.deliver(from, Event::PeerDown(self.hosts[to].id));
        }
    }

    /// Tells all others that a host's connections broke.
    pub(super) fn peer_down(&mut self, host: usize) {
        let id = self.hosts[host].id;
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            self.network.held.remove(&(other, host));
            self.network.held.remove(&(host, other));
            if self.network.hosts_reach(host, other) {
                self.add_event(self.now + FAR, other, Event::PeerDown(id));
            } else {
                self.network.unheard.insert((other, host));
            }
        }
    }
}
