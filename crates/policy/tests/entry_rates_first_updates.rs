//! Rates of a process that has estimated the calls of a host and then hears it for the first time.

use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::rates::{Rates, TenantStatus, UNKNOWN_LEVEL};

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
