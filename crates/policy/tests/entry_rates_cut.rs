//! Rate limits during a network partition, while both sides admit calls.

use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::rates::{Admission, Rates, TenantStatus};

const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_SECOND: usize = 10;

const TENANT: &str = "easel";

/// The rate in calls per second.
const RATE: f64 = 270.0;
const BURST: f64 = 270.0;

/// The tenant's usual rate of calls, and eight times as much.
const USUAL: f64 = RATE / 1.6;
const HOT: f64 = 8.0 * USUAL;

const HOSTS: usize = 11;
/// The hosts of one zone.
const ZONE: [usize; 4] = [0, 1, 2, 3];

const WINDOW_SECONDS: usize = 5;

/// How long after a host has started its callers reach it.
const CALLERS_LAG: Duration = Duration::from_millis(300);

/// Returns the largest number of calls that may be admitted in a window.
fn max_admitted() -> f64 {
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

/// Distributes a tenant's calls over the hosts, tick by tick.
struct Callers {
    /// The number of calls that are due but not sent yet; may be fractional.
    due: f64,
    next: usize,
}

impl Callers {
    fn send(&mut self, per_second: f64, hosts: &[usize]) -> Vec<usize> {
        if hosts.is_empty() {
            return Vec::new();
        }
        self.due += per_second * TICK.as_secs_f64();
        let calls = self.due as usize;
        self.due -= calls as f64;
        self.next += calls;

        (self.next - calls..self.next).map(|call| hosts[call % hosts.len()]).collect()
    }
}

/// A process on a host; a host that is down has none.
struct Process {
    run: u64,
    began: Instant,
    rates: Rates,
    /// The process runs of other hosts that have received a full status update.
    fully_updated: Vec<u64>,
}

/// Hosts that know each other from the store's rows and tick at the same time.
struct Fleet {
    now: Instant,
    hosts: Vec<Option<Process>>,
    runs: u64,
    /// The hosts on one side of a network partition.
    partitioned: Vec<usize>,
    /// The hosts that both sides still reach.
    between: Vec<usize>,
    near_callers: Callers,
    far_callers: Callers,
    /// The number of calls admitted in each tick.
    admitted: Vec<u32>,
}

impl Fleet {
    /// Returns a fleet in which the tenant has long been sending at its usual rate.
    fn in_steady_state() -> Self {
        let callers = || Callers { due: 0.0, next: 0 };
        let mut fleet = Self {
            now: Instant::from_millis(1_000),
            hosts: (0..HOSTS).map(|_| None).collect(),
            runs: 0,
            partitioned: Vec::new(),
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
            Some(Process { run: self.runs, began: self.now, rates, fully_updated: Vec::new() });
    }

    fn stop(&mut self, host: usize) {
        self.hosts[host] = None;
    }

    /// Restarts hosts one after the other while the tenant keeps sending; each is down for a
    /// second.
    fn restart(&mut self, hosts: &[usize], per_second: f64) {
        for host in hosts {
            self.stop(*host);
            self.run(1.0, per_second);
            self.start(*host);
        }
    }

    /// Advances the time while the tenant sends `per_second` calls per second.
    fn run(&mut self, seconds: f64, per_second: f64) {
        let ticks = (seconds * TICKS_PER_SECOND as f64).round() as usize;

        for _ in 0..ticks {
            self.tick(per_second);
        }
    }

    fn tick(&mut self, per_second: f64) {
        let has_callers = |process: &Process| self.now.since(process.began) >= CALLERS_LAG;
        let is_up = |host: &usize| self.hosts[*host].as_ref().is_some_and(has_callers);
        // Callers in a zone reach its hosts even during a partition.
        let (far, near): (Vec<_>, Vec<_>) =
            (0..HOSTS).filter(is_up).partition(|host| ZONE.contains(host));
        let far_part = ZONE.len() as f64 / HOSTS as f64;
        let mut calls = self.far_callers.send(per_second * far_part, &far);
        calls.extend(self.near_callers.send(per_second * (1.0 - far_part), &near));

        let now = self.now;
        let mut admitted = 0;
        for host in calls {
            let process = self.hosts[host].as_mut().expect("callers only reach hosts that are up");
            let admission = process.rates.admit(now, TENANT, false, Duration::ZERO);
            admitted += u32::from(admission == Admission::Admitted);
        }
        self.admitted.push(admitted);

        self.now = self.now + TICK;
        for process in self.hosts.iter_mut().flatten() {
            process.rates.tick(self.now);
        }
        (0..HOSTS).for_each(|from| self.send_updates(from));
    }

    fn send_updates(&mut self, from: usize) {
        let Some(mut sender) = self.hosts[from].take() else { return };
        let changes = sender.rates.take_updates(false);

        for to in 0..HOSTS {
            let is_between = self.between.contains(&from) || self.between.contains(&to);
            let is_partitioned =
                !is_between && self.partitioned.contains(&from) != self.partitioned.contains(&to);
            let Some(receiver) = self.hosts[to].as_mut().filter(|_| !is_partitioned) else {
                continue;
            };
            let all = !sender.fully_updated.contains(&receiver.run);
            let updates = match all {
                true => sender.rates.take_updates(true),
                false => changes.clone(),
            };
            receiver.rates.apply_update(self.now, id(from), sender.run, all, updates);
            if all {
                sender.fully_updated.push(receiver.run);
            }
        }
        self.hosts[from] = Some(sender);
    }

    /// Returns the largest number of calls admitted in a window.
    fn worst_window(&self) -> u32 {
        let windows = self.admitted.windows(WINDOW_SECONDS * TICKS_PER_SECOND);

        windows.map(|window| window.iter().sum()).max().expect("at least one window has passed")
    }
}

fn assert_within_rate(fleet: &Fleet) {
    let worst = fleet.worst_window();

    assert!(f64::from(worst) <= max_admitted(), "{worst} in a window, {} allowed", max_admitted());
}

#[test]
fn growing_demand_raises_no_share_during_a_partition() {
    // Each side sees its own demand grow while its knowledge of the other side's is frozen. If each
    // recomputed its share from that, the shares would add up to more than the whole rate.
    let mut fleet = Fleet::in_steady_state();
    fleet.run(1.5, HOT);

    fleet.partitioned = ZONE.to_vec();
    fleet.run(12.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn neither_side_takes_the_share_of_hosts_that_reach_both() {
    // The hosts that reach both sides see that the rate is used up, and refuse calls. If each side
    // also admitted the share of these hosts, that share would be admitted twice.
    let mut fleet = Fleet::in_steady_state();
    fleet.run(1.5, HOT);

    fleet.partitioned = ZONE.to_vec();
    fleet.between = vec![8, 9, 10];
    fleet.run(12.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn each_side_adopts_the_level_of_hosts_that_reach_both() {
    // Most hosts reach both sides. By the shares alone, each side would admit the share of these
    // hosts; only their lower level shows that it was admitted twice.
    let mut fleet = Fleet::in_steady_state();
    fleet.run(1.5, HOT);

    fleet.partitioned = ZONE.to_vec();
    fleet.between = (5..HOSTS).collect();
    fleet.run(12.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn a_full_bucket_is_not_used_up_by_both_sides_of_a_partition() {
    // The bucket is full at all hosts. Until each side detects that the other is silent, each could
    // use up the whole bucket.
    let mut fleet = Fleet::in_steady_state();

    fleet.partitioned = ZONE.to_vec();
    fleet.run(0.5, USUAL);
    fleet.run(12.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn a_host_that_starts_during_a_partition_leaves_the_other_side_its_share() {
    // The host has never received status updates from the other side. If it admitted the whole rate
    // on its own side, it would admit all calls that its neighbours refuse.
    let mut fleet = Fleet::in_steady_state();
    fleet.run(6.0, HOT);

    fleet.partitioned = ZONE.to_vec();
    fleet.run(1.0, HOT);
    fleet.restart(&ZONE, HOT);
    fleet.run(5.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn calls_admitted_during_a_partition_count_after_a_restart() {
    // The new process does not know of these calls, so no host will ever report them.
    let mut fleet = Fleet::in_steady_state();
    fleet.run(6.0, HOT);

    fleet.partitioned = ZONE.to_vec();
    fleet.run(4.0, HOT);
    ZONE.iter().for_each(|host| fleet.start(*host));
    fleet.run(0.2, HOT);
    fleet.partitioned = Vec::new();
    fleet.run(5.0, HOT);

    assert_within_rate(&fleet);
}

#[test]
fn a_new_run_of_a_process_returns_no_tokens_of_the_previous_run() {
    // A new process counts from zero, and its status updates omit tenants without calls there. If
    // the last count of the previous run were taken as the new run's count, the difference would
    // refill the buckets of all hosts.
    let mut rates = Rates::default();
    let now = Instant::from_millis(10_000);
    rates.configure(Instant(0), &[tenant()]);
    let update = |admitted| [(TENANT.into(), TenantStatus { admitted, ..TenantStatus::default() })];
    rates.apply_update(Instant::from_millis(100), HostId(2), 1, true, update(0));
    rates.apply_update(now, HostId(2), 1, false, update(200));
    let level = |rates: &Rates| rates.explain(TENANT).expect("the tenant has a rate").level;
    let before = level(&rates);

    rates.apply_update(now, HostId(2), 2, true, []);
    rates.apply_update(now, HostId(2), 2, false, update(5));

    assert_eq!(before - level(&rates), 5.0);
}

#[test]
fn eight_times_the_usual_load_keeps_to_the_rate_over_a_partition_and_restarts() {
    // Combines the faults, as in a release during a partition: the tenant's load rises before the
    // partition, and hosts on both sides restart during it.
    let mut fleet = Fleet::in_steady_state();
    fleet.run(1.6, HOT);

    fleet.partitioned = ZONE.to_vec();
    fleet.run(1.1, HOT);
    fleet.restart(&[0, 4, 5], HOT);
    fleet.partitioned = Vec::new();
    fleet.restart(&[6, 7], HOT);
    fleet.run(3.0, HOT);

    assert_within_rate(&fleet);
}
