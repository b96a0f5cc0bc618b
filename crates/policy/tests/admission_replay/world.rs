//! Hosts, engines and callers in virtual time, with more programs than engines can run.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState, TenantSpec};
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::admission::{ProgramHash, Refusal, RefusedProgram, StartAdmission};
use camphorwalk_policy::entry::placement::{Choice, Outcome, PlacementRequest, TargetKey, Targets};
use camphorwalk_policy::entry::rates::Rates;
use camphorwalk_policy::entry::waiting::{Urgency, WaitQueue, WaiterId};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const SERVICE: &str = "engines";
const ZONES: u64 = 3;
const HOSTS_PER_ZONE: u64 = 8;
const HOSTS: u64 = ZONES * HOSTS_PER_ZONE;
const ENGINES: usize = 44;
const SLOTS: u32 = 6;
const STEP: Duration = Duration::from_millis(10);

/// The period of status updates, in steps.
const UPDATE_PERIOD: u64 = 12;

/// The time of a program until its deadline. Its turns and tools take about 1.5 s when engines are
/// idle.
const PROGRAM_TIME: Duration = Duration::from_millis(3_000);

/// How often a caller sends a call that is refused again.
const RETRIES: u32 = 2;

/// The number of tenants, of which the first one sends the excess.
pub const TENANTS: usize = 78;

/// Programs that arrive per second: of the first rank by all tenants, and of the second rank by the
/// first tenant and by all others.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub first_rank: f64,
    pub large_tenant: f64,
    pub others: f64,
}

/// The programs of one kind that arrived within the measured time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub arrived: u32,
    /// Those that were refused until their caller gave up.
    pub given_up: u32,
    pub in_time: u32,
    pub late: u32,
}

impl Tally {
    pub fn refused(&self) -> f64 {
        f64::from(self.given_up) / f64::from(self.arrived.max(1))
    }

    pub fn served(&self) -> f64 {
        1.0 - self.refused()
    }

    pub fn started(&self) -> u32 {
        self.arrived - self.given_up
    }

    pub fn plus(self, other: Self) -> Self {
        Self {
            arrived: self.arrived + other.arrived,
            given_up: self.given_up + other.given_up,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    FirstRank,
    LargeTenant,
    Others,
}

#[derive(Clone, Copy, Debug)]
struct Program {
    kind: Kind,
    tenant: usize,
    arrived_at: Instant,
    turns_left: u32,
    is_started: bool,
    retries: u32,
    zone: u64,
    is_measured: bool,
}

impl Program {
    fn rank(&self) -> u32 {
        u32::from(self.kind != Kind::FirstRank)
    }

    fn deadline(&self) -> Instant {
        self.arrived_at + PROGRAM_TIME
    }
}

/// A call that runs or waits at an engine.
#[derive(Clone, Copy, Debug)]
struct Running {
    program: u64,
    host: usize,
    key: TargetKey,
}

struct Engine {
    waiting: VecDeque<Running>,
    running: Vec<(Instant, Running)>,
}

struct Host {
    targets: Targets,
    rates: Rates,
    admission: StartAdmission,
    queue: WaitQueue,
    waiting: BTreeMap<WaiterId, (u64, PlacementRequest)>,
}

pub struct World {
    pub now: Instant,
    step: u64,
    rng: SmallRng,
    /// Whether new programs are subject to admission control.
    fair: bool,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    programs: BTreeMap<u64, Program>,
    /// The next call of each program that is between two calls.
    due: BTreeMap<(Instant, u64), usize>,
    next_program: u64,
    next_waiter: u64,
    /// Fractions of programs that are yet to arrive.
    credit: [f64; 3],
    pub tallies: BTreeMap<Kind, Tally>,
    pub measures: bool,
    /// The times at which refused programs were told to return.
    pub told: Vec<Instant>,
}

fn engine_id(engine: usize) -> Box<str> {
    format!("engine-{engine}").into()
}

fn zone_of(host: usize) -> u64 {
    host as u64 / HOSTS_PER_ZONE
}

pub fn tenant_name(tenant: usize) -> Box<str> {
    format!("tenant-{tenant}").into()
}

fn tenants() -> Vec<TenantSpec> {
    // Of all programs at the usual load, a ninth are those of the first tenant.
    let rate = |tenant| if tenant == 0 { 300.0 } else { 31.0 };
    let spec = |tenant| TenantSpec {
        name: tenant_name(tenant),
        // The rates do not limit anything here.
        rate: Some(rate(tenant) * 100.0),
        burst: rate(tenant) * 100.0,
        rank: None,
    };

    (0..TENANTS).map(spec).collect()
}

impl World {
    pub fn new(fair: bool, seed: u64) -> Self {
        let now = Instant::from_millis(10_000);
        let ids: Vec<_> = (0..HOSTS).map(HostId).collect();
        let host = |own: &HostId| {
            let zone = format!("zone-{}", own.0 / HOSTS_PER_ZONE);
            let mut targets = Targets::new(&zone, *own);
            for engine in 0..ENGINES {
                targets.put(TargetEntry {
                    id: engine_id(engine),
                    service: SERVICE.into(),
                    address: ([127, 0, 0, 1], 80).into(),
                    zone: format!("zone-{}", engine as u64 % ZONES).into(),
                    version: None,
                    slots: SLOTS,
                    state: TargetState::Ready,
                    born: 1,
                    cold_for: Duration::ZERO,
                });
            }
            let mut rates = Rates::default();
            rates.set_peers(ids.iter().copied().filter(|other| other != own).collect());
            rates.configure(now, &tenants());
            Host {
                targets,
                rates,
                admission: StartAdmission::default(),
                queue: WaitQueue::default(),
                waiting: BTreeMap::new(),
            }
        };

        Self {
            now,
            step: 0,
            rng: SmallRng::seed_from_u64(seed),
            fair,
            hosts: ids.iter().map(host).collect(),
            engines: (0..ENGINES)
                .map(|_| Engine { waiting: VecDeque::new(), running: Vec::new() })
                .collect(),
            programs: BTreeMap::new(),
            due: BTreeMap::new(),
            next_program: 0,
            next_waiter: 0,
            credit: [0.0; 3],
            tallies: BTreeMap::new(),
            measures: false,
            told: Vec::new(),
        }
    }

    pub fn tally(&self, kind: Kind) -> Tally {
        self.tallies.get(&kind).copied().unwrap_or_default()
    }

    pub fn run(&mut self, time: Duration, load: Load) {
        let end = self.now + time;

        while self.now < end {
            self.now = self.now + STEP;
            self.step += 1;
            self.begin_programs(load);
            self.end_calls();
            self.send_due_calls();
            (0..self.hosts.len()).for_each(|host| self.assign_places(host));
            self.exchange_updates();
        }
    }

    fn begin_programs(&mut self, load: Load) {
        let kinds = [
            (Kind::FirstRank, load.first_rank),
            (Kind::LargeTenant, load.large_tenant),
            (Kind::Others, load.others),
        ];
        for (i, (kind, per_second)) in kinds.into_iter().enumerate() {
            // Programs arrive at random moments.
            self.credit[i] += per_second * STEP.as_secs_f64() * self.rng.random_range(0.0..2.0);
            while self.credit[i] >= 1.0 {
                self.credit[i] -= 1.0;
                let tenant = match kind {
                    Kind::LargeTenant => 0,
                    Kind::FirstRank | Kind::Others => self.rng.random_range(1..TENANTS),
                };
                let host = self.rng.random_range(0..self.hosts.len());
                let id = self.next_program;
                self.next_program += 1;
                let program = Program {
                    kind,
                    tenant,
                    arrived_at: self.now,
                    turns_left: self.rng.random_range(4..=8),
                    is_started: false,
                    retries: 0,
                    zone: zone_of(host),
                    is_measured: self.measures,
                };
                self.programs.insert(id, program);
                self.due.insert((self.now, id), host);
                if self.measures {
                    self.tallies.entry(kind).or_default().arrived += 1;
                }
            }
        }
    }

    fn send_due_calls(&mut self) {
        while let Some(((at, id), host)) = self.due.first_key_value().map(|(k, v)| (*k, *v)) {
            if at > self.now {
                return;
            }
            self.due.remove(&(at, id));
            self.send_call(id, host);
        }
    }

    fn send_call(&mut self, id: u64, host_index: usize) {
        let program = self.programs[&id];
        let now = self.now;
        let tenant = tenant_name(program.tenant);
        let hash = ProgramHash::new(&tenant, &id.to_string());
        let host = &mut self.hosts[host_index];
        host.rates.admit(now, &tenant, !program.is_started, Duration::ZERO);
        let is_late = now >= program.deadline();
        let mut request = PlacementRequest {
            parts: vec![(u64::from(program.rank()), 512), (1_000 + id, 600)],
            seed: id,
            ..PlacementRequest::default()
        };

        if program.is_started {
            if self.fair {
                host.admission.record_turn(SERVICE, is_late);
            }
            self.queue_call(id, host_index, request, is_late);
            return;
        }

        let rank = program.rank();
        let tenant_use = host.rates.tenant_use(&tenant);
        request.new_program_rank = Some(rank);
        if self.fair {
            let terms = host.admission.terms(now, SERVICE, tenant_use, Some(hash));
            request.start_limits = Some(terms.limits(rank));
        }
        let choice = host.targets.choose(now, SERVICE, &request);
        if choice == Choice::Full {
            host.rates.refund(&tenant);
            let refusal = Refusal {
                program: Some(hash),
                rank,
                time_left: Some(program.deadline().since(now)),
                random: self.rng.random(),
            };
            let usual = Duration::from_millis(250).mul_f64(self.rng.random_range(0.7..1.3));
            let host = &mut self.hosts[host_index];
            let after = match self.fair {
                true => host.admission.refuse(now, tenant_use, refusal),
                false => usual,
            };
            self.retry(id, after);
            return;
        }
        host.admission.record_start(now);
        if let Some(program) = self.programs.get_mut(&id) {
            program.is_started = true;
        }
        if let Choice::Target(key) = choice {
            self.place(id, host_index, key, &request);
        }
    }

    /// Lets a caller return to another host of its zone, or give up.
    fn retry(&mut self, id: u64, after: Duration) {
        let (now, measures) = (self.now, self.measures);
        let host = self.rng.random_range(0..HOSTS_PER_ZONE);
        let Some(program) = self.programs.get_mut(&id) else { return };
        let tally = self.tallies.entry(program.kind).or_default();
        if program.retries >= RETRIES || now >= program.deadline() {
            tally.given_up += u32::from(program.is_measured);
            self.programs.remove(&id);
            return;
        }

        program.retries += 1;
        if measures {
            self.told.push(now + after);
        }
        let after = after.min(program.deadline().since(now) / 3);
        let host = usize::try_from(program.zone * HOSTS_PER_ZONE + host).unwrap();
        self.due.insert((now + after, id), host);
    }

    fn queue_call(&mut self, id: u64, host: usize, request: PlacementRequest, is_late: bool) {
        let program = self.programs[&id];
        let waiter = WaiterId(self.next_waiter);
        self.next_waiter += 1;
        let urgency =
            Urgency { is_late, is_new: false, rank: program.rank(), deadline: program.deadline() };

        self.hosts[host].queue.push(SERVICE, urgency, waiter);
        self.hosts[host].waiting.insert(waiter, (id, request));
    }

    fn assign_places(&mut self, index: usize) {
        loop {
            let host = &mut self.hosts[index];
            let Some((urgency, waiter)) = host.queue.next(SERVICE, None) else { return };
            let (id, request) = host.waiting[&waiter].clone();
            let Choice::Target(key) = host.targets.choose(self.now, SERVICE, &request) else {
                return;
            };
            host.queue.remove(SERVICE, urgency, waiter);
            host.waiting.remove(&waiter);
            self.place(id, index, key, &request);
        }
    }

    fn place(&mut self, id: u64, host: usize, key: TargetKey, request: &PlacementRequest) {
        let targets = &mut self.hosts[host].targets;
        targets.record_sent(key, request);
        let name = &targets.get(key).unwrap().entry.id;
        let engine: usize = name.rsplit('-').next().unwrap().parse().unwrap();

        self.engines[engine].waiting.push_back(Running { program: id, host, key });
        self.begin_calls(engine);
    }

    fn begin_calls(&mut self, engine: usize) {
        let engine = &mut self.engines[engine];

        while engine.running.len() < SLOTS as usize {
            let Some(call) = engine.waiting.pop_front() else { return };
            // A turn takes 230 ms at a load of 4.4, and 300 ms with all slots in use.
            let load = engine.running.len() as f64 + 1.0;
            let took = (50.0 + 41.0 * load) * self.rng.random_range(0.6..1.4);
            engine.running.push((self.now + Duration::from_secs_f64(took / 1_000.0), call));
        }
    }

    fn end_calls(&mut self) {
        for engine in 0..self.engines.len() {
            let now = self.now;
            let running = std::mem::take(&mut self.engines[engine].running);
            let (ended, running) = running.into_iter().partition(|(end, _)| *end <= now);
            self.engines[engine].running = running;
            ended.into_iter().for_each(|(_, call)| self.end_call(call));
            self.begin_calls(engine);
        }
    }

    fn end_call(&mut self, call: Running) {
        let held = Duration::from_millis(200);
        let targets = &mut self.hosts[call.host].targets;
        targets.record_outcome(self.now, call.key, Outcome::Answered(held));
        let Some(program) = self.programs.get_mut(&call.program) else { return };
        program.turns_left -= 1;

        if program.turns_left == 0 {
            if program.is_measured {
                let tally = self.tallies.entry(program.kind).or_default();
                let is_late = self.now > program.deadline();
                tally.late += u32::from(is_late);
                tally.in_time += u32::from(!is_late);
            }
            self.programs.remove(&call.program);
            return;
        }
        let tool = Duration::from_millis(self.rng.random_range(50..250));
        let host = self.rng.random_range(0..HOSTS_PER_ZONE) + program.zone * HOSTS_PER_ZONE;
        self.due.insert((self.now + tool, call.program), usize::try_from(host).unwrap());
    }

    /// Sends the status updates that are due: each host has a phase of its own.
    fn exchange_updates(&mut self) {
        for from in 0..self.hosts.len() {
            if (self.step + from as u64).is_multiple_of(UPDATE_PERIOD) {
                self.send_updates(from);
            }
        }
    }

    fn send_updates(&mut self, from: usize) {
        let now = self.now;
        let host = &mut self.hosts[from];
        host.rates.tick(now);
        host.admission.tick(now);
        let all = self.step.is_multiple_of(10 * UPDATE_PERIOD) || self.step <= UPDATE_PERIOD;
        let statuses = host.rates.take_updates(all);
        let changes = host.admission.take_changes(now);
        let in_flight: Map<Box<str>, u32> =
            host.targets.in_flight().map(|(id, calls)| (id.into(), calls)).collect();
        let waiting = u32::try_from(host.queue.len(SERVICE)).unwrap();
        let waiting = Map::from_iter([(Box::from(SERVICE), waiting)]);
        let reports: Vec<_> = changes.refused.iter().map(|r| r.to_report(now)).collect();

        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            let id = HostId(from as u64);
            let host = &mut self.hosts[to];
            host.rates.apply_update(now, id, 1, all, statuses.clone());
            host.targets.set_remote_load(id, in_flight.clone(), waiting.clone());
            for (service, counts) in &changes.turns {
                host.admission.record_remote_turns(service, *counts);
            }
            if zone_of(to) == zone_of(from) {
                for report in &reports {
                    let refused = RefusedProgram::from_report(*report, now);
                    host.admission.record_remote_refusal(now, refused);
                }
            }
        }
    }
}
