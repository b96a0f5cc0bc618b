//! New programs that are admitted by the projected demand of running ones.

use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::rates::{Admission, Rates, TenantStatus};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const HOSTS: usize = 12;
const STEP: Duration = Duration::from_millis(20);

/// How often the hosts send each other status updates, in steps.
const STEPS_PER_ROUND: u32 = 5;

/// How long a call takes, and how long callers wait at most before they retry.
const CALL_TIME: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The number of times that a caller retries a call.
const RETRIES: u32 = 2;

/// The calls of a program at the median and at the 90th percentile.
const MEDIAN_CALLS: f64 = 12.0;
const MANY_CALLS: f64 = 43.0;

const TENANT: &str = "easel";

/// A program whose calls follow each other.
struct Program {
    calls_left: u32,
    is_started: bool,
    retries_left: u32,
    /// When its next call is sent.
    at: Instant,
    /// The host at which the call waits for a token, and since when.
    waits: Option<(usize, Instant)>,
}

#[derive(Debug, Default)]
struct Outcomes {
    finished: u32,
    /// Programs of which a call was refused for good after they had started.
    failed: u32,
    refused_starts: u32,
    refused_calls: u32,
    /// Calls admitted in each step.
    admitted: Vec<u32>,
}

struct Fleet {
    now: Instant,
    steps: u32,
    /// The run of all processes.
    run: u64,
    hosts: Vec<Rates>,
    /// The hosts on one side of a network partition.
    partitioned: Vec<usize>,
    programs: Vec<Program>,
    /// Draws the programs, which are the same whatever becomes of them.
    arrivals: SmallRng,
    rng: SmallRng,
    outcomes: Outcomes,
}

fn id(host: usize) -> HostId {
    HostId(host as u64 + 1)
}

fn start_hosts(now: Instant, rate: f64, projects: bool) -> Vec<Rates> {
    let spec = TenantSpec { name: TENANT.into(), rate: Some(rate), burst: rate, rank: None };
    let host = |own| {
        let mut rates = Rates::with_projection(projects);
        rates.set_peers((0..HOSTS).filter(|other| *other != own).map(id).collect());
        rates.configure(now, std::slice::from_ref(&spec));
        rates
    };

    (0..HOSTS).map(host).collect()
}

impl Fleet {
    fn new(rate: f64, projects: bool, seed: u64) -> Self {
        let now = Instant::from_millis(1_000);

        Self {
            now,
            steps: 0,
            run: 1,
            hosts: start_hosts(now, rate, projects),
            partitioned: Vec::new(),
            programs: Vec::new(),
            arrivals: SmallRng::seed_from_u64(seed),
            rng: SmallRng::seed_from_u64(seed),
            outcomes: Outcomes::default(),
        }
    }

    /// Restarts all hosts, which are down for half a second.
    fn restart(&mut self, rate: f64) {
        let down = Duration::from_millis(500);
        self.now = self.now + down;
        let steps = down.div_duration_f64(STEP) as usize;
        self.outcomes.admitted.extend(std::iter::repeat_n(0, steps));
        self.hosts = start_hosts(self.now, rate, true);
        self.run += 1;
    }

    /// Advances the time while `per_second` programs arrive per second, with a median of
    /// `median_calls` calls.
    fn run(&mut self, seconds: f64, per_second: f64, median_calls: f64) {
        for _ in 0..(seconds / STEP.as_secs_f64()) as u32 {
            if self.arrivals.random_bool(per_second * STEP.as_secs_f64()) {
                let program = self.draw_program(median_calls);
                self.programs.push(program);
            }
            self.step();
        }
    }

    fn draw_program(&mut self, median_calls: f64) -> Program {
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12).map(|_| self.arrivals.random::<f64>()).sum::<f64>() - 6.0;
        let sigma = (MANY_CALLS / MEDIAN_CALLS).ln() / 1.28;
        let calls = (median_calls * (sigma * normal).exp()).round().max(1.0) as u32;

        Program {
            calls_left: calls,
            is_started: false,
            retries_left: RETRIES,
            at: self.now,
            waits: None,
        }
    }

    fn step(&mut self) {
        let mut programs = std::mem::take(&mut self.programs);
        self.outcomes.admitted.push(0);
        programs.retain_mut(|program| program.at > self.now || self.send_call(program));
        self.programs = programs;

        self.now = self.now + STEP;
        self.steps += 1;
        if self.steps.is_multiple_of(STEPS_PER_ROUND) {
            self.exchange_updates();
        }
    }

    /// Sends a program's next call. Returns whether the program goes on.
    fn send_call(&mut self, program: &mut Program) -> bool {
        let any = self.rng.random_range(0..HOSTS);
        let (host, since) = program.waits.take().unwrap_or((any, self.now));
        let (now, is_new) = (self.now, !program.is_started);

        match self.hosts[host].admit(now, TENANT, is_new, now.since(since)) {
            Admission::Admitted => {
                *self.outcomes.admitted.last_mut().unwrap() += 1;
                program.is_started = true;
                program.retries_left = RETRIES;
                program.calls_left -= 1;
                program.at = now + CALL_TIME;
                self.outcomes.finished += u32::from(program.calls_left == 0);
                program.calls_left > 0
            }
            Admission::Wait(after) => {
                program.waits = Some((host, since));
                program.at = now + after;
                true
            }
            Admission::Refused(after) => {
                match is_new {
                    true => self.outcomes.refused_starts += 1,
                    false => self.outcomes.refused_calls += 1,
                }
                program.at = now + after.min(MAX_RETRY_DELAY);
                let goes_on = program.retries_left > 0;
                program.retries_left = program.retries_left.saturating_sub(1);
                self.outcomes.failed += u32::from(!goes_on && program.is_started);
                goes_on
            }
        }
    }

    fn exchange_updates(&mut self) {
        self.hosts.iter_mut().for_each(|host| host.tick(self.now));
        for from in 0..HOSTS {
            let updates = self.hosts[from].take_updates(true);
            let is_reached = |to: &usize| {
                *to != from && self.partitioned.contains(&from) == self.partitioned.contains(to)
            };
            for to in (0..HOSTS).filter(is_reached) {
                self.hosts[to].apply_update(self.now, id(from), self.run, true, updates.clone());
            }
        }
    }
}

/// Returns the tenant's outcomes under a load of one and a half times its rate.
fn outcomes(rate: f64, projects: bool, seed: u64) -> Outcomes {
    /// The calls of a program on average, which long programs make more than the median.
    const MEAN_CALLS: f64 = 19.0;
    let mut fleet = Fleet::new(rate, projects, seed);
    fleet.run(3.0, 0.0, MEDIAN_CALLS);
    fleet.run(120.0, 1.5 * rate / MEAN_CALLS, MEDIAN_CALLS);

    fleet.outcomes
}

#[test]
fn small_tenants_are_refused_starts_instead_of_calls_of_running_programs() {
    // Guards against starting programs whose later calls exceed the rate, and against reserving so
    // much that fewer programs finish.
    let sum = |projects| {
        let runs = [8.0, 16.0, 24.0].into_iter().flat_map(|rate| (1..=3).map(move |s| (rate, s)));
        runs.map(|(rate, seed)| outcomes(rate, projects, seed))
            .fold((0, 0), |sum, o| (sum.0 + o.refused_calls, sum.1 + o.finished))
    };

    let (refused_before, finished_before) = sum(false);
    let (refused, finished) = sum(true);

    assert!(refused * 2 < refused_before, "{refused} calls refused, {refused_before} without");
    assert!(finished >= finished_before, "{finished} programs, {finished_before} without");
}

/// Returns how many of 12 programs are started while a large tenant uses four fifths of its rate and
/// has about a tenth of its burst left.
fn starts_of_a_large_tenant(projects: bool) -> usize {
    const CALLS_PER_START: u32 = 10;
    let mut rates = Rates::with_projection(projects);
    rates.configure(
        Instant(0),
        &[TenantSpec { name: TENANT.into(), rate: Some(300.0), burst: 300.0, rank: None }],
    );
    let mut now = Instant(0);
    let mut run = |rates: &mut Rates, calls: u32| {
        let starts = |call: &u32| {
            now = now + Duration::from_secs_f64(1.0 / 243.0);
            let is_new = call.is_multiple_of(CALLS_PER_START);
            rates.admit(now, TENANT, is_new, Duration::ZERO) == Admission::Admitted && is_new
        };
        let started = (1..=calls).filter(starts).count();
        (started, now)
    };

    let (_, now) = run(&mut rates, 300);
    let status = TenantStatus { level: 30.0, ..TenantStatus::default() };
    rates.apply_update(now, id(1), 1, true, [(TENANT.into(), status)]);

    run(&mut rates, 12 * CALLS_PER_START).0
}

#[test]
fn a_large_tenant_within_its_rate_starts_programs_with_few_tokens_left() {
    // Guards against a reserve by the size of the burst, which refuses programs that the refill
    // covers.
    assert_eq!(starts_of_a_large_tenant(true), 12);
    assert_eq!(starts_of_a_large_tenant(false), 0);
}

#[test]
fn a_change_of_the_programs_is_followed_within_ten_seconds() {
    // Guards against a reserve for the programs that a tenant had earlier.
    let mut fleet = Fleet::new(300.0, true, 7);
    let calls_per_program = |fleet: &Fleet| {
        let state = fleet.hosts[0].explain(TENANT).unwrap().projection.unwrap();
        state.pace * state.horizon
    };
    fleet.run(2.0, 0.0, 6.0);
    let initial = calls_per_program(&fleet);

    fleet.run(20.0, 15.0, 3.0);
    let short = calls_per_program(&fleet);
    fleet.run(10.0, 15.0, 12.0);
    let long = calls_per_program(&fleet);

    assert!((initial - 10.0).abs() < 1e-6, "{initial}");
    assert!((3.0..7.0).contains(&short), "{short}");
    assert!((12.0..30.0).contains(&long), "{long}");
}

#[test]
fn calls_of_hosts_that_report_no_programs_change_no_estimate() {
    // Guards against taking the programs of hosts of an earlier build for endless ones.
    let mut rates = Rates::with_projection(true);
    rates.set_peers(vec![id(1)]);
    rates.configure(
        Instant(0),
        &[TenantSpec { name: TENANT.into(), rate: Some(100.0), burst: 100.0, rank: None }],
    );
    let update = |admitted| {
        let status = TenantStatus { admitted, level: 50.0, ..TenantStatus::default() };
        [(TENANT.into(), status)]
    };
    rates.apply_update(Instant::from_millis(100), id(1), 1, true, update(0));
    rates.apply_update(Instant::from_millis(200), id(1), 1, true, update(40));

    let state = rates.explain(TENANT).unwrap().projection.unwrap();

    assert!(state.demand > 30.0, "{state:?}");
    assert_eq!((state.pace, state.horizon), (5.0, 2.0));
}

#[test]
fn a_program_that_is_withdrawn_is_not_projected() {
    // Guards against a reserve for programs that were refused a place after they had got a token.
    let mut rates = Rates::with_projection(true);
    rates.configure(
        Instant(0),
        &[TenantSpec { name: TENANT.into(), rate: Some(100.0), burst: 100.0, rank: None }],
    );
    let before = rates.explain(TENANT);

    rates.admit(Instant(0), TENANT, true, Duration::ZERO);
    rates.refund(TENANT);
    rates.withdraw_program(TENANT);

    assert_eq!(rates.explain(TENANT), before);
}

#[test]
fn rate_and_burst_hold_beside_a_partition_and_over_a_restart() {
    // Guards against programs that are admitted by a projection although the level, which includes
    // what other hosts may have admitted, does not allow it.
    const RATE: f64 = 60.0;
    const WINDOW_SECONDS: f64 = 5.0;
    for seed in 1..=6 {
        let mut fleet = Fleet::new(RATE, true, seed);
        let load = RATE / 10.0 * f64::from(seed as u32 % 3 + 1);
        fleet.run(5.0, load, MEDIAN_CALLS);

        fleet.partitioned = (0..HOSTS / 3).collect();
        fleet.run(4.0, load, MEDIAN_CALLS);
        if seed % 2 == 0 {
            fleet.restart(RATE);
        }
        fleet.run(3.0, load, MEDIAN_CALLS);
        fleet.partitioned = Vec::new();
        fleet.run(5.0, load, MEDIAN_CALLS);

        let steps = (WINDOW_SECONDS / STEP.as_secs_f64()) as usize;
        let windows = fleet.outcomes.admitted.windows(steps);
        let most = windows.map(|window| window.iter().sum::<u32>()).max().unwrap();
        let allowed = (RATE * WINDOW_SECONDS + RATE) * 1.1 + 20.0;
        assert!(f64::from(most) <= allowed, "seed {seed}: {most}, {allowed} allowed");
    }
}

#[test]
fn programs_that_start_at_once_count_before_their_calls_arrive() {
    // Guards against starting many programs at once because the calls of none have been seen yet.
    let mut rates = Rates::with_projection(true);
    rates.configure(
        Instant(0),
        &[TenantSpec { name: TENANT.into(), rate: Some(16.0), burst: 16.0, rank: None }],
    );
    let now = Instant::from_millis(5_000);

    let start = || rates.admit(now, TENANT, true, Duration::ZERO) == Admission::Admitted;
    let started = std::iter::repeat_with(start).take(10).filter(|started| *started).count();

    assert!((2..=6).contains(&started), "{started} of 10");
}
