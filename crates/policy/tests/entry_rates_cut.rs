//! Rates of tenants while hosts do not hear each other, and both sides admit calls.

use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::rates::{Admission, Rates, TenantStatus};

const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_SECOND: usize = 10;

const TENANT: &str = "easel";

/// Calls a second.
const RATE: f64 = 270.0;
const BURST: f64 = 270.0;

/// What the tenant usually sends, and what it sends at eight times that.
const USUAL: f64 = RATE / 1.6;
const HOT: f64 = 8.0 * USUAL;

const HOSTS: usize = 11;
/// The hosts of one zone.
const ZONE: [usize; 4] = [0, 1, 2, 3];

const WINDOW_SECONDS: usize = 5;

/// How long callers take to reach a host that has started.
const CALLERS_LAG: Duration = Duration::from_millis(300);

/// Returns the most calls that may be admitted in a window.
fn most() -> f64 {
    const OVERAGE: f64 = 1.1;
    const TOLERANCE: f64 = 20.0;

    (RATE * WINDOW_SECONDS as f64 + BURST) * OVERAGE + TOLERANCE
}

fn tenant() -> TenantSpec {
    TenantSpec { name: TENANT.into(), rate: Some(RATE), burst: BURST, rank: None }
}

fn id(host: usize) -> HostId {
    HostId(host as u64 + 1)
}

/// Takes what a tenant sends, in calls a second, and lets each host have its part of a tick's.
struct Callers {
    /// Calls that are due and have not come yet.
    due: f64,
    next: usize,
}

impl Callers {
    fn send(&mut self, per_second: f64, there: &[usize]) -> Vec<usize> {
        if there.is_empty() {
            return Vec::new();
        }
        self.due += per_second * TICK.as_secs_f64();
        let calls = self.due as usize;
        self.due -= calls as f64;
        self.next += calls;

        (self.next - calls..self.next).map(|call| there[call % there.len()]).collect()
    }
}

/// A process on a host; a host that is down has none.
struct Process {
    run: u64,
    began: Instant,
    rates: Rates,
    /// The runs of the other hosts that were told of all tenants.
    told_all: Vec<u64>,
}

/// Hosts that know each other by the store's rows, in step.
struct Fleet {
    now: Instant,
    hosts: Vec<Option<Process>>,
    runs: u64,
    /// The hosts on the far side of a cut.
    cut: Vec<usize>,
    /// Hosts that both sides still reach.
    between: Vec<usize>,
    near_callers: Callers,
    far_callers: Callers,
    /// The calls admitted in each tick.
    admitted: Vec<u32>,
}

impl Fleet {
    /// Returns a fleet in which the tenant has sent its usual for long.
    fn in_calm() -> Self {
        let callers = || Callers { due: 0.0, next: 0 };
        let mut fleet = Self {
            now: Instant::from_millis(1_000),
            hosts: (0..HOSTS).map(|_| None).collect(),
            runs: 0,
            cut: Vec::new(),
            between: Vec::new(),
            near_callers: callers(),
            far_callers: callers(),
            admitted: Vec::new(),
        };
        (0..HOSTS).for_each(|host| fleet.start(host));
        fleet.run(0.5, 0.0);
        fleet.run(20.0, USUAL);
        fleet
    }

    fn start(&mut self, host: usize) {
        let mut rates = Rates::default();
        rates.set_peers((0..HOSTS).map(id).filter(|other| *other != id(host)).collect());
        rates.configure(self.now, &[tenant()]);
        self.runs += 1;
        self.hosts[host] =
            Some(Process { run: self.runs, began: self.now, rates, told_all: Vec::new() });
    }

    fn stop(&mut self, host: usize) {
        self.hosts[host] = None;
    }

    /// Starts hosts again one after the other, each a second after it ended, while the tenant
    /// goes on.
    fn restart(&mut self, hosts: &[usize], per_second: f64) {
        for host in hosts {
            self.stop(*host);
            self.run(1.0, per_second);
            self.start(*host);
        }
    }

    /// Lets the tenant send so many calls a second for a time.
    fn run(&mut self, seconds: f64, per_second: f64) {
        let ticks = (seconds * TICKS_PER_SECOND as f64).round() as usize;

        for _ in 0..ticks {
            self.tick(per_second);
        }
    }

    fn tick(&mut self, per_second: f64) {
        let has_callers = |process: &Process| self.now.since(process.began) >= CALLERS_LAG;
        let is_up = |host: &usize| self.hosts[*host].as_ref().is_some_and(has_callers);
        // Callers of a zone reach its hosts, cut or not.
        let (far, near): (Vec<_>, Vec<_>) =
            (0..HOSTS).filter(is_up).partition(|host| ZONE.contains(host));
        let far_part = ZONE.len() as f64 / HOSTS as f64;
        let mut calls = self.far_callers.send(per_second * far_part, &far);
        calls.extend(self.near_callers.send(per_second * (1.0 - far_part), &near));

        let now = self.now;
        let mut admitted = 0;
        for host in calls {
            let process = self.hosts[host].as_mut().expect("callers reach hosts that are up");
            let admission = process.rates.admit(now, TENANT, false, Duration::ZERO);
            admitted += u32::from(admission == Admission::Admitted);
        }
        self.admitted.push(admitted);

        self.now = self.now + TICK;
        for process in self.hosts.iter_mut().flatten() {
            process.rates.tick(self.now);
        }
        (0..HOSTS).for_each(|from| self.tell(from));
    }

    fn tell(&mut self, from: usize) {
        let Some(mut teller) = self.hosts[from].take() else { return };
        let changes = teller.rates.take_updates(false);

        for to in 0..HOSTS {
            let is_between = self.between.contains(&from) || self.between.contains(&to);
            let is_cut = !is_between && self.cut.contains(&from) != self.cut.contains(&to);
            let Some(hearer) = self.hosts[to].as_mut().filter(|_| !is_cut) else { continue };
            let all = !teller.told_all.contains(&hearer.run);
            let news = match all {
                true => teller.rates.take_updates(true),
                false => changes.clone(),
            };
            hearer.rates.apply_update(self.now, id(from), teller.run, all, news);
            if all {
                teller.told_all.push(hearer.run);
            }
        }
        self.hosts[from] = Some(teller);
    }

    /// Returns the most calls that were admitted in one window.
    fn worst_window(&self) -> u32 {
        let windows = self.admitted.windows(WINDOW_SECONDS * TICKS_PER_SECOND);

        windows.map(|window| window.iter().sum()).max().expect("a window has passed")
    }
}

fn assert_within_rate(fleet: &Fleet) {
    let worst = fleet.worst_window();

    assert!(f64::from(worst) <= most(), "{worst} in a window, {} allowed", most());
}

#[test]
fn demand_that_grows_on_both_sides_of_a_cut_raises_no_side_s_share() {
    // Each side sees its own demand grow and the other's stand still. If each takes its share by
    // that, both shares together are more than the whole.
    let mut fleet = Fleet::in_calm();
    fleet.run(1.5, HOT);

    fleet.cut = ZONE.to_vec();
    fleet.run(12.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn hosts_that_hear_both_sides_of_a_cut_let_neither_take_their_share() {
    // They see what both sides admit, and refuse. If each side then admits their part of the rate
    // besides its own, it is admitted twice.
    let mut fleet = Fleet::in_calm();
    fleet.run(1.5, HOT);

    fleet.cut = ZONE.to_vec();
    fleet.between = vec![8, 9, 10];
    fleet.run(12.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn a_side_of_a_cut_believes_the_level_of_hosts_that_hear_both() {
    // Most hosts hear both sides. Shares alone leave their part to each side, and only their level
    // shows that it was admitted twice.
    let mut fleet = Fleet::in_calm();
    fleet.run(1.5, HOT);

    fleet.cut = ZONE.to_vec();
    fleet.between = (5..HOSTS).collect();
    fleet.run(12.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn a_full_bucket_is_not_spent_once_on_each_side_of_a_cut() {
    // All hosts know a full bucket. Before either side counts the other as silent, each may
    // spend it.
    let mut fleet = Fleet::in_calm();

    fleet.cut = ZONE.to_vec();
    fleet.run(0.5, USUAL);
    fleet.run(12.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn a_host_that_starts_beside_a_cut_leaves_the_far_side_its_share() {
    // It never heard the far side. If it takes the whole rate for its side, all calls that its
    // fellows refuse are admitted by it.
    let mut fleet = Fleet::in_calm();
    fleet.run(6.0, HOT);

    fleet.cut = ZONE.to_vec();
    fleet.run(1.0, HOT);
    fleet.restart(&ZONE, HOT);
    fleet.run(5.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn calls_that_a_process_admitted_behind_a_cut_count_after_it_started_again() {
    // The new process knows nothing of them, so nobody ever tells of them.
    let mut fleet = Fleet::in_calm();
    fleet.run(6.0, HOT);

    fleet.cut = ZONE.to_vec();
    fleet.run(4.0, HOT);
    ZONE.iter().for_each(|host| fleet.start(*host));
    fleet.run(0.2, HOT);
    fleet.cut = Vec::new();
    fleet.run(5.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn a_new_run_of_a_process_gives_back_nothing_of_what_the_run_before_admitted() {
    // A new process counts from zero, and tells of no tenant that had no call there yet. What the
    // process before it told last was taken for the new one's count, and filled every bucket.
    let mut rates = Rates::default();
    let now = Instant::from_millis(10_000);
    rates.configure(Instant(0), &[tenant()]);
    let told = |admitted| [(TENANT.into(), TenantStatus { admitted, ..TenantStatus::default() })];
    rates.apply_update(Instant::from_millis(100), HostId(2), 1, true, told(0));
    rates.apply_update(now, HostId(2), 1, false, told(200));
    let level = |rates: &Rates| rates.explain(TENANT).expect("it has a rate").level;
    let before = level(&rates);

    rates.apply_update(now, HostId(2), 2, true, []);
    rates.apply_update(now, HostId(2), 2, false, told(5));

    assert_eq!(before - level(&rates), 5.0);
}

#[test]
fn a_tenant_at_eight_times_its_usual_keeps_to_its_rate_over_a_cut_and_restarts() {
    // All at once, as in a release during a cut: the tenant begins before the cut, hosts on both
    // sides start again within it.
    let mut fleet = Fleet::in_calm();
    fleet.run(1.6, HOT);

    fleet.cut = ZONE.to_vec();
    fleet.run(1.1, HOT);
    fleet.restart(&[0, 4, 5], HOT);
    fleet.cut = Vec::new();
    fleet.restart(&[6, 7], HOT);
    fleet.run(3.0, HOT);

    assert_within_rate(&fleet);
}
