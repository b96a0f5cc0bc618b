//! Which hosts there are and which are alive, by gossip.
//!
//! Membership only steers: it says where to send things. Whatever grants something is an
//! epoch in the platform or a lent slice, so a wrong view costs time, never a promise.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use camphorwalk_core::hash::{Map, stable_hash};
use camphorwalk_core::ids::{HostId, ZoneId};
use camphorwalk_core::messages::gossip::{HostHeartbeat, HostInfo};
use camphorwalk_core::time::Instant;

/// The fewest hosts that one message may tell of, the sender aside.
const LEAST_NEWS: usize = 20;

/// The part of all hosts that one message tells of, as a divisor. Each heartbeat has to reach
/// each host within the time of suspicion; with a fixed number of hosts in a message, most of
/// a large fleet counted as gone.
const NEWS_DIVISOR: usize = 2;

/// How often what is known of a host is passed on whole, before its heartbeat alone is: often
/// enough to reach hundreds of hosts.
const WHOLE_TELLS: u32 = 24;

/// How many of its own heartbeats a host remembers the sending of.
const KEPT_BEATS: usize = 64;

/// A host that was silent this many suspicion times is forgotten.
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
    /// The number of this run of the process: a later run has a higher one.
    pub session: u64,
    /// How often this host gossips.
    pub period: Duration,
    /// How many peers it tells each time.
    pub fanout: usize,
    /// How long a host may be silent before it counts as gone.
    pub suspect_after: Duration,
}

/// A host as this host knows it.
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
    /// The number of its process's run, 0 if nothing was heard of it yet.
    session: u64,
    /// Its highest heartbeat heard.
    heartbeat: u64,
    /// When that was heard first; `None` if nothing was heard of it yet.
    heard: Option<Instant>,
    /// How often its latest heartbeat was passed on.
    told: u32,
    /// How often all that is known of it was passed on, since anything but its heartbeat was
    /// new.
    told_whole: u32,
    /// Whether it counted as alive at the last look.
    alive: bool,
}

impl Member {
    /// Returns whether a heartbeat is newer than the latest one known. A new run of a process
    /// counts its heartbeats from the start.
    fn is_newer(&self, session: u64, heartbeat: u64) -> bool {
        (session, heartbeat) > (self.session, self.heartbeat)
    }

    /// Takes in a newer heartbeat.
    fn beat(&mut self, now: Instant, session: u64, heartbeat: u64) {
        self.session = session;
        self.heartbeat = heartbeat;
        self.heard = Some(now);
        self.told = 0;
    }

    fn news(&self) -> HostInfo {
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

/// What to do next for membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send this news to a host.
    Gossip {
        /// The receiver.
        to: HostId,
        /// The news.
        news: News,
    },
    /// Where a host is reached; told when it is new or changed.
    Address {
        /// The host.
        host: HostId,
        /// Where its peers reach it.
        address: SocketAddr,
    },
    /// Which hosts count as alive has changed.
    Changed,
    /// A host that was alive has gone silent.
    Gone(HostId),
}

/// What one message tells of hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// All that is known of some hosts, the sender first.
    pub whole: Vec<HostInfo>,
    /// The heartbeats of others.
    pub beats: Vec<HostHeartbeat>,
}

/// The hosts that this host knows.
#[derive(Debug)]
pub struct Membership {
    options: MembershipOptions,
    me: HostId,
    members: Map<HostId, Member>,
    heartbeat: u64,
    /// When the last heartbeats were sent, the latest last.
    sent: VecDeque<Instant>,
    leaving: bool,
    next: Instant,
    /// Until when nobody goes silent for too long or is forgotten, unless something is heard.
    /// Every event of the host asks for it, so that most need not look at all members.
    next_look: Instant,
    /// Whether a host was found to be leaving since the last look.
    leaving_changed: bool,
}

impl Membership {
    /// Makes a host that knows of no other.
    pub fn new(options: MembershipOptions) -> Self {
        Self {
            me: HostId::from_name(&options.name),
            options,
            members: Map::default(),
            heartbeat: 0,
            sent: VecDeque::new(),
            leaving: false,
            next: Instant::default(),
            next_look: Instant::default(),
            leaving_changed: false,
        }
    }

    /// Says from now on that this host is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes in a host from the platform's list or from the table of sessions. It counts as
    /// alive only once something was heard of it.
    pub fn learn(
        &mut self,
        name: &str,
        zone: &str,
        peer_address: SocketAddr,
        leaving: bool,
        out: &mut Vec<MembershipAction>,
    ) {
        let host = HostId::from_name(name);
        if host == self.me {
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
            heard: None,
            told: 0,
            told_whole: 0,
            alive: false,
        });

        // News from the host itself is fresher than a list that lags.
        if member.heard.is_none() {
            let moved = member.peer_address != peer_address;
            member.peer_address = peer_address;
            if is_new || moved {
                out.push(MembershipAction::Address { host, address: peer_address });
            }
        }
        self.leaving_changed |= leaving && !member.leaving;
        member.leaving |= leaving;
    }

    /// Takes in gossip.
    pub fn heard(
        &mut self,
        now: Instant,
        whole: &[HostInfo],
        beats: &[HostHeartbeat],
        out: &mut Vec<MembershipAction>,
    ) {
        whole.iter().for_each(|item| self.hear_whole(now, item, out));
        beats.iter().for_each(|beat| self.hear_beat(now, beat));

        self.look(now, out);
    }

    fn hear_whole(&mut self, now: Instant, item: &HostInfo, out: &mut Vec<MembershipAction>) {
        let Ok(address) = item.peer_address.parse() else {
            return;
        };
        self.learn(&item.name, &item.zone, address, item.leaving, out);
        let Some(member) = self.members.get_mut(&HostId::from_name(&item.name)) else {
            return;
        };
        if !member.is_newer(item.session, item.heartbeat) {
            return;
        }

        if member.peer_address != address {
            out.push(MembershipAction::Address { host: member.host, address });
        }
        let same = member.session == item.session
            && member.peer_address == address
            && member.leaving == item.leaving;
        self.leaving_changed |= member.leaving != item.leaving;
        member.peer_address = address;
        member.leaving = item.leaving;
        member.beat(now, item.session, item.heartbeat);
        if !same {
            member.told_whole = 0;
        }
    }

    fn hear_beat(&mut self, now: Instant, beat: &HostHeartbeat) {
        // A host not known yet is learnt from whole news, or from the platform.
        let Some(member) = self.members.get_mut(&HostId(beat.host)) else {
            return;
        };

        if member.is_newer(beat.session, beat.heartbeat) {
            member.beat(now, beat.session, beat.heartbeat);
        }
    }

    /// Gossips, if it is time, and looks who has gone silent.
    pub fn wake(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        if now > self.next_look || self.leaving_changed {
            self.look(now, out);
        }
        if now < self.next {
            return;
        }

        self.next = now + self.options.period;
        self.heartbeat += 1;
        self.sent.push_back(now);
        if self.sent.len() > KEPT_BEATS {
            self.sent.pop_front();
        }
        for to in self.receivers() {
            let news = self.news_for(to);
            out.push(MembershipAction::Gossip { to, news });
        }
    }

    /// Returns when [`Membership::wake`] is due.
    pub fn wake_at(&self) -> Instant {
        self.next
    }

    /// Returns the other hosts that count as alive, in order.
    pub fn alive(&self) -> Vec<&Member> {
        let mut all: Vec<_> = self.members.values().filter(|m| m.alive).collect();
        all.sort_unstable_by_key(|m| m.host);

        all
    }

    /// Returns all other hosts, in order.
    pub fn all(&self) -> Vec<&Member> {
        let mut all: Vec<_> = self.members.values().collect();
        all.sort_unstable_by_key(|m| m.host);

        all
    }

    /// Returns the latest heartbeat known of a host, after the run that it is of.
    pub fn heartbeat_of(&self, host: HostId) -> (u64, u64) {
        self.members.get(&host).map_or((0, 0), |m| (m.session, m.heartbeat))
    }

    /// Returns when this host sent a heartbeat of its own, if that was not long ago.
    pub fn sent_at(&self, session: u64, heartbeat: u64) -> Option<Instant> {
        let age = usize::try_from(self.heartbeat.checked_sub(heartbeat)?).ok()?;
        let index = self.sent.len().checked_sub(1 + age)?;

        self.sent.get(index).copied().filter(|_| session == self.options.session)
    }

    /// Returns whether another host counts as alive.
    pub fn is_alive(&self, host: HostId) -> bool {
        self.members.get(&host).is_some_and(|m| m.alive)
    }

    /// Finds out whose state changed since the last look.
    fn look(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        let suspect_after = self.options.suspect_after;
        // A host that begins to leave stays alive, yet others must stop choosing it.
        let mut changed = std::mem::take(&mut self.leaving_changed);
        let mut gone = Vec::new();

        for member in self.members.values_mut() {
            let alive = member.heard.is_some_and(|at| now.since(at) <= suspect_after);
            changed |= alive != member.alive;
            if member.alive && !alive {
                gone.push(member.host);
            }
            member.alive = alive;
        }

        let forget_after = suspect_after * FORGET_FACTOR;
        self.members.retain(|_, m| m.heard.is_none_or(|at| now.since(at) <= forget_after));
        let lasts =
            |m: &Member| Some(m.heard? + if m.alive { suspect_after } else { forget_after });
        self.next_look = self.members.values().filter_map(lasts).min().unwrap_or(Instant(u64::MAX));
        gone.sort_unstable();
        // What a gone host left undone is asked of another at once, so the choice among those
        // alive comes first: else the gone host would be asked again, and never answer.
        if changed {
            out.push(MembershipAction::Changed);
        }
        out.extend(gone.into_iter().map(MembershipAction::Gone));
    }

    /// Picks whom to tell: one host of this zone, so that a zone that is cut off still hears
    /// itself, others that are alive, and one that is silent, since a cut heals without notice.
    ///
    /// All differ, and at most one is silent: in a small fleet with some hosts dead, two that
    /// are alive could else tell each other nothing for longer than a host may be silent.
    fn receivers(&self) -> Vec<HostId> {
        let zone = ZoneId::from_name(&self.options.zone);
        let ids = |wanted: &dyn Fn(&Member) -> bool| -> Vec<HostId> {
            self.members.values().filter(|m| wanted(m)).map(|m| m.host).collect()
        };
        let near = ids(&|m| m.alive && m.zone == zone);
        let alive = ids(&|m| m.alive);
        let silent = ids(&|m| !m.alive);

        let last = self.options.fanout.saturating_sub(1);
        let mut picked = Vec::new();
        for i in 0..self.options.fanout {
            let order = match i {
                0 => [&near, &alive, &silent],
                i if i == last => [&silent, &alive, &near],
                _ => [&alive, &silent, &near],
            };
            picked.extend(order.iter().find_map(|hosts| self.pick(hosts, i, &picked)));
        }
        picked.sort_unstable();

        picked
    }

    /// Picks one host: the one that stands so many places after this one in the order of ids,
    /// or the next that is not picked yet.
    ///
    /// The number of places changes with each round and is the same at all hosts, so that in
    /// one round hardly two tell the same host. When all hosts walked the list from its start,
    /// they told the same three hosts at a time, and the others heard nothing for seconds.
    fn pick(&self, hosts: &[HostId], i: usize, picked: &[HostId]) -> Option<HostId> {
        let round = self.heartbeat * self.options.fanout as u64 + i as u64;
        let places = stable_hash(&[b"gossip", &round.to_be_bytes()]) as usize % hosts.len().max(1);
        let mut ring: Vec<_> = hosts.iter().copied().filter(|h| *h > self.me).collect();
        ring.sort_unstable();
        let mut before: Vec<_> = hosts.iter().copied().filter(|h| *h < self.me).collect();
        before.sort_unstable();
        ring.extend(before);

        ring.iter().cycle().skip(places).take(ring.len()).find(|h| !picked.contains(h)).copied()
    }

    /// Picks the news for one host: this host's own, then what was passed on least often.
    fn news_for(&mut self, to: HostId) -> News {
        let most = LEAST_NEWS.max(self.members.len() / NEWS_DIVISOR);
        let mut news = News { whole: vec![self.own_news()], beats: Vec::new() };
        let mut others: Vec<_> = self
            .members
            .values_mut()
            .filter(|m| m.host != to && m.heard.is_some() && m.alive)
            .collect();
        others.sort_unstable_by_key(|m| (m.told, m.host));

        for member in others.into_iter().take(most) {
            member.told += 1;
            if member.told_whole < WHOLE_TELLS {
                member.told_whole += 1;
                news.whole.push(member.news());
            } else {
                news.beats.push(HostHeartbeat {
                    host: member.host.0,
                    session: member.session,
                    heartbeat: member.heartbeat,
                });
            }
        }

        news
    }

    fn own_news(&self) -> HostInfo {
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
