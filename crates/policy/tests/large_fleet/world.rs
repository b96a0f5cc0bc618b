//! A fleet in virtual time: hosts that exchange status updates and limit the rates of tenants, over
//! a network with delays, losses and partitions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::rates::{Admission, Baseline, Rates, TenantStatus};
use camphorwalk_policy::entry::status_exchange::{
    Forwarding, Freshness, Member, Merge, Round, Stamp, StatusExchange, UnsentChanges,
    direct_period, mean_delay, round_period,
};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// A host is live while its latest status is younger than this.
pub const LIVE_FOR: Duration = Duration::from_millis(700);

/// How often the hosts read the rows of all others.
const ROWS_PERIOD: Duration = Duration::from_secs(5);

/// The demand of tenants that changed.
#[derive(Clone, Default)]
struct Changes(Map<Box<str>, TenantStatus>);

impl Merge for Changes {
    fn merge(&mut self, later: Self) {
        self.0.extend(later.0);
    }

    fn into_repeatable(self) -> Self {
        self
    }
}

/// A status update.
struct Update {
    host: usize,
    stamp: Stamp,
    demand: Vec<(Box<str>, TenantStatus)>,
}

#[derive(Clone)]
enum Message {
    Direct(Rc<Update>),
    Forwarded(Rc<Vec<Rc<Update>>>),
    ForZone(Rc<Update>),
    Request,
}

/// A process on a host.
pub struct Process {
    run: u64,
    started_ms: u64,
    exchange: StatusExchange<Rc<Update>>,
    pub rates: Rates,
    unsent: UnsentChanges<Changes>,
    /// The time of the latest status of each host, and whether that host forwards updates.
    heard: Map<usize, (Instant, bool)>,
    /// The run and number of the last update of each host.
    last_applied: Map<usize, (u64, u64)>,
    stale: u64,
    far_sent_at: Instant,
    rows_read_at: Instant,
}

pub struct Host {
    pub zone: usize,
    pub processor_millis: u32,
    /// The number of messages that it has sent.
    pub sent: u64,
    pub process: Option<Process>,
    /// Whether it runs a build that neither numbers its updates nor forwards those of others.
    pub is_old_build: bool,
    /// A delay that is added to all messages of this host.
    pub slow: Duration,
    next_round: Instant,
}

pub struct World {
    pub now: Instant,
    pub hosts: Vec<Host>,
    pub tenants: Vec<TenantSpec>,
    /// A zone that is cut off from the others.
    pub cut_zone: Option<usize>,
    pub messages: u64,
    /// The number of updates that were applied after a newer one of the same host.
    pub stale: u64,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    on_the_way: Map<u64, (usize, usize, Message)>,
    next_message: u64,
    runs: u64,
    zones: Vec<String>,
}

pub fn id(host: usize) -> HostId {
    HostId(host as u64 + 1)
}

fn index(host: HostId) -> usize {
    host.0 as usize - 1
}

impl World {
    pub fn new(hosts: usize, zones: usize, tenants: Vec<TenantSpec>, seed: u64) -> Self {
        let mut world = Self {
            now: Instant::from_millis(1_000),
            hosts: (0..hosts)
                .map(|host| Host {
                    zone: host % zones,
                    // A fifth of the hosts are large.
                    processor_millis: if (host / zones).is_multiple_of(5) { 500 } else { 120 },
                    sent: 0,
                    process: None,
                    is_old_build: false,
                    slow: Duration::ZERO,
                    next_round: Instant(0),
                })
                .collect(),
            tenants,
            cut_zone: None,
            messages: 0,
            stale: 0,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            on_the_way: Map::default(),
            next_message: 0,
            runs: 0,
            zones: (0..zones).map(|zone| format!("zone-{zone}")).collect(),
        };
        (0..hosts).for_each(|host| world.start(host));
        world
    }

    pub fn start(&mut self, host: usize) {
        self.runs += 1;
        let mut rates = Rates::default();
        rates.configure(self.now, &self.tenants);
        self.hosts[host].process = Some(Process {
            run: self.runs,
            started_ms: self.now.0 / 1_000,
            exchange: StatusExchange::new(id(host), self.hosts[host].processor_millis, self.now),
            rates,
            unsent: UnsentChanges::default(),
            heard: Map::default(),
            last_applied: Map::default(),
            stale: 0,
            far_sent_at: Instant(0),
            rows_read_at: Instant(0),
        });
        let phase = self.rng.random_range(0..100_000);
        self.hosts[host].next_round = self.now + Duration::from_micros(phase);
    }

    pub fn configure(&mut self, tenants: Vec<TenantSpec>) {
        self.tenants = tenants;
        for host in self.hosts.iter_mut().filter_map(|host| host.process.as_mut()) {
            host.rates.configure(self.now, &self.tenants);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + Duration::from_millis(5);
            self.deliver();
            for host in 0..self.hosts.len() {
                let is_due =
                    self.hosts[host].process.is_some() && self.hosts[host].next_round <= self.now;
                if is_due {
                    self.round(host);
                }
            }
        }
    }

    /// Sends a call of a tenant to a host. Returns whether it is admitted.
    pub fn call(&mut self, host: usize, tenant: &str) -> bool {
        let now = self.now;
        let process = self.hosts[host].process.as_mut();

        process.is_some_and(|process| {
            process.rates.admit(now, tenant, false, Duration::ZERO) == Admission::Admitted
        })
    }

    /// Returns the hosts that `host` takes for live.
    pub fn live_for(&self, host: usize) -> Vec<usize> {
        let Some(process) = &self.hosts[host].process else { return Vec::new() };
        let live = process.heard.iter().filter(|(_, (at, _))| self.now.since(*at) < LIVE_FOR);

        live.map(|(host, _)| *host).collect()
    }

    fn round(&mut self, host: usize) {
        let (now, zone) = (self.now, self.hosts[host].zone);
        let others = self.hosts.len() - 1;
        let near = self.hosts.iter().filter(|other| other.zone == zone).count() - 1;
        let zones: Vec<usize> = self.hosts.iter().map(|host| host.zone).collect();
        let processors: Vec<u32> = self.hosts.iter().map(|h| h.processor_millis).collect();
        let is_old_build = self.hosts[host].is_old_build;
        let process = self.hosts[host].process.as_mut().unwrap();

        if now.since(process.rows_read_at) >= ROWS_PERIOD {
            process.rows_read_at = now;
            process.rates.set_peers((0..=others).filter(|h| *h != host).map(id).collect());
            process.rates.set_update_delay(mean_delay(near, others - near));
        }
        process.rates.tick(now);
        let members: Vec<Member<'_>> = (0..=others)
            .filter(|other| *other != host)
            .map(|other| {
                let heard = process.heard.get(&other);
                let forwarding = match heard {
                    None => Forwarding::Unknown,
                    Some((_, true)) => Forwarding::Supported,
                    Some((_, false)) => Forwarding::Unsupported,
                };
                let age = heard.map(|(at, _)| now.since(*at));
                Member {
                    host: id(other),
                    zone: &self.zones[zones[other]],
                    age,
                    forwarding,
                    processor_millis: processors[other],
                }
            })
            .collect();
        let mut round = process.exchange.begin_round(now, &self.zones[zone], &members);
        if is_old_build {
            // An old build updates all other hosts directly.
            round = Round::default();
            let is_far_due = now.since(process.far_sent_at) >= direct_period(others);
            if is_far_due {
                process.far_sent_at = now;
            }
            let due = members.iter().filter(|m| is_far_due || m.zone == self.zones[zone]);
            round.near = due.map(|member| member.host).collect();
        }
        drop(members);

        let changes = Changes(process.rates.take_updates(false).into_iter().collect());
        let changes = process.unsent.split(&round, changes);
        let (run, sequence, started_ms) = (process.run, round.sequence, process.started_ms);
        let update = |changes_since, is_full, demand: Vec<_>| {
            let sent_at = Some(now);
            let stamp = Stamp { run, sequence, changes_since, is_full, started_ms, sent_at };
            Rc::new(Update { host, stamp, demand })
        };
        let mut out = Vec::new();
        // Hosts that are updated directly get the demand of all tenants now and then. Here each of
        // these updates is a full one.
        let direct = update(0, true, process.rates.all_statuses());
        for to in round.near.iter().chain(&round.far) {
            out.push((index(*to), Message::Direct(Rc::clone(&direct))));
        }
        if !round.forwarders.is_empty() {
            let demand = match round.is_full {
                true => process.rates.all_statuses(),
                false => changes.forwarded.0.into_iter().collect(),
            };
            let update = update(round.changes_since, round.is_full, demand);
            for to in &round.forwarders {
                match *to == id(host) {
                    true => process.exchange.queue_own(Rc::clone(&update)),
                    false => out.push((index(*to), Message::ForZone(Rc::clone(&update)))),
                }
            }
        }
        let forwarded = process.exchange.take_queue();
        if !forwarded.is_empty() {
            let forwarded = Rc::new(forwarded);
            let near = (0..zones.len()).filter(|other| zones[*other] == zone && *other != host);
            out.extend(near.map(|to| (to, Message::Forwarded(Rc::clone(&forwarded)))));
        }
        for to in process.exchange.take_requests(now) {
            out.push((index(to), Message::Request));
        }

        for (to, message) in out {
            self.send(host, to, message);
        }
        let late = Duration::from_micros(self.rng.random_range(0..8_000));
        self.hosts[host].next_round = now + round_period(near, others - near) + late;
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let slow = self.hosts[from].slow;
        let delay = Duration::from_micros(self.rng.random_range(500..12_000)) + slow;
        self.messages += 1;
        self.hosts[from].sent += 1;
        self.next_message += 1;
        self.on_the_way.insert(self.next_message, (from, to, message));
        self.queue.push(Reverse(((self.now + delay).0, self.next_message)));
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let is_inside = |host: usize| Some(self.hosts[host].zone) == self.cut_zone;

        is_inside(a) != is_inside(b)
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied()
            && at <= self.now.0
        {
            self.queue.pop();
            let (from, to, message) = self.on_the_way.remove(&number).unwrap();
            if !self.is_cut(from, to) && self.hosts[to].process.is_some() {
                self.receive(from, to, message);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        let is_old_build = self.hosts[to].is_old_build;
        let process = self.hosts[to].process.as_mut().unwrap();
        self.stale += std::mem::take(&mut process.stale);

        match message {
            Message::Direct(update) => {
                let freshness = process.exchange.record_direct(now, id(from), update.stamp);
                if freshness != Freshness::Old {
                    process.apply(now, &update);
                }
            }
            Message::Forwarded(_) if is_old_build => {}
            Message::Forwarded(items) => {
                for update in items.iter() {
                    let Update { host, stamp, .. } = **update;
                    let freshness = process.exchange.record_forwarded(now, id(host), stamp);
                    if let Freshness::New(age) = freshness {
                        process.apply(now - age, update);
                    }
                }
            }
            Message::ForZone(_) if is_old_build => {}
            Message::ForZone(update) => {
                let (stamp, copy) = (update.stamp, Rc::clone(&update));
                let freshness = process.exchange.record_for_zone(now, id(from), stamp, copy);
                if let Freshness::New(age) = freshness {
                    process.apply(now - age, &update);
                }
            }
            Message::Request => {
                let stamp = Stamp {
                    run: process.run,
                    sequence: process.exchange.sequence(),
                    changes_since: 0,
                    is_full: true,
                    started_ms: 0,
                    sent_at: None,
                };
                let demand = process.rates.all_statuses();
                let update = Rc::new(Update { host: to, stamp, demand });
                self.send(to, from, Message::Direct(update));
            }
        }
    }
}

impl Process {
    fn apply(&mut self, sent_at: Instant, update: &Update) {
        let Update { host, stamp, demand } = update;
        let demand = demand.iter().cloned();
        let baseline =
            self.rates.apply_update(sent_at, id(*host), stamp.run, stamp.is_full, demand);

        self.heard.insert(*host, (sent_at, stamp.sequence > 0));
        let position = (stamp.run, stamp.sequence);
        let before = self.last_applied.insert(*host, position);
        self.stale += u64::from(before.is_some_and(|before| position < before));
        if baseline == Baseline::Missing && stamp.sequence > 0 {
            self.exchange.want_all(id(*host));
        }
    }
}
