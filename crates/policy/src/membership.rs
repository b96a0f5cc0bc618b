//! Which hosts there are and which are alive, by gossip.
//!
//! Membership only steers: it says where to send things. Whatever grants something is an
//! epoch in the platform or a lent slice, so a wrong view costs time, never a promise.

use std::net::SocketAddr;
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, ZoneId};
use camphorwalk_core::messages::gossip::HostNews;
use camphorwalk_core::time::Instant;

/// The most hosts that one message tells of, the sender aside: bounds its bytes.
const NEWS_PER_MESSAGE: usize = 20;

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
    /// How often its latest news was passed on.
    told: u32,
    /// Whether it counted as alive at the last look.
    alive: bool,
}

/// What to do next for membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipNext {
    /// Send this news to a host.
    Gossip {
        /// The receiver.
        to: HostId,
        /// The news, the sender's own first.
        news: Vec<HostNews>,
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

/// The hosts that this host knows.
#[derive(Debug)]
pub struct Membership {
    options: MembershipOptions,
    me: HostId,
    members: Map<HostId, Member>,
    heartbeat: u64,
    leaving: bool,
    next: Instant,
    /// Walks over the members, so that each gets its turn.
    turn: usize,
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
            leaving: false,
            next: Instant::default(),
            turn: 0,
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
        out: &mut Vec<MembershipNext>,
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
            alive: false,
        });

        // News from the host itself is fresher than a list that lags.
        if member.heard.is_none() {
            let moved = member.peer_address != peer_address;
            member.peer_address = peer_address;
            if is_new || moved {
                out.push(MembershipNext::Address { host, address: peer_address });
            }
        }
        self.leaving_changed |= leaving && !member.leaving;
        member.leaving |= leaving;
    }

    /// Takes in gossip.
    pub fn heard(&mut self, now: Instant, news: &[HostNews], out: &mut Vec<MembershipNext>) {
        for item in news {
            self.hear_one(now, item, out);
        }

        self.look(now, out);
    }

    fn hear_one(&mut self, now: Instant, item: &HostNews, out: &mut Vec<MembershipNext>) {
        let Ok(address) = item.peer_address.parse() else {
            return;
        };
        self.learn(&item.name, &item.zone, address, item.leaving, out);
        let Some(member) = self.members.get_mut(&HostId::from_name(&item.name)) else {
            return;
        };

        // A new run of a process counts its heartbeats from the start.
        let newer = if member.session == item.session {
            item.heartbeat > member.heartbeat
        } else {
            item.session > member.session
        };
        if !newer {
            return;
        }

        if member.peer_address != address {
            out.push(MembershipNext::Address { host: member.host, address });
        }
        member.session = item.session;
        member.heartbeat = item.heartbeat;
        member.peer_address = address;
        self.leaving_changed |= member.leaving != item.leaving;
        member.leaving = item.leaving;
        member.heard = Some(now);
        member.told = 0;
    }

    /// Gossips, if it is time, and looks who has gone silent.
    pub fn wake(&mut self, now: Instant, out: &mut Vec<MembershipNext>) {
        self.look(now, out);
        if now < self.next {
            return;
        }

        self.next = now + self.options.period;
        self.heartbeat += 1;
        for to in self.receivers() {
            let news = self.news_for(to);
            out.push(MembershipNext::Gossip { to, news });
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

    /// Returns whether another host counts as alive.
    pub fn is_alive(&self, host: HostId) -> bool {
        self.members.get(&host).is_some_and(|m| m.alive)
    }

    /// Returns a host by its id.
    pub fn member(&self, host: HostId) -> Option<&Member> {
        self.members.get(&host)
    }

    /// Finds out whose state changed since the last look.
    fn look(&mut self, now: Instant, out: &mut Vec<MembershipNext>) {
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
        gone.sort_unstable();
        // What a gone host left undone is asked of another at once, so the choice among those
        // alive comes first: else the gone host would be asked again, and never answer.
        if changed {
            out.push(MembershipNext::Changed);
        }
        out.extend(gone.into_iter().map(MembershipNext::Gone));
    }

    /// Picks whom to tell: each member in its turn, those of this host's zone and those of
    /// others alike, silent ones included, since a cut heals without notice.
    fn receivers(&mut self) -> Vec<HostId> {
        let mut all: Vec<_> = self.members.keys().copied().collect();
        all.sort_unstable();
        let count = self.options.fanout.min(all.len());
        let picked = (0..count).map(|i| all[(self.turn + i) % all.len()]).collect();
        self.turn = self.turn.wrapping_add(count);

        picked
    }

    /// Picks the news for one host: this host's own, then what was passed on least often.
    fn news_for(&mut self, to: HostId) -> Vec<HostNews> {
        let mut news = vec![self.own_news()];
        let mut others: Vec<_> = self
            .members
            .values_mut()
            .filter(|m| m.host != to && m.heard.is_some() && m.alive)
            .collect();
        others.sort_unstable_by_key(|m| (m.told, m.host));

        for member in others.into_iter().take(NEWS_PER_MESSAGE) {
            member.told += 1;
            news.push(HostNews {
                name: member.name.to_string(),
                zone: member.zone_name.to_string(),
                peer_address: member.peer_address.to_string(),
                session: member.session,
                heartbeat: member.heartbeat,
                leaving: member.leaving,
                renewal: 0,
            });
        }

        news
    }

    fn own_news(&self) -> HostNews {
        HostNews {
            name: self.options.name.to_string(),
            zone: self.options.zone.to_string(),
            peer_address: self.options.peer_address.to_string(),
            session: self.options.session,
            heartbeat: self.heartbeat,
            leaving: self.leaving,
            renewal: 0,
        }
    }
}
