//! Which hosts send each other status updates, and which updates are new.
//!
//! In a small fleet each host updates all others directly. In a large one each update goes to two
//! hosts of each availability zone, which collect the updates of all hosts and forward them within
//! their zone several times a second. So most hosts send and receive some dozens of messages a
//! second in a fleet of any size.
//!
//! Nothing is elected. Each host computes which hosts of a zone forward updates from those that it
//! has heard, and whoever gets an update forwards it. Consecutive updates go to different pairs, so
//! that some dead or slow forwarders delay only some updates. Updates are numbered, since they
//! arrive over several ways in any order.

use std::cmp::Reverse;
use std::time::Duration;

use camphorwalk_core::hash::{Map, rendezvous_weight, stable_hash};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

/// The shortest period of status updates. A call takes about a fifth of a second, so the other
/// hosts know of it while it still runs, and do not take a full target for an idle one.
const MIN_PERIOD: Duration = Duration::from_millis(100);

/// The period is at least this long for each receiver, so that a host sends no more than a few
/// hundred messages a second in a fleet of any size.
const PERIOD_PER_HOST: Duration = Duration::from_millis(5);

/// The longest period of direct updates to all hosts. With longer ones a host that is alive would
/// count as silent at times.
const MAX_DIRECT_PERIOD: Duration = Duration::from_millis(400);

/// The period of updates through forwarders, for each host of the fleet.
const FORWARDED_PERIOD_PER_HOST: Duration = Duration::from_millis(1);

/// The longest period of updates through forwarders.
const MAX_FORWARDED_PERIOD: Duration = Duration::from_millis(250);

/// The number of hosts of a zone that forward updates.
const FORWARDERS: usize = 6;

/// How many of them get each update.
const COPIES: usize = 2;

/// A host whose latest update is older than this is not chosen to forward updates, if there are
/// others. Updates usually arrive at half this age, and a host counts as silent later.
const FORWARDER_MAX_AGE: Duration = Duration::from_millis(450);

/// For how long after its start a process sends the demand of all tenants with each update, so that
/// no other host has to request it.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// The pause between two requests for all of a host's demand.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// A forwarded update that is older than this is dropped: its sender would count as silent.
const MAX_AGE: Duration = Duration::from_millis(700);

/// For this long after an update of a host, those of an earlier run of its process are dropped. Later
/// the clock of the host may have been set back, and the run that seems earlier is the present one.
const RUN_MEMORY: Duration = Duration::from_secs(2);

/// The latency between two zones, with the time that a host takes to handle an update.
const LATENCY: Duration = Duration::from_millis(30);

/// Another host of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: &'a str,
    /// The age of its latest status update; `None` if there was none for long.
    pub age: Option<Duration>,
    /// Whether it forwards updates, as far as is known.
    pub forwarding: Forwarding,
    /// The processor time that it may use, in thousandths of a core; 0 if that is not known.
    pub processor_millis: u32,
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
    /// The hosts that get an update of the changes since the last round.
    pub near: Vec<HostId>,
    /// The hosts that get an update of the changes since they were last in this list.
    pub far: Vec<HostId>,
    /// Whether updates are forwarded, so that `near` holds only hosts that know of no forwarding.
    pub is_forwarded: bool,
    /// The hosts that get an update to forward it. This host may be among them.
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
    /// When the process started, in milliseconds since the Unix epoch by the sender's clock; 0 if
    /// that is not known.
    pub started_ms: u64,
    /// When it was sent, by a clock of the sender that only goes forward; `None` if that is not
    /// known.
    pub sent_at: Option<Instant>,
}

/// What to do with a status update that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is newer than all before, and must be applied. It has been on the way for this much longer
    /// than the fastest update of the same run.
    New(Duration),
    /// It, or a newer one, has been applied.
    Old,
}

/// The last update that was applied of another host.
#[derive(Clone, Copy, Debug)]
struct Position {
    run: u64,
    sequence: u64,
    started_ms: u64,
    recorded_at: Instant,
    /// The lowest difference between this host's clock on arrival and the sender's on sending, in
    /// microseconds: that of the fastest update.
    clock_offset: i64,
    /// The run of its process before that. Its updates may still be on the way.
    previous_run: Option<u64>,
}

impl Position {
    /// Returns whether an update is of an earlier run of the process.
    fn has_replaced(&self, now: Instant, stamp: Stamp) -> bool {
        self.previous_run == Some(stamp.run)
            || (stamp.started_ms > 0
                && stamp.started_ms < self.started_ms
                && now.since(self.recorded_at) < RUN_MEMORY)
    }
}

/// Returns the difference between this host's clock and that of the sender of an update, in
/// microseconds, with the time that the update took.
fn clock_offset(now: Instant, sent_at: Instant) -> i64 {
    now.0.cast_signed().wrapping_sub(sent_at.0.cast_signed())
}

/// Changes that can be merged with later ones.
pub trait Merge {
    /// Adds changes that came later.
    fn merge(&mut self, later: Self);

    /// Returns those changes that do no harm when they are applied twice.
    fn into_repeatable(self) -> Self;
}

/// The changes that have not been sent to all hosts yet.
#[derive(Clone, Debug, Default)]
pub struct UnsentChanges<C> {
    /// Those since the last direct update to other zones.
    far: C,
    /// Those since the last update to forwarders.
    forwarded: C,
    /// Those that it covered as the latest, as far as they can be repeated: they are sent twice, so
    /// that the loss of one update costs little.
    forwarded_before: C,
}

impl<C: Clone + Default + Merge> UnsentChanges<C> {
    /// Adds the changes of a round, and returns those for the hosts that the round updates.
    pub fn split(&mut self, round: &Round, changes: C) -> RoundChanges<C> {
        if round.is_forwarded {
            self.far = C::default();
            self.forwarded.merge(changes.clone());
            let forwarded = match round.forwarders.is_empty() {
                true => C::default(),
                false => self.take_forwarded(),
            };
            return RoundChanges { near: changes, far: C::default(), forwarded };
        }

        self.far.merge(changes.clone());
        let far = match round.far.is_empty() {
            true => C::default(),
            false => std::mem::take(&mut self.far),
        };
        RoundChanges { near: changes, far, forwarded: C::default() }
    }

    fn take_forwarded(&mut self) -> C {
        let latest = std::mem::take(&mut self.forwarded);
        let repeatable = latest.clone().into_repeatable();
        let mut all = std::mem::replace(&mut self.forwarded_before, repeatable);

        all.merge(latest);
        all
    }
}

/// The changes for the hosts that a [`Round`] updates.
#[derive(Clone, Debug, Default)]
pub struct RoundChanges<C> {
    /// For [`Round::near`].
    pub near: C,
    /// For [`Round::far`].
    pub far: C,
    /// For [`Round::forwarders`].
    pub forwarded: C,
}

/// The exchange of status updates at one host. `U` is an update as it is forwarded.
#[derive(Debug)]
pub struct StatusExchange<U> {
    own: HostId,
    processor_millis: u32,
    started_at: Instant,
    sequence: u64,
    /// When hosts of other zones were last updated directly.
    far_sent_at: Instant,
    /// When an update was last sent to forwarders.
    forwarded_at: Instant,
    /// The numbers of the last two rounds with an update to forwarders, the latest first.
    forwarded_rounds: [u64; 2],
    positions: Map<HostId, Position>,
    /// The updates that this host forwards within its zone.
    queue: Vec<U>,
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

/// Returns the period of updates through forwarders in a fleet with this many other hosts.
fn forwarded_period(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);

    FORWARDED_PERIOD_PER_HOST.saturating_mul(hosts).clamp(MIN_PERIOD, MAX_FORWARDED_PERIOD)
}

/// Returns whether updates are forwarded in a fleet with this many other hosts.
fn is_forwarded(hosts: usize) -> bool {
    direct_period(hosts) > MAX_DIRECT_PERIOD
}

/// Returns the pause between two calls of [`StatusExchange::begin_round`], for a host with this many
/// others in its zone and in other zones. Forwarders send on what they have at each of them.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::status_exchange::round_period;
/// assert_eq!(round_period(2, 8), Duration::from_millis(100));
/// assert_eq!(round_period(40, 160), Duration::from_millis(100));
/// ```
pub fn round_period(near: usize, far: usize) -> Duration {
    match is_forwarded(near + far) {
        true => forwarded_period(near + far) / 2,
        false => direct_period(near),
    }
}

/// Returns the mean time until a host of a fleet knows of a change at another host.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::status_exchange::mean_delay;
/// assert_eq!(mean_delay(2, 8), Duration::from_millis(80));
/// assert_eq!(mean_delay(40, 160), Duration::from_millis(180));
/// ```
pub fn mean_delay(near: usize, far: usize) -> Duration {
    let hosts = near + far;
    let period = match is_forwarded(hosts) {
        true => forwarded_period(hosts) + round_period(near, far),
        false => direct_period(hosts),
    };

    period / 2 + LATENCY
}

impl<U> StatusExchange<U> {
    /// Creates the exchange of a process that starts now, on a host with so much processor time.
    pub fn new(own: HostId, processor_millis: u32, now: Instant) -> Self {
        Self {
            own,
            processor_millis,
            started_at: now,
            sequence: 0,
            far_sent_at: Instant(0),
            forwarded_at: Instant(0),
            forwarded_rounds: [0; 2],
            positions: Map::default(),
            queue: Vec::new(),
            incomplete: Map::default(),
        }
    }

    /// Begins a round of status updates and returns who gets one. Called after each
    /// [`round_period`].
    pub fn begin_round(&mut self, now: Instant, own_zone: &str, members: &[Member<'_>]) -> Round {
        match is_forwarded(members.len()) {
            true => self.begin_forwarded_round(now, own_zone, members),
            false => self.begin_direct_round(now, own_zone, members),
        }
    }

    fn begin_direct_round(
        &mut self,
        now: Instant,
        own_zone: &str,
        members: &[Member<'_>],
    ) -> Round {
        let (near, far): (Vec<_>, Vec<_>) =
            members.iter().partition(|member| member.zone == own_zone);
        let hosts = |members: Vec<&Member<'_>>| members.iter().map(|m| m.host).collect();
        let is_far_due =
            now.since(self.far_sent_at) + MIN_PERIOD / 2 >= direct_period(members.len());
        self.sequence += 1;
        if is_far_due {
            self.far_sent_at = now;
        }

        Round {
            sequence: self.sequence,
            near: hosts(near),
            far: if is_far_due { hosts(far) } else { Vec::new() },
            ..Round::default()
        }
    }

    fn begin_forwarded_round(
        &mut self,
        now: Instant,
        own_zone: &str,
        members: &[Member<'_>],
    ) -> Round {
        let period = forwarded_period(members.len());
        if now.since(self.forwarded_at) + period / 4 < period {
            return Round { is_forwarded: true, ..Round::default() };
        }
        self.forwarded_at = now;
        self.sequence += 1;
        let changes_since = self.forwarded_rounds[1];
        self.forwarded_rounds = [self.sequence, self.forwarded_rounds[0]];
        let is_unsupported = |m: &&Member<'_>| m.forwarding == Forwarding::Unsupported;

        Round {
            sequence: self.sequence,
            near: members.iter().filter(is_unsupported).map(|m| m.host).collect(),
            far: Vec::new(),
            is_forwarded: true,
            forwarders: self.forwarders(own_zone, members),
            changes_since,
            is_full: now.since(self.started_at) < STARTUP_PERIOD,
        }
    }

    /// Returns the hosts that forward this round's update, some of each zone.
    fn forwarders(&self, own_zone: &str, members: &[Member<'_>]) -> Vec<HostId> {
        let own = Member {
            host: self.own,
            zone: own_zone,
            age: Some(Duration::ZERO),
            forwarding: Forwarding::Supported,
            processor_millis: self.processor_millis,
        };
        let mut zones: Map<&str, Vec<Member<'_>>> = Map::default();
        for member in members.iter().copied().chain([own]) {
            if member.forwarding != Forwarding::Unsupported {
                zones.entry(member.zone).or_default().push(member);
            }
        }

        zones.into_iter().flat_map(|(zone, hosts)| self.forwarders_of_zone(zone, &hosts)).collect()
    }

    fn forwarders_of_zone(&self, zone: &str, hosts: &[Member<'_>]) -> Vec<HostId> {
        let younger_than = |limit: Duration| -> Vec<Member<'_>> {
            let is_young = |m: &&Member<'_>| m.age.is_some_and(|age| age < limit);
            hosts.iter().filter(is_young).copied().collect()
        };
        // If all of them are silent, updates must pass as soon as the zone can be reached again.
        let candidates = [younger_than(FORWARDER_MAX_AGE), younger_than(MAX_AGE), hosts.to_vec()];
        let candidates = candidates.into_iter().find(|hosts| !hosts.is_empty());
        let mut order = candidates.unwrap_or_default();
        // A forwarder has several times the work of the other hosts.
        let item = stable_hash(&[zone.as_bytes()]);
        order.sort_unstable_by_key(|member| {
            Reverse((member.processor_millis, rendezvous_weight(item, member.host.0)))
        });
        order.truncate(FORWARDERS);

        let first = usize::try_from(self.sequence).unwrap_or(0) * COPIES;
        let copies = COPIES.min(order.len());
        (0..copies).map(|copy| order[(first + copy) % order.len()].host).collect()
    }

    /// Decides whether an update that its sender has sent to this host is new, and records it.
    pub fn record_direct(&mut self, now: Instant, host: HostId, stamp: Stamp) -> Freshness {
        self.record(now, host, stamp, false)
    }

    /// Decides whether an update that another host has forwarded is new, and records it.
    pub fn record_forwarded(&mut self, now: Instant, host: HostId, stamp: Stamp) -> Freshness {
        match host == self.own {
            true => Freshness::Old,
            false => self.record(now, host, stamp, true),
        }
    }

    /// Decides whether an update that its sender has sent to be forwarded is new, records it, and
    /// queues it for the other hosts of this host's zone. If another host has already forwarded it,
    /// the other hosts of the zone have it, too.
    pub fn record_for_zone(
        &mut self,
        now: Instant,
        host: HostId,
        stamp: Stamp,
        update: U,
    ) -> Freshness {
        let freshness = self.record(now, host, stamp, true);

        if freshness != Freshness::Old {
            self.queue.push(update);
        }
        freshness
    }

    /// Queues an update of this host, which forwards it itself.
    pub fn queue_own(&mut self, update: U) {
        self.queue.push(update);
    }

    fn record(
        &mut self,
        now: Instant,
        host: HostId,
        stamp: Stamp,
        is_forwarded: bool,
    ) -> Freshness {
        if stamp.sequence == 0 {
            return Freshness::New(Duration::ZERO);
        }
        let before = self.positions.get(&host).copied();
        if before.is_some_and(|before| before.run != stamp.run && before.has_replaced(now, stamp)) {
            return Freshness::Old;
        }
        let same_run = before.filter(|before| before.run == stamp.run);
        let is_old = same_run.is_some_and(|before| {
            stamp.sequence < before.sequence
                // The reply to a request has the number of the round before it.
                || (stamp.sequence == before.sequence && (is_forwarded || !stamp.is_full))
        });
        let offset = stamp.sent_at.map_or(i64::MAX, |sent_at| clock_offset(now, sent_at));
        let fastest = same_run.map_or(offset, |before| before.clock_offset.min(offset));
        let age = match stamp.sent_at {
            Some(_) => Duration::from_micros(offset.abs_diff(fastest)),
            None => Duration::ZERO,
        };
        if is_old || age > MAX_AGE {
            return Freshness::Old;
        }

        let is_gap = is_forwarded && !stamp.is_full;
        if is_gap && same_run.is_some_and(|before| stamp.changes_since > before.sequence) {
            self.want_all(host);
        }
        if stamp.is_full {
            self.incomplete.remove(&host);
        }
        let position = Position {
            run: stamp.run,
            sequence: stamp.sequence,
            started_ms: same_run.map_or(0, |before| before.started_ms).max(stamp.started_ms),
            recorded_at: now,
            clock_offset: fastest,
            previous_run: match same_run {
                Some(before) => before.previous_run,
                None => before.map(|before| before.run),
            },
        };
        self.positions.insert(host, position);

        Freshness::New(age)
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

    /// Takes the updates to forward.
    pub fn take_queue(&mut self) -> Vec<U> {
        std::mem::take(&mut self.queue)
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
