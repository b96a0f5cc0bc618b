//! How long budgets and turns are kept.

use std::time::Duration;

use camphorwalk_core::entry::{CallLimits, RetryPolicy, Route, Routing};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::retention::Retention;

/// Returns a manifest with a streaming route for each retention. Only the first stores turns.
fn manifest(retentions: &[Option<u64>]) -> Routing {
    let limits = CallLimits {
        head_bytes: 1,
        body_bytes: 1,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let route = |(i, retention): (usize, &Option<u64>)| Route {
        name: format!("r-{i}").into(),
        hostname: "h.example".into(),
        prefix: format!("/{i}/").into(),
        services: [].into(),
        retry_policy: RetryPolicy::Stream { resumable: false },
        max_targets: 1,
        timeout: None,
        latency_objective: Duration::from_millis(200),
        rank: 0,
        public: false,
        sticky: true,
        stores_turns: i == 0,
        retention: retention.map(Duration::from_secs),
    };

    Routing {
        version: 1,
        routes: retentions.iter().enumerate().map(route).collect(),
        services: Default::default(),
        tenants: Vec::new(),
        keys: Default::default(),
        limits,
    }
}

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

fn longest(retention: &Retention, seconds: u64) -> u64 {
    retention.longest(at(seconds)).as_secs()
}

#[test]
fn budgets_are_kept_for_the_retention_of_routes_that_store_no_turns() {
    // Guards against a budget that is deleted while its program may return, and then granted again.
    let mut retention = Retention::default();

    retention.adopt(at(0), &manifest(&[Some(10), Some(60)]));

    assert_eq!(longest(&retention, 1), 60);
}

#[test]
fn a_retention_holds_for_its_time_after_the_manifest_that_had_it() {
    // Guards against a manifest that shortens a retention or removes its route, after which budgets
    // of programs that may still return are deleted.
    let mut retention = Retention::default();

    retention.adopt(at(0), &manifest(&[Some(10), Some(60)]));
    retention.adopt(at(100), &manifest(&[Some(20)]));
    retention.adopt(at(120), &manifest(&[Some(10)]));

    assert_eq!(longest(&retention, 159), 60);
    assert_eq!(longest(&retention, 160), 10);
}

#[test]
fn without_a_retention_programs_may_return_for_a_default_time() {
    let mut retention = Retention::default();

    retention.adopt(at(0), &manifest(&[None]));

    assert_eq!(longest(&retention, 1), 60);
}
