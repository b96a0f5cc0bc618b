//! Which hosts send each other status updates, and which updates are new.
//!
//! Hosts of one availability zone update each other directly. In a small fleet the hosts of other
//! zones are updated directly, too. In a large one, each update goes to a few hosts of each other
//! zone, which forward it within their zone together with their own updates. So the number of
//! messages that a host sends and receives grows with its zone and not with the fleet.
//!
//! Nothing is elected: each host forwards what it gets, and each update goes to two hosts of a zone,
//! so that one that is slow or dead delays no update. Updates are numbered, since they arrive over
//! several ways in any order.

use std::time::Duration;

use camphorwalk_core::hash::{Map, rendezvous_order};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

/// The shortest period of status updates. A call takes about a fifth of a second, so the other
/// hosts know of it while it still runs, and do not take a full target for an idle one.
const MIN_PERIOD: Duration = Duration::from_millis(100);

/// The period is at least this long for each receiver, so that a host sends no more than a few
/// hundred messages a second in a fleet of any size.
const PERIOD_PER_HOST: Duration = Duration::from_millis(5);

/// The longest period of updates within a zone. With longer ones a host that is alive would count as
/// silent.
const MAX_NEAR_PERIOD: Duration = Duration::from_millis(200);

/// The longest period of updates to other zones. With longer ones a host that is alive would count
/// as silent.
const MAX_FAR_PERIOD: Duration = Duration::from_millis(250);

/// The number of hosts of each other zone that forward this host's updates.
const FORWARDERS: usize = 6;

/// How many of them get each update.
const COPIES: usize = 2;

/// For how long after its start a process sends the demand of all tenants with each update, so that
/// no other host has to request it.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// The pause between two requests for all of a host's demand.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// A forwarded update that is older than this is dropped: its sender would count as silent.
const MAX_AGE: Duration = Duration::from_millis(700);

/// The latency between two zones, with the time that a host takes to handle an update.
const LATENCY: Duration = Duration::from_millis(30);

/// Another host of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: &'a str,
    /// Whether its latest status update is recent.
    pub is_live: bool,
    /// Whether it forwards updates, as far as is known.
    pub forwarding: Forwarding,
}

/// Whether another host forwards updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarding {
    /// No update has arrived from it.
    Unknown,
    /// It runs a build that forwards updates.
    Supported,
    /// It runs an older build, which only knows of the hosts that update it directly.
    Unsupported,
}

/// The receivers of one round of status updates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// The number of the updates of this round.
    pub sequence: u64,
    /// The hosts of this host's zone.
    pub near: Vec<HostId>,
    /// The hosts of other zones that are updated directly.
    pub direct: Vec<HostId>,
    /// The hosts of other zones that get an update to forward it.
    pub forwarders: Vec<HostId>,
    /// The update to forwarders covers the changes after the round with this number.
    pub changes_since: u64,
    /// Whether the update to forwarders covers the demand of all tenants.
    pub is_full: bool,
}

/// Identifies a status update among those of its sender.
#[derive(Clone, Copy, Debug)]
pub struct Stamp {
    /// The run of the sender's process.
    pub run: u64,
    /// The number of the round; 0 from a build that does not number them.
    pub sequence: u64,
    /// The update covers the changes after the round with this number.
    pub changes_since: u64,
    /// Whether the update covers the demand of all tenants.
    pub is_full: bool,
}

/// What to do with a status update that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is newer than all before, and must be applied.
    New,
    /// It, or a newer one, has been applied.
    Old,
}

/// The last update that was applied of another host.
#[derive(Clone, Copy, Debug)]
struct Position {
    run: u64,
    sequence: u64,
    /// The run of its process before that. Its updates may still be on the way.
    previous_run: Option<u64>,
}

/// Changes that can be merged with later ones.
pub trait Merge {
    /// Adds changes that came later.
    fn merge(&mut self, later: Self);
}

/// The changes that the updates to other zones cover.
#[derive(Clone, Debug, Default)]
pub struct FarChanges<C> {
    /// Those since the last update to hosts that are updated directly.
    direct: C,
    /// Those since the last update to forwarders, and those that it covered as the latest. Each
    /// change is sent twice, so that the loss of one update costs nothing.
    forwarded: C,
    forwarded_before: C,
}

impl<C: Clone + Default + Merge> FarChanges<C> {
    /// Adds the changes of a round.
    pub fn add(&mut self, changes: &C) {
        self.direct.merge(changes.clone());
        self.forwarded.merge(changes.clone());
    }

    /// Takes the changes for the hosts that are updated directly.
    pub fn take_direct(&mut self) -> C {
        std::mem::take(&mut self.direct)
    }

    /// Takes the changes for the hosts that forward updates.
    pub fn take_forwarded(&mut self) -> C {
        let latest = std::mem::take(&mut self.forwarded);
        let mut all = std::mem::replace(&mut self.forwarded_before, latest.clone());

        all.merge(latest);
        all
    }
}

/// An update that this host forwards within its zone.
#[derive(Clone, Debug)]
struct Queued<U> {
    update: U,
    received_at: Instant,
}

/// The exchange of status updates at one host. `U` is an update as it is forwarded.
#[derive(Debug)]
pub struct StatusExchange<U> {
    own: HostId,
    started_at: Instant,
    sequence: u64,
    far_sent_at: Instant,
    direct_sent_at: Instant,
    /// The numbers of the last two rounds with an update to forwarders, the latest first.
    far_rounds: [u64; 2],
    positions: Map<HostId, Position>,
    queue: Vec<Queued<U>>,
    /// The hosts of which changes are missing, and when all of their demand was last requested.
    incomplete: Map<HostId, Option<Instant>>,
}

/// Returns the period of direct updates to this many hosts.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::status_exchange::direct_period;
/// assert_eq!(direct_period(3), Duration::from_millis(100));
/// assert_eq!(direct_period(40), Duration::from_millis(200));
/// ```
pub fn direct_period(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);

    MIN_PERIOD.max(PERIOD_PER_HOST.saturating_mul(hosts))
}

/// Returns the period of the updates within a zone that has this many other hosts.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::status_exchange::near_period;
/// assert_eq!(near_period(60), Duration::from_millis(200));
/// ```
pub fn near_period(hosts: usize) -> Duration {
    direct_period(hosts).min(MAX_NEAR_PERIOD)
}

/// Returns the mean time until a host of a fleet knows of a change at another host.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::status_exchange::mean_delay;
/// assert_eq!(mean_delay(4, 7), Duration::from_millis(80));
/// assert_eq!(mean_delay(40, 160), Duration::from_millis(230));
/// ```
pub fn mean_delay(near: usize, far: usize) -> Duration {
    let near_period = near_period(near);
    let way = match is_relayed(near, far) {
        true => far_period(near, far) + near_period,
        false => direct_period(near + far),
    };

    way / 2 + LATENCY
}

/// Returns whether hosts of other zones are updated through forwarders.
fn is_relayed(near: usize, far: usize) -> bool {
    far > 0 && direct_period(near + far) > MAX_FAR_PERIOD
}

/// Returns the period of the updates to other zones: a whole number of rounds where updates are
/// forwarded.
fn far_period(near: usize, far: usize) -> Duration {
    let near_period = near_period(near);
    let rounds = (MAX_FAR_PERIOD.as_millis() / near_period.as_millis()).max(1);

    match is_relayed(near, far) {
        true => near_period * u32::try_from(rounds).unwrap_or(1),
        false => direct_period(near + far),
    }
}

impl<U> StatusExchange<U> {
    /// Creates the exchange of a process that starts now.
    pub fn new(own: HostId, now: Instant) -> Self {
        Self {
            own,
            started_at: now,
            sequence: 0,
            far_sent_at: Instant(0),
            direct_sent_at: Instant(0),
            far_rounds: [0; 2],
            positions: Map::default(),
            queue: Vec::new(),
            incomplete: Map::default(),
        }
    }

    /// Begins a round of status updates and returns who gets one.
    pub fn begin_round(&mut self, now: Instant, own_zone: &str, members: &[Member<'_>]) -> Round {
        let (near, far): (Vec<_>, Vec<_>) =
            members.iter().copied().partition(|member| member.zone == own_zone);
        let (near_hosts, far_hosts) = (near.len(), far.len());
        let is_due = |sent_at: Instant, period: Duration| {
            now.since(sent_at) + near_period(near_hosts) / 2 >= period
        };
        self.sequence += 1;
        let mut round = Round {
            sequence: self.sequence,
            near: near.iter().map(|member| member.host).collect(),
            ..Round::default()
        };

        let is_relayed = is_relayed(near_hosts, far_hosts);
        let is_direct =
            |member: &Member<'_>| !is_relayed || member.forwarding == Forwarding::Unsupported;
        if is_due(self.direct_sent_at, direct_period(near_hosts + far_hosts)) {
            self.direct_sent_at = now;
            round.direct = far.iter().filter(|m| is_direct(m)).map(|m| m.host).collect();
        }
        if is_relayed && is_due(self.far_sent_at, far_period(near_hosts, far_hosts)) {
            self.far_sent_at = now;
            round.forwarders = self.forwarders(&far);
            round.changes_since = self.far_rounds[1];
            round.is_full = now.since(self.started_at) < STARTUP_PERIOD;
            self.far_rounds = [self.sequence, self.far_rounds[0]];
        }

        round
    }

    /// Returns the hosts that forward this round's update, some of each zone.
    fn forwarders(&self, far: &[Member<'_>]) -> Vec<HostId> {
        let mut zones: Map<&str, Vec<Member<'_>>> = Map::default();
        for member in far.iter().filter(|m| m.forwarding != Forwarding::Unsupported) {
            zones.entry(member.zone).or_default().push(*member);
        }

        zones.into_values().flat_map(|zone| self.forwarders_of_zone(&zone)).collect()
    }

    fn forwarders_of_zone(&self, zone: &[Member<'_>]) -> Vec<HostId> {
        let live: Vec<_> = zone.iter().filter(|m| m.is_live).map(|m| m.host.0).collect();
        // If all of them are silent, updates must pass as soon as the zone can be reached again.
        let candidates = match live.is_empty() {
            true => zone.iter().map(|member| member.host.0).collect(),
            false => live,
        };
        let mut order = rendezvous_order(self.own.0, candidates);
        order.truncate(FORWARDERS);

        let first = usize::try_from(self.sequence).unwrap_or(0) * COPIES;
        let copies = COPIES.min(order.len());
        (0..copies).map(|copy| HostId(order[(first + copy) % order.len()])).collect()
    }

    /// Decides whether an update that its sender has sent to this host is new, and records it.
    pub fn record_direct(&mut self, host: HostId, stamp: Stamp) -> Freshness {
        self.record(host, stamp, false)
    }

    /// Decides whether an update that another host has forwarded is new, and records it. `age` is
    /// the time for which it has waited at hosts that forwarded it.
    pub fn record_forwarded(&mut self, host: HostId, stamp: Stamp, age: Duration) -> Freshness {
        match host == self.own || age > MAX_AGE {
            true => Freshness::Old,
            false => self.record(host, stamp, true),
        }
    }

    /// Decides whether an update of a host of another zone is new, records it, and queues it to be
    /// forwarded within this host's zone. If another host has already forwarded it, the other hosts
    /// of the zone have it, too.
    pub fn record_for_zone(
        &mut self,
        now: Instant,
        host: HostId,
        stamp: Stamp,
        update: U,
    ) -> Freshness {
        let freshness = self.record(host, stamp, true);

        if freshness == Freshness::New {
            self.queue.push(Queued { update, received_at: now });
        }
        freshness
    }

    fn record(&mut self, host: HostId, stamp: Stamp, is_forwarded: bool) -> Freshness {
        if stamp.sequence == 0 {
            return Freshness::New;
        }
        let before = self.positions.get(&host).copied();
        let previous_run = match before {
            Some(before) if before.run == stamp.run => {
                let is_old = stamp.sequence < before.sequence
                    || (stamp.sequence == before.sequence && !stamp.is_full);
                if is_old {
                    return Freshness::Old;
                }
                if is_forwarded && !stamp.is_full && stamp.changes_since > before.sequence {
                    self.want_all(host);
                }
                before.previous_run
            }
            Some(before) if before.previous_run == Some(stamp.run) => return Freshness::Old,
            Some(before) => Some(before.run),
            None => None,
        };
        if stamp.is_full {
            self.incomplete.remove(&host);
        }
        let position = Position { run: stamp.run, sequence: stamp.sequence, previous_run };
        self.positions.insert(host, position);

        Freshness::New
    }

    /// Records that changes of a host are missing, so that all of its demand is requested.
    pub fn want_all(&mut self, host: HostId) {
        self.incomplete.entry(host).or_insert(None);
    }

    /// Returns the hosts to ask for all of their demand now.
    pub fn take_requests(&mut self, now: Instant) -> Vec<HostId> {
        let is_due = |at: &Option<Instant>| at.is_none_or(|at| now.since(at) >= REQUEST_INTERVAL);
        let due = self.incomplete.iter_mut().filter(|(_, at)| is_due(at));

        due.map(|(host, at)| {
            *at = Some(now);
            *host
        })
        .collect()
    }

    /// Returns the updates to forward, with the time for which each has waited here.
    pub fn take_queue(&mut self, now: Instant) -> Vec<(U, Duration)> {
        let queue = std::mem::take(&mut self.queue).into_iter();

        queue.map(|queued| (queued.update, now.since(queued.received_at))).collect()
    }

    /// Forgets the hosts that no longer belong to the fleet.
    pub fn retain(&mut self, is_member: impl Fn(HostId) -> bool) {
        self.positions.retain(|host, _| is_member(*host));
        self.incomplete.retain(|host, _| is_member(*host));
    }

    /// Returns the number of the last round.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }
}
