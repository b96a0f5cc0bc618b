//! Tracks the hosts of the fleet and which of them are live, by gossip.
//!
//! Membership only decides where messages are sent. The right to run a program is protected by a
//! lease epoch in the platform, and the right to admit calls by the loan of a rate-limit slice. So
//! a wrong view of the fleet costs time but never breaks a guarantee.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use camphorwalk_core::hash::{Map, stable_hash};
use camphorwalk_core::ids::{HostId, ZoneId};
use camphorwalk_core::messages::gossip::{HostHeartbeat, HostInfo};
use camphorwalk_core::time::Instant;

/// The maximum number of other hosts that one message covers in a small fleet. In a large fleet the
/// maximum is higher; see [`HOSTS_PER_MESSAGE_DIVISOR`].
const HOSTS_PER_MESSAGE_SMALL_FLEET: usize = 20;

/// In a large fleet, one message covers at most the number of other known hosts divided by this.
/// Each heartbeat has to reach every host within the suspicion timeout. With a fixed number of
/// hosts per message, most of a large fleet would be considered silent.
const HOSTS_PER_MESSAGE_DIVISOR: usize = 2;

/// How many messages of this host contain the full information about another host before they
/// contain only that host's heartbeat. Every host that receives the information passes it on as
/// often, so it reaches hundreds of hosts.
const FULL_SENDS: u32 = 24;

/// The number of its own heartbeats whose send times a host keeps.
const KEPT_HEARTBEATS: usize = 64;

/// A host is removed when no new heartbeat of it arrived for this many suspicion timeouts. A host
/// of which no heartbeat ever arrived is kept.
const FORGET_FACTOR: u32 = 30;

/// Settings of [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// The host's name.
    pub name: Box<str>,
    /// Its availability zone's name.
    pub zone: Box<str>,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// The number of this run of the process; a later run has a higher number.
    pub session: u64,
    /// The interval between rounds of gossip.
    pub gossip_interval: Duration,
    /// The number of peers that the host sends gossip to in each round.
    pub fanout: usize,
    /// The suspicion timeout: a host without a new heartbeat for longer is considered silent.
    pub suspect_after: Duration,
}

/// What this host knows about another host.
#[derive(Clone, Debug)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its zone's name.
    pub zone_name: Box<str>,
    /// Its name.
    pub name: Box<str>,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The number of its process's run; 0 before its first heartbeat was received.
    session: u64,
    /// Its highest heartbeat received.
    heartbeat: u64,
    /// When that heartbeat was first received; `None` before the first one.
    heartbeat_at: Option<Instant>,
    /// How many messages of this host contained its latest heartbeat.
    heartbeat_sends: u32,
    /// How many messages of this host contained the full information about it since anything but
    /// its heartbeat changed.
    full_sends: u32,
    /// Whether it was live at the last liveness check.
    live: bool,
}

impl Member {
    /// Returns whether a heartbeat is newer than the latest one received. Heartbeats restart from
    /// the beginning with each run of a process, so the run is compared first.
    fn is_newer(&self, session: u64, heartbeat: u64) -> bool {
        (session, heartbeat) > (self.session, self.heartbeat)
    }

    /// Records a newer heartbeat.
    fn record_heartbeat(&mut self, now: Instant, session: u64, heartbeat: u64) {
        self.session = session;
        self.heartbeat = heartbeat;
        self.heartbeat_at = Some(now);
        self.heartbeat_sends = 0;
    }

    fn info(&self) -> HostInfo {
        HostInfo {
            name: self.name.to_string(),
            zone: self.zone_name.to_string(),
            peer_address: self.peer_address.to_string(),
            session: self.session,
            heartbeat: self.heartbeat,
            leaving: self.leaving,
        }
    }
}

/// An action that [`Membership`] asks its caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send updates to a host.
    Gossip {
        /// The recipient.
        to: HostId,
        /// The updates.
        updates: HostUpdates,
    },
    /// The address of a host is new or has changed.
    SetPeerAddress {
        /// The host.
        host: HostId,
        /// Where its peers reach it.
        address: SocketAddr,
    },
    /// The set of live hosts has changed, or a known host began to leave.
    LiveHostsChanged,
    /// A host that was live has become silent.
    HostSilent(HostId),
}

/// The information about hosts in one message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostUpdates {
    /// Full information about some hosts, the sender first.
    pub full: Vec<HostInfo>,
    /// Only the heartbeats of other hosts.
    pub heartbeats: Vec<HostHeartbeat>,
}

/// The state machine that tracks the other hosts of the fleet.
#[derive(Debug)]
pub struct Membership {
    options: MembershipOptions,
    this_host: HostId,
    members: Map<HostId, Member>,
    heartbeat: u64,
    /// When this host's last heartbeats were sent, in ascending order.
    heartbeat_times: VecDeque<Instant>,
    leaving: bool,
    next_gossip: Instant,
    /// The earliest instant at which a host can become silent or be removed if no more gossip
    /// arrives. [`Membership::wake`] runs on every event of the host, and this avoids a scan of all
    /// members each time.
    next_liveness_check: Instant,
    /// Whether a host's `leaving` flag changed since the last liveness check.
    leaving_changed: bool,
}

impl Membership {
    /// Creates the state of a host that knows no other hosts.
    pub fn new(options: MembershipOptions) -> Self {
        Self {
            this_host: HostId::from_name(&options.name),
            options,
            members: Map::default(),
            heartbeat: 0,
            heartbeat_times: VecDeque::new(),
            leaving: false,
            next_gossip: Instant::default(),
            next_liveness_check: Instant::default(),
            leaving_changed: false,
        }
    }

    /// Announces in all following gossip that this host is leaving.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }

    /// Adds or updates a host from the platform's list, the table of sessions or gossip. A new host
    /// becomes live only once a heartbeat of it arrives.
    pub fn add_listed(
        &mut self,
        name: &str,
        zone: &str,
        peer_address: SocketAddr,
        leaving: bool,
        out: &mut Vec<MembershipAction>,
    ) {
        let host = HostId::from_name(name);
        if host == self.this_host {
            return;
        }

        let is_new = !self.members.contains_key(&host);
        let member = self.members.entry(host).or_insert_with(|| Member {
            host,
            zone: ZoneId::from_name(zone),
            zone_name: zone.into(),
            name: name.into(),
            peer_address,
            leaving,
            session: 0,
            heartbeat: 0,
            heartbeat_at: None,
            heartbeat_sends: 0,
            full_sends: 0,
            live: false,
        });

        // Information from the host itself is more recent than a list that lags.
        if member.heartbeat_at.is_none() {
            let moved = member.peer_address != peer_address;
            member.peer_address = peer_address;
            if is_new || moved {
                out.push(MembershipAction::SetPeerAddress { host, address: peer_address });
            }
        }
        self.leaving_changed |= leaving && !member.leaving;
        member.leaving |= leaving;
    }

    /// Applies received gossip.
    pub fn apply_gossip(
        &mut self,
        now: Instant,
        full: &[HostInfo],
        heartbeats: &[HostHeartbeat],
        out: &mut Vec<MembershipAction>,
    ) {
        full.iter().for_each(|item| self.apply_full(now, item, out));
        heartbeats.iter().for_each(|heartbeat| self.apply_heartbeat(now, heartbeat));

        self.update_liveness(now, out);
    }

    fn apply_full(&mut self, now: Instant, item: &HostInfo, out: &mut Vec<MembershipAction>) {
        let Ok(address) = item.peer_address.parse() else {
            return;
        };
        self.add_listed(&item.name, &item.zone, address, item.leaving, out);
        let Some(member) = self.members.get_mut(&HostId::from_name(&item.name)) else {
            return;
        };
        if !member.is_newer(item.session, item.heartbeat) {
            return;
        }

        if member.peer_address != address {
            out.push(MembershipAction::SetPeerAddress { host: member.host, address });
        }
        let same = member.session == item.session
            && member.peer_address == address
            && member.leaving == item.leaving;
        self.leaving_changed |= member.leaving != item.leaving;
        member.peer_address = address;
        member.leaving = item.leaving;
        member.record_heartbeat(now, item.session, item.heartbeat);
        if !same {
            member.full_sends = 0;
        }
    }

    fn apply_heartbeat(&mut self, now: Instant, heartbeat: &HostHeartbeat) {
        // The heartbeat of an unknown host is dropped: the host is added by its full information or
        // by the platform's list.
        let Some(member) = self.members.get_mut(&HostId(heartbeat.host)) else {
            return;
        };

        if member.is_newer(heartbeat.session, heartbeat.heartbeat) {
            member.record_heartbeat(now, heartbeat.session, heartbeat.heartbeat);
        }
    }

    /// Checks for hosts that have become silent, and sends gossip if it is due.
    pub fn wake(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        if now > self.next_liveness_check || self.leaving_changed {
            self.update_liveness(now, out);
        }
        if now < self.next_gossip {
            return;
        }

        self.next_gossip = now + self.options.gossip_interval;
        self.heartbeat += 1;
        self.heartbeat_times.push_back(now);
        if self.heartbeat_times.len() > KEPT_HEARTBEATS {
            self.heartbeat_times.pop_front();
        }
        for to in self.recipients() {
            let updates = self.updates_for(to);
            out.push(MembershipAction::Gossip { to, updates });
        }
    }

    /// Returns when [`Membership::wake`] is due.
    pub fn wake_at(&self) -> Instant {
        self.next_gossip
    }

    /// Returns the other hosts that are live, sorted by id.
    pub fn live_members(&self) -> Vec<&Member> {
        let mut all: Vec<_> = self.members.values().filter(|m| m.live).collect();
        all.sort_unstable_by_key(|m| m.host);

        all
    }

    /// Returns all other known hosts, sorted by id.
    pub fn members(&self) -> Vec<&Member> {
        let mut all: Vec<_> = self.members.values().collect();
        all.sort_unstable_by_key(|m| m.host);

        all
    }

    /// Returns the run number and the latest heartbeat received of a host; zeros if there is none.
    pub fn latest_heartbeat(&self, host: HostId) -> (u64, u64) {
        self.members.get(&host).map_or((0, 0), |m| (m.session, m.heartbeat))
    }

    /// Returns when this host sent one of its own heartbeats, or `None` if its send time is no
    /// longer kept or it belongs to another run.
    pub fn heartbeat_sent_at(&self, session: u64, heartbeat: u64) -> Option<Instant> {
        let age = usize::try_from(self.heartbeat.checked_sub(heartbeat)?).ok()?;
        let index = self.heartbeat_times.len().checked_sub(1 + age)?;

        self.heartbeat_times.get(index).copied().filter(|_| session == self.options.session)
    }

    /// Returns whether another host is live.
    pub fn is_live(&self, host: HostId) -> bool {
        self.members.get(&host).is_some_and(|m| m.live)
    }

    /// Updates which hosts are live and removes those that have been silent for long.
    fn update_liveness(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        let suspect_after = self.options.suspect_after;
        // A host that begins to leave stays live, but other hosts must stop choosing it.
        let mut changed = std::mem::take(&mut self.leaving_changed);
        let mut silent = Vec::new();

        for member in self.members.values_mut() {
            let live = member.heartbeat_at.is_some_and(|at| now.since(at) <= suspect_after);
            changed |= live != member.live;
            if member.live && !live {
                silent.push(member.host);
            }
            member.live = live;
        }

        let forget_after = suspect_after * FORGET_FACTOR;
        self.members.retain(|_, m| m.heartbeat_at.is_none_or(|at| now.since(at) <= forget_after));
        let next_change =
            |m: &Member| Some(m.heartbeat_at? + if m.live { suspect_after } else { forget_after });
        self.next_liveness_check =
            self.members.values().filter_map(next_change).min().unwrap_or(Instant(u64::MAX));
        silent.sort_unstable();
        // The new set of live hosts is reported before the silent hosts: requests to a silent host
        // are sent again to another one immediately, and with the old set the silent host could be
        // chosen again.
        if changed {
            out.push(MembershipAction::LiveHostsChanged);
        }
        out.extend(silent.into_iter().map(MembershipAction::HostSilent));
    }

    /// Picks the recipients of one round of gossip: one live host of this zone, so that a
    /// partitioned zone still exchanges heartbeats; other live hosts; and one silent host, because
    /// the end of a network partition is not announced.
    ///
    /// All recipients differ, and at most one is silent if enough live hosts exist. Otherwise, in a
    /// small fleet with some failed hosts, two live hosts could go without gossip to each other for
    /// longer than the suspicion timeout.
    fn recipients(&self) -> Vec<HostId> {
        let zone = ZoneId::from_name(&self.options.zone);
        let ids = |wanted: &dyn Fn(&Member) -> bool| -> Vec<HostId> {
            self.members.values().filter(|m| wanted(m)).map(|m| m.host).collect()
        };
        let same_zone = ids(&|m| m.live && m.zone == zone);
        let live = ids(&|m| m.live);
        let silent = ids(&|m| !m.live);

        let last = self.options.fanout.saturating_sub(1);
        let mut picked = Vec::new();
        for i in 0..self.options.fanout {
            let order = match i {
                0 => [&same_zone, &live, &silent],
                i if i == last => [&silent, &live, &same_zone],
                _ => [&live, &silent, &same_zone],
            };
            picked.extend(order.iter().find_map(|hosts| self.pick_recipient(hosts, i, &picked)));
        }
        picked.sort_unstable();

        picked
    }

    /// Picks the host at a pseudo-random distance after this one in the order of ids, or the next
    /// one that is not picked yet.
    ///
    /// The distance changes with each round. Hosts that are in the same round and see the same
    /// number of hosts use the same distance from themselves, so that hardly any two of them pick
    /// the same recipient. If all hosts walked the list from its start, they would send gossip to
    /// the same few hosts at a time, and the others would receive nothing for seconds.
    fn pick_recipient(&self, hosts: &[HostId], i: usize, picked: &[HostId]) -> Option<HostId> {
        let round = self.heartbeat * self.options.fanout as u64 + i as u64;
        let distance =
            stable_hash(&[b"gossip", &round.to_be_bytes()]) as usize % hosts.len().max(1);
        let mut ring: Vec<_> = hosts.iter().copied().filter(|h| *h > self.this_host).collect();
        ring.sort_unstable();
        let mut lower: Vec<_> = hosts.iter().copied().filter(|h| *h < self.this_host).collect();
        lower.sort_unstable();
        ring.extend(lower);

        ring.iter().cycle().skip(distance).take(ring.len()).find(|h| !picked.contains(h)).copied()
    }

    /// Selects the updates for one recipient: this host's own information, then that of those other
    /// live hosts whose latest heartbeat this host has sent least often.
    fn updates_for(&mut self, to: HostId) -> HostUpdates {
        let max_hosts =
            HOSTS_PER_MESSAGE_SMALL_FLEET.max(self.members.len() / HOSTS_PER_MESSAGE_DIVISOR);
        let mut updates = HostUpdates { full: vec![self.own_info()], heartbeats: Vec::new() };
        let mut others: Vec<_> = self
            .members
            .values_mut()
            .filter(|m| m.host != to && m.heartbeat_at.is_some() && m.live)
            .collect();
        others.sort_unstable_by_key(|m| (m.heartbeat_sends, m.host));

        for member in others.into_iter().take(max_hosts) {
            member.heartbeat_sends += 1;
            if member.full_sends < FULL_SENDS {
                member.full_sends += 1;
                updates.full.push(member.info());
            } else {
                updates.heartbeats.push(HostHeartbeat {
                    host: member.host.0,
                    session: member.session,
                    heartbeat: member.heartbeat,
                });
            }
        }

        updates
    }

    fn own_info(&self) -> HostInfo {
        HostInfo {
            name: self.options.name.to_string(),
            zone: self.options.zone.to_string(),
            peer_address: self.options.peer_address.to_string(),
            session: self.options.session,
            heartbeat: self.heartbeat,
            leaving: self.leaving,
        }
    }
}
