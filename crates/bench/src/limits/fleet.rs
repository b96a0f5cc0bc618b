//! A fleet of [`Slices`] in virtual time, with a network that loses, duplicates, delays and
//! reorders messages, clocks that run at different speeds, and a platform that grants columns. A
//! column is one slice of every tenant.
//!
//! After each step it asserts the invariants (the exact bucket, one user of each slice, one answer
//! to each take request), and panics if one is violated.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{HostId, TenantId, ZoneId};
use camphorwalk_core::messages::slices::SliceMessage;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::slices::{
    ColumnId, SliceAction, SliceEvent, SliceHost, SliceOptions, SliceTimes, Slices, TakeId,
    column_zones,
};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::checks::{Checks, DRIFT_PPM};

/// One millisecond of virtual time, in microseconds.
pub const MILLI: u64 = 1_000;

/// One second of virtual time, in microseconds.
pub const SECOND: u64 = 1_000 * MILLI;

/// How long the platform grants a column, and the margin for clock drift by which the owner ends
/// its use earlier.
const LEASE: u64 = 4 * SECOND;
const LEASE_MARGIN: u64 = 200 * MILLI;

/// The interval at which the platform renews leases and grants expired columns.
const PLATFORM_PERIOD: u64 = 500 * MILLI;

/// The faults and delays of the network.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// The fraction of messages that are lost.
    pub loss: f64,
    /// The fraction of messages that arrive twice.
    pub duplication: f64,
    /// The minimum and maximum delay, in microseconds.
    pub delay: (u64, u64),
}

impl Net {
    /// A network within a region.
    pub const HEALTHY: Self = Self { loss: 0.0, duplication: 0.0, delay: (300, 1_500) };

    /// A network with loss, duplicates and delays longer than every message timeout.
    pub const UNRELIABLE: Self = Self { loss: 0.2, duplication: 0.2, delay: (300, 400 * MILLI) };
}

/// The messages that hosts sent and received. Each message counts once for its sender and once for
/// its receiver, even if the network loses or duplicates it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of messages.
    pub messages: u64,
    /// The bytes of the encoded messages, without frames.
    pub bytes: u64,
}

/// A simulated host.
#[derive(Debug)]
pub struct Node {
    /// The id of the host.
    pub id: HostId,
    /// The messages that the host sent and received.
    pub traffic: Traffic,
    zone: ZoneId,
    /// `None` while the process is dead.
    slices: Option<Slices>,
    paused: bool,
    leaving: bool,
    /// Events that arrived while the process was paused.
    inbox: Vec<SliceEvent>,
    drift_ppm: i64,
    /// The reading of the host's clock at the start of the run.
    offset: u64,
    wake: u64,
}

/// The state of a column (one slice of every tenant) at the platform.
#[derive(Debug)]
struct Column {
    owner: Option<usize>,
    zone: ZoneId,
    until: u64,
    is_renewed: bool,
    /// Whether the column had an owner before.
    had_owner: bool,
}

/// Simulated hosts with their network and platform.
///
/// ```
/// use camphorwalk_bench::limits::{Fleet, SECOND, config};
/// let mut fleet = Fleet::new(config(&["a", "b"], 4, &[("ramps", 2.0, 5)]), 3, 1);
/// fleet.run(10 * SECOND);
/// fleet.take(0, "ramps");
/// fleet.run(SECOND);
/// assert_eq!(fleet.admitted_calls(), 1);
/// ```
#[derive(Debug)]
pub struct Fleet {
    /// The current time, in microseconds.
    pub now: u64,
    /// The state of the network.
    pub net: Net,
    /// The simulated hosts.
    pub nodes: Vec<Node>,
    /// The side of the network partition that each host is on.
    pub partition_side: Vec<u8>,
    /// Whether to assert after each step that no slice has two users.
    pub check_users: bool,
    /// The configuration in force.
    pub cfg: Arc<Config>,
    /// When calls were admitted, by tenant.
    pub admitted: BTreeMap<TenantId, Vec<u64>>,
    /// When calls were refused, by tenant.
    pub refused: BTreeMap<TenantId, Vec<u64>>,
    /// The number of events that hosts processed.
    pub steps: u64,
    host_indices: BTreeMap<HostId, usize>,
    rng: SmallRng,
    wakes: BTreeSet<(u64, usize)>,
    in_transit: BTreeMap<(u64, u64), (usize, HostId, SliceMessage)>,
    columns: Vec<Column>,
    next_platform_step: u64,
    last_number: u64,
    checks: Checks,
}

impl Fleet {
    /// Creates a fleet of `hosts` hosts, distributed over the zones of `cfg`.
    pub fn new(cfg: Arc<Config>, hosts: usize, seed: u64) -> Self {
        let zone = |i: usize| ZoneId::from_name(&cfg.fleet.zones[i % cfg.fleet.zones.len()].name);
        let node = |i: usize| Node {
            id: HostId::from_name(&format!("host-{i}")),
            traffic: Traffic::default(),
            zone: zone(i),
            slices: None,
            paused: false,
            leaving: false,
            inbox: vec![],
            drift_ppm: 0,
            offset: 1_000 * SECOND * (i as u64 + 1),
            wake: u64::MAX,
        };
        let column =
            |(_, zone)| Column { owner: None, zone, until: 0, is_renewed: true, had_owner: false };

        let mut fleet = Self {
            now: 0,
            net: Net::HEALTHY,
            nodes: (0..hosts).map(node).collect(),
            partition_side: vec![0; hosts],
            check_users: false,
            admitted: BTreeMap::new(),
            refused: BTreeMap::new(),
            host_indices: BTreeMap::new(),
            steps: 0,
            wakes: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
            in_transit: BTreeMap::new(),
            columns: column_zones(&cfg).into_iter().map(column).collect(),
            next_platform_step: 0,
            last_number: 0,
            checks: Checks::new(cfg.clone()),
            cfg,
        };

        fleet.host_indices = fleet.nodes.iter().enumerate().map(|(i, node)| (node.id, i)).collect();
        (0..hosts).for_each(|host| fleet.start(host));
        fleet.update_visible_hosts();
        fleet
    }

    /// Makes clocks run at different speeds, up to [`DRIFT_PPM`] off. Call it at the start.
    pub fn enable_clock_drift(&mut self) {
        for (host, node) in self.nodes.iter_mut().enumerate() {
            node.drift_ppm = [0, DRIFT_PPM, -DRIFT_PPM][host % 3];
        }
    }

    /// Starts the process of a host.
    pub fn start(&mut self, host: usize) {
        self.last_number += 1;
        let Node { id, zone, .. } = self.nodes[host];
        let times = SliceTimes::default();
        let options = SliceOptions { host: id, zone, session: self.last_number, times };

        self.nodes[host].slices = Some(Slices::new(options));
        self.step(host, SliceEvent::Config(self.cfg.clone()));
    }

    /// Kills the process of a host; its callers are gone.
    pub fn kill(&mut self, host: usize) {
        self.wake(host, u64::MAX);
        let node = &mut self.nodes[host];
        (node.slices, node.paused, node.leaving) = (None, false, false);
        node.inbox.clear();
        self.checks.discard_pending(host);
    }

    /// Starts the shutdown of a host: no host, including itself, lists it any more.
    pub fn leave(&mut self, host: usize) {
        self.nodes[host].leaving = true;
        self.update_visible_hosts();
    }

    /// Makes a host give up its columns, which are granted to other hosts at once.
    pub fn give_up_columns(&mut self, host: usize) {
        for column in 0..self.columns.len() {
            if self.columns[column].owner == Some(host) {
                self.move_column(column, false);
            }
        }

        self.next_platform_step = self.now;
    }

    /// Stops the process of a host, until [`Self::resume`].
    pub fn pause(&mut self, host: usize) {
        self.wake(host, u64::MAX);
        self.nodes[host].paused = self.nodes[host].slices.is_some();
    }

    /// Resumes the process of a host. It receives the configuration before the buffered events.
    pub fn resume(&mut self, host: usize) {
        self.nodes[host].paused = false;
        let inbox = std::mem::take(&mut self.nodes[host].inbox);
        self.step(host, SliceEvent::Config(self.cfg.clone()));
        inbox.into_iter().for_each(|event| self.step(host, event));
    }

    /// Sends a host the list of hosts that it can reach.
    pub fn set_visible_hosts(&mut self, host: usize, seen: impl Fn(usize) -> bool) {
        let stays = !self.nodes[host].leaving;
        let nodes = self.nodes.iter().enumerate();
        let all = nodes.filter(|(i, _)| (stays && *i == host) || seen(*i));
        let hosts = all.map(|(_, node)| SliceHost { host: node.id, zone: node.zone }).collect();
        self.step(host, SliceEvent::Hosts(hosts));
    }

    /// Sends each host the list of live hosts on its side of the network partition.
    pub fn update_visible_hosts(&mut self) {
        let side = self.partition_side.clone();
        let live: Vec<bool> =
            self.nodes.iter().map(|node| node.slices.is_some() && !node.leaving).collect();

        for host in 0..self.nodes.len() {
            self.set_visible_hosts(host, |other| side[other] == side[host] && live[other]);
        }
    }

    /// Publishes a new configuration to all hosts.
    pub fn configure(&mut self, cfg: Arc<Config>) {
        self.cfg = cfg.clone();
        self.checks.record_config(self.now, cfg);

        for host in 0..self.nodes.len() {
            self.step(host, SliceEvent::Config(self.cfg.clone()));
        }
    }

    /// Moves a column to another owner: the current one gives it up at once. If `abruptly` is set
    /// or the owner is paused, the owner keeps the column until its lease expires.
    pub fn move_column(&mut self, column: usize, abruptly: bool) {
        let lease = &mut self.columns[column];
        lease.is_renewed = false;

        if let Some(owner) = lease.owner
            && !abruptly
            && !self.nodes[owner].paused
        {
            (lease.owner, lease.until) = (None, self.now);
            self.step(owner, SliceEvent::Lost { column: ColumnId(column as u16) });
        }
    }

    /// Requests a token for a call that enters at a host, if the host's process runs.
    pub fn take(&mut self, host: usize, tenant: &str) {
        if self.nodes[host].paused || self.nodes[host].slices.is_none() {
            return;
        }

        self.last_number += 1;
        let (take, tenant) = (TakeId(self.last_number), TenantId::from_name(tenant));
        self.checks.record_call(take, host, tenant);
        self.step(host, SliceEvent::Take { take, tenant });
    }

    /// Advances virtual time by `span` microseconds.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;

        while let Some((at, job)) = self.next_job()
            && at <= end
        {
            self.now = self.now.max(at);
            self.do_job(job);
        }

        self.now = end;
    }

    /// Returns the number of calls admitted, of all tenants.
    pub fn admitted_calls(&self) -> u64 {
        self.admitted.values().map(|calls| calls.len() as u64).sum()
    }

    /// Returns the sum of the traffic of all hosts.
    pub fn traffic(&self) -> Traffic {
        let all = self.nodes.iter().map(|node| node.traffic);

        all.fold(Traffic::default(), |sum, part| Traffic {
            messages: sum.messages + part.messages,
            bytes: sum.bytes + part.bytes,
        })
    }

    /// Returns whether the process of a host exists, paused or not.
    pub fn is_running(&self, host: usize) -> bool {
        self.nodes[host].slices.is_some()
    }

    /// Asserts that each take request was answered; call it after all timeouts have passed.
    pub fn assert_all_answered(&self) {
        self.checks.assert_all_answered(|host| !self.nodes[host].paused);
    }

    /// Returns when tokens of each tenant were taken, including those whose answers were lost.
    pub fn taken(&self) -> &BTreeMap<TenantId, Vec<u64>> {
        &self.checks.taken
    }

    fn next_job(&self) -> Option<(u64, Job)> {
        let message = self.in_transit.keys().next().map(|key| (key.0, Job::Deliver(*key)));
        let wake = self.wakes.first().map(|(at, host)| (*at, Job::Wake(*host)));
        let platform = (self.next_platform_step, Job::Platform);

        message.into_iter().chain(wake).chain([platform]).min()
    }

    fn do_job(&mut self, job: Job) {
        match job {
            Job::Deliver(key) => {
                let (to, from, message) = self.in_transit.remove(&key).expect("queued");
                self.step(to, SliceEvent::Message { from, message });
            }
            Job::Wake(host) => self.step(host, SliceEvent::Wake),
            Job::Platform => self.grant_columns(),
        }
    }

    /// Renews columns, and grants each one that has expired to a random running host of its zone.
    fn grant_columns(&mut self) {
        self.next_platform_step = self.now + PLATFORM_PERIOD;

        for column in 0..self.columns.len() {
            let Column { owner, zone, until, is_renewed, .. } = self.columns[column];
            let runs = |host: usize| {
                let node = &self.nodes[host];
                node.slices.is_some() && !node.paused && !node.leaving
            };

            if let Some(owner) = owner.filter(|host| is_renewed && runs(*host) && self.now < until)
            {
                self.grant(column, owner, false);
            } else if until <= self.now {
                let zone = |host: &usize| self.nodes[*host].zone == zone && runs(*host);
                let hosts: Vec<usize> = (0..self.nodes.len()).filter(zone).collect();

                if !hosts.is_empty() {
                    let host = hosts[self.rng.random_range(0..hosts.len())];
                    self.grant(column, host, true);
                }
            }
        }
    }

    fn grant(&mut self, column: usize, host: usize, fresh: bool) {
        let until = self.now + LEASE;
        let until_at_host = Instant(self.clock(host).0 + LEASE - LEASE_MARGIN);
        let lease = &mut self.columns[column];
        let first = !std::mem::replace(&mut lease.had_owner, true);
        (lease.owner, lease.until, lease.is_renewed) = (Some(host), until, true);

        let (column, until) = (ColumnId(column as u16), until_at_host);
        let event = match first {
            true => SliceEvent::FirstOwned { column, until },
            false => SliceEvent::Owned { column, until, fresh },
        };
        self.step(host, event);
    }

    fn clock(&self, host: usize) -> Instant {
        let node = &self.nodes[host];
        let drift = self.now as i64 * node.drift_ppm / 1_000_000;

        Instant(node.offset + self.now.wrapping_add_signed(drift))
    }

    fn step(&mut self, host: usize, event: SliceEvent) {
        let now = self.clock(host);
        let node = &mut self.nodes[host];

        if node.paused {
            node.inbox.push(event);
            return;
        }

        let Some(slices) = &mut node.slices else { return };
        let mut out = Vec::new();
        slices.step(now, event.clone(), &mut out);
        self.steps += 1;

        let wait = slices.wake_at().map(|at| at.since(now).max(Duration::from_micros(100)));
        let wait = wait.map(|wait| wait.as_micros() as u64);
        self.wake(host, wait.map_or(u64::MAX, |wait| self.now + wait + wait / 100));

        for (tenant, admitted) in self.checks.record_actions(self.now, &event, &out) {
            let calls = if admitted { &mut self.admitted } else { &mut self.refused };
            calls.entry(tenant).or_default().push(self.now);
        }

        for action in out {
            if let SliceAction::Send { to, message } = action {
                self.send(host, to, message);
            }
        }

        if self.check_users {
            self.assert_one_user();
        }
    }

    /// Sets the time of a host's next wake-up.
    fn wake(&mut self, host: usize, at: u64) {
        let wake = std::mem::replace(&mut self.nodes[host].wake, at);
        self.wakes.remove(&(wake, host));

        if at < u64::MAX {
            self.wakes.insert((at, host));
        }
    }

    fn send(&mut self, from: usize, to: HostId, message: SliceMessage) {
        let Some(to) = self.host_indices.get(&to).copied() else { return };
        let copies = 1 + u32::from(self.rng.random_bool(self.net.duplication));

        for host in [from, to] {
            self.nodes[host].traffic.messages += 1;
            self.nodes[host].traffic.bytes += message.encoded_bytes() as u64;
        }

        for _ in 0..copies {
            if self.partition_side[from] != self.partition_side[to]
                || self.rng.random_bool(self.net.loss)
            {
                continue;
            }

            self.last_number += 1;
            let at = self.now + self.rng.random_range(self.net.delay.0..self.net.delay.1);
            self.in_transit
                .insert((at, self.last_number), (to, self.nodes[from].id, message.clone()));
        }
    }

    fn assert_one_user(&self) {
        let mut users = BTreeMap::new();

        for host in 0..self.nodes.len() {
            let Some(slices) = &self.nodes[host].slices else { continue };

            for slice in slices.usable_slices(self.clock(host)) {
                let other = users.insert(slice, host);
                assert!(other.is_none(), "{slice:?} used by {other:?} and {host} at {}", self.now);
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Job {
    Deliver((u64, u64)),
    Wake(usize),
    Platform,
}
