//! Rates of a process that has estimated the calls of a host and then hears it for the first time.

use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::rates::{Admission, Rates, TenantStatus, UNKNOWN_LEVEL};

const TENANT: &str = "easel";
const RATE: f64 = 100.0;
const OTHER: HostId = HostId(2);

/// Returns a host that has started at time 0 and not heard the only other one until `now`.
fn alone_until(now: Instant) -> Rates {
    let mut rates = Rates::default();
    rates.set_peers(vec![OTHER]);
    rates.configure(
        Instant(0),
        &[TenantSpec { name: TENANT.into(), rate: Some(RATE), burst: RATE, rank: None }],
    );

    let mut tick = Instant(0);
    while tick < now {
        tick = tick + Duration::from_millis(100);
        rates.tick(tick);
    }
    rates
}

/// Applies the first update of the other host, and returns the level.
fn level_after(rates: &mut Rates, now: Instant, admitted: u64, level: f64) -> f64 {
    let status = TenantStatus { admitted, level, ..TenantStatus::default() };
    rates.apply_update(now, OTHER, 1, true, [(TENANT.into(), status)]);

    level_of(rates)
}

fn level_of(rates: &Rates) -> f64 {
    rates.explain(TENANT).expect("the tenant has a rate").level
}

#[test]
fn the_first_update_replaces_the_estimate_of_a_host_that_has_just_started() {
    // Guards against charging both the estimate and the reported calls.
    let now = Instant::from_millis(500);
    let mut rates = alone_until(now);

    let level = level_after(&mut rates, now, 20, UNKNOWN_LEVEL);

    let expected = 0.3 * RATE + 0.5 * RATE - 20.0;
    assert!((level - expected).abs() < 1e-6, "{level} instead of {expected}");
}

#[test]
fn an_estimate_that_a_full_bucket_has_made_up_for_is_not_returned() {
    // Guards against returning more tokens than the estimate has cost. The bucket is full although
    // half of its refill was charged for the other host.
    let now = Instant::from_millis(1_900);
    let mut rates = alone_until(now);
    let before = level_of(&rates);

    let level = level_after(&mut rates, now, 40, UNKNOWN_LEVEL);

    assert!(before > 0.9 * RATE, "{before}");
    assert!(level <= RATE - 40.0, "{level}");
}

#[test]
fn an_estimate_is_kept_if_an_earlier_process_may_have_used_it() {
    // Guards against admitting twice what an earlier process of the other host has admitted beside
    // a network partition, and did not report before it ended.
    let now = Instant::from_millis(10_000);
    let mut rates = alone_until(now);
    let before = level_of(&rates);

    let level = level_after(&mut rates, now, 0, UNKNOWN_LEVEL);

    assert!(level <= before, "{level}, {before} before");
}

#[test]
fn a_new_process_adopts_the_level_of_a_host_that_has_one() {
    // Guards against a process that restarts and admits the initial level of its bucket again.
    let now = Instant::from_millis(200);
    let mut rates = alone_until(now);

    let level = level_after(&mut rates, now, 5_000, -30.0);

    assert_eq!(level, -30.0);
}

/// A fleet of three hosts that exchange updates every 100 ms, with a tenant that sends far more calls
/// to each of them than its rate.
struct Fleet {
    now: Instant,
    hosts: Vec<(u64, Rates)>,
}

impl Fleet {
    /// Starts a fleet whose tenant has a rate of 10 and a burst of 100, and lets the bucket fill.
    fn start() -> Self {
        let hosts = (0..3).map(|host| (0, Self::process(Instant(0), host))).collect();
        let mut fleet = Self { now: Instant(0), hosts };
        for _ in 0..200 {
            fleet.exchange();
        }

        fleet
    }

    fn process(now: Instant, host: u64) -> Rates {
        let mut rates = Rates::default();
        rates.set_peers((0..3).filter(|other| *other != host).map(HostId).collect());
        rates.configure(
            now,
            &[TenantSpec { name: TENANT.into(), rate: Some(10.0), burst: 100.0, rank: None }],
        );
        rates
    }

    fn restart(&mut self, host: usize) {
        let run = self.hosts[host].0 + 1;
        self.hosts[host] = (run, Self::process(self.now, host as u64));
    }

    fn exchange(&mut self) {
        self.now = self.now + Duration::from_millis(100);
        self.hosts.iter_mut().for_each(|(_, rates)| rates.tick(self.now));
        let updates: Vec<_> =
            self.hosts.iter_mut().map(|(run, rates)| (*run, rates.take_updates(true))).collect();
        for (from, (run, update)) in updates.into_iter().enumerate() {
            for to in (0..3).filter(|to| *to != from) {
                let rates = &mut self.hosts[to].1;
                rates.apply_update(self.now, HostId(from as u64), run, true, update.clone());
            }
        }
    }

    /// Sends calls to a host until it refuses one, at most `most`. Returns how many it admitted.
    fn admit(&mut self, host: usize, most: usize) -> usize {
        let rates = &mut self.hosts[host].1;
        let waited = Duration::from_millis(200);
        let is_admitted =
            |_: &usize| rates.admit(self.now, TENANT, false, waited) == Admission::Admitted;

        (0..most).take_while(is_admitted).count()
    }
}

#[test]
fn hosts_that_restart_one_after_the_other_pass_on_what_was_used_before() {
    // Guards against a rolling restart within two seconds of a burst, after which the last process
    // hears only new ones, and admits the initial level of its bucket beside the burst.
    let mut fleet = Fleet::start();
    let mut admitted = fleet.admit(0, 200);
    fleet.exchange();

    for host in 0..3 {
        fleet.restart(host);
        for _ in 0..5 {
            fleet.exchange();
            admitted += (0..3).map(|host| fleet.admit(host, 10)).sum::<usize>();
        }
    }

    let elapsed = 1.6;
    let allowed = 100.0 + 10.0 * elapsed + 3.0;
    assert!(admitted as f64 <= allowed, "{admitted} of {allowed}");
}
