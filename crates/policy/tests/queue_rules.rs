//! The order of calls, and the life of a place.

mod queue_support;

use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::queue::{QueueAction, QueueEvent};
use camphorwalk_policy::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest};
use queue_support::{Bench, end, grant, id, leaving, request, request_id, target};

#[test]
fn a_window_bounds_what_is_in_flight() {
    let mut bench = Bench::new(vec![target("t", "a", 1)]);

    let first = bench.ask(1, request("x", "chat", 1));
    let second = bench.ask(2, request("x", "chat", 2));
    let after = bench.vacate(1);

    assert_eq!(first, grant(1, "t"));
    assert_eq!(second, []);
    assert_eq!(after, grant(2, "t"));
}

#[test]
fn asking_again_takes_no_second_place() {
    // A connection breaks after a question. The asker connects again and repeats it; the
    // first grant may have arrived or not. Both must be the same place.
    let mut bench = Bench::new(vec![target("t", "a", 2)]);

    let first = bench.ask(1, request("x", "chat", 1));
    let again = bench.ask(1, request("x", "chat", 1));

    assert_eq!(first, again);
    assert_eq!(bench.queues.in_flight(id("t")), 1);
}

#[test]
fn asking_again_while_waiting_waits_once() {
    let mut bench = Bench::new(vec![target("t", "a", 1)]);
    bench.ask(1, request("x", "chat", 1));

    bench.ask(2, request("x", "chat", 2));
    let again = bench.ask(2, request("x", "chat", 2));

    assert_eq!(again, []);
    assert_eq!(bench.queues.waiting(), 1);
}

#[test]
fn a_restarted_host_is_not_given_the_place_of_its_old_process() {
    // A host restarts and counts its questions from 1 again, before anyone noticed that it
    // was gone. Its new question 1 is for another pool. The old grant would send the call
    // to a target that does not serve it.
    let mut service = target("s", "a", 1);
    service.pool = "other".into();
    let mut bench = Bench::new(vec![target("t", "a", 1), service]);
    bench.ask(1, request("x", "chat", 1));
    bench.ask(2, request("x", "chat", 2));

    let other = PlaceRequest { pool: pool("other"), ..request("x", "chat", 9) };
    let out = bench.ask(1, other);

    assert_eq!(out, [grant(2, "t"), grant(1, "s")].concat());
}

fn pool(name: &str) -> camphorwalk_core::ids::PoolId {
    camphorwalk_core::ids::PoolId::from_name(name)
}

#[test]
fn vacating_twice_or_for_nobody_is_harmless() {
    let mut bench = Bench::new(vec![target("t", "a", 2)]);
    bench.ask(1, request("x", "chat", 1));
    bench.ask(2, request("x", "chat", 2));

    bench.vacate(1);
    bench.vacate(1);
    bench.vacate(7);

    assert_eq!(bench.queues.in_flight(id("t")), 1);
}

#[test]
fn a_place_whose_vacate_is_lost_comes_back_after_the_deadline() {
    // The message that gives a place back is lost with its connection. Until the call's
    // deadline it may still run; then a margin passes and the place is free again.
    let mut bench = Bench::new(vec![target("t", "a", 1)]);
    bench
        .ask(1, PlaceRequest { deadline_left: Duration::from_secs(10), ..request("x", "chat", 1) });
    bench.ask(2, request("x", "chat", 2));

    let before = bench.pass(Duration::from_secs(10));
    let after = bench.pass(Duration::from_secs(10));

    assert_eq!(before, []);
    assert_eq!(after, grant(2, "t"));
}

#[test]
fn a_host_that_is_gone_gives_back_all_its_places() {
    let mut bench = Bench::new(vec![target("t", "a", 2)]);
    bench.ask(1, request("x", "chat", 1));
    bench.ask(2, request("x", "chat", 2));
    bench.ask(3, request("x", "chat", 3));
    bench.ask(100, request("x", "chat", 4));

    let out = bench.step(QueueEvent::HostGone(HostId(0)));

    assert_eq!(out, grant(100, "t"));
    assert_eq!((bench.queues.granted_places(), bench.queues.waiting()), (1, 0));
}

#[test]
fn the_first_class_goes_first() {
    let mut bench = Bench::new(vec![target("t", "a", 1)]);
    bench.ask(1, request("x", "chat", 1));
    bench.ask(2, request("x", "chat", 2));
    bench.ask(3, request("y", "arrival", 3));

    let next = bench.vacate(1);

    assert_eq!(next, grant(3, "t"));
}

#[test]
fn tenants_share_by_attained_service() {
    // One tenant sends many calls before another sends one. The other has attained less, and
    // does not wait for the many.
    let mut bench = Bench::new(vec![target("t", "a", 1)]);
    (1..=5).for_each(|n| drop(bench.ask(n, request("x", "chat", n.into()))));
    bench.ask(6, request("y", "chat", 6));

    let next = bench.vacate(1);

    assert_eq!(next, grant(6, "t"));
}

#[test]
fn a_tenant_far_over_its_share_loses_its_class() {
    // A tenant sends all its work in the first class. After it has got far more than the
    // others, its class counts for nothing until they have caught up.
    let mut bench = Bench::new(vec![target("t", "a", 1)]);
    bench.ask(1, request("x", "arrival", 1));
    bench.ask(2, request("x", "arrival", 2));
    bench.ask(3, request("y", "chat", 3));

    let used = PlaceRelease { computed_prompt: Tokens(50_000), ..end(PlaceOutcome::Finished) };
    let next = bench.vacate_with(1, used);

    assert_eq!(next, grant(3, "t"));
}

#[test]
fn a_lower_class_is_not_starved() {
    // The first class alone could fill the only place for ever. One grant in eight goes to
    // whoever has waited longest, so the lower class is served within two lanes' turns.
    let mut bench = Bench::new(vec![target("t", "a", 1)]);
    bench.ask(0, request("x", "arrival", 1));
    bench.ask(99, request("y", "chat", 99));

    let grants = (1..=16).position(|n| {
        bench.ask(n, request("x", "arrival", n.into()));
        bench.vacate(n - 1) == grant(99, "t")
    });

    assert!(grants.is_some());
}

#[test]
fn within_a_tenant_the_least_served_program_goes_first() {
    let mut bench = Bench::new(vec![target("t", "a", 1)]);
    bench.ask(1, request("x", "chat", 1));
    bench.ask(2, PlaceRequest { attained: Tokens(100_000), ..request("x", "chat", 2) });
    bench.ask(3, request("x", "chat", 3));

    let next = bench.vacate(1);

    assert_eq!(next, grant(3, "t"));
}

#[test]
fn a_call_that_nothing_can_serve_is_refused_at_once() {
    let mut bench = Bench::new(vec![leaving("t", "a", 2)]);

    let out = bench.ask(1, request("x", "chat", 1));

    assert!(matches!(out[..], [QueueAction::Refuse { .. }]));
}

#[test]
fn a_waiting_call_is_refused_when_its_last_target_is_withdrawn() {
    // A call waits; the operator withdraws the pool's only target. No event would ever
    // serve the call, and its caller would wait until the deadline for nothing.
    let mut bench = Bench::new(vec![target("t", "a", 1)]);
    bench.ask(1, request("x", "chat", 1));
    bench.ask(2, request("x", "chat", 2));

    let out = bench.configure(vec![leaving("t", "a", 1)]);

    assert!(matches!(out[..], [QueueAction::Refuse { request_id: a, .. }] if a == request_id(2)));
}

#[test]
fn a_call_is_refused_once_its_deadline_cannot_be_met() {
    let mut bench = Bench::new(vec![target("t", "a", 1)]);
    bench.ask(1, request("x", "chat", 1));
    bench.ask(2, PlaceRequest { deadline_left: Duration::from_secs(3), ..request("x", "chat", 2) });

    let out = bench.pass(Duration::from_secs(3));

    assert!(matches!(out[..], [QueueAction::Refuse { request_id: a, .. }] if a == request_id(2)));
}

#[test]
fn a_hopeless_call_is_refused_at_once() {
    // Calls take a second each. A call with little time left comes behind a hundred others
    // of its tenant: its turn would come too late, so it is told now when to come back.
    let mut bench = Bench::new(vec![target("t", "a", 1)]);

    for n in 0..30 {
        bench.ask(n, request("x", "chat", n.into()));
        bench.pass(Duration::from_secs(1));
        bench.vacate(n);
    }

    (100..200).for_each(|n| drop(bench.ask(n, request("x", "chat", n.into()))));
    let late = PlaceRequest { attained: Tokens(9_000), ..request("x", "chat", 300) };
    let out = bench.ask(300, PlaceRequest { deadline_left: Duration::from_secs(20), ..late });

    assert!(matches!(out[..], [QueueAction::Refuse { .. }]));
}

#[test]
fn a_new_program_is_refused_at_once_when_starts_are_slow() {
    // New programs of the tenant start one in ten seconds, and several wait. One more would
    // start only after its caller has gone: it is told so now, not then.
    let mut bench = Bench::new(vec![target("t", "a", 1)]);
    let new = |n: u64| PlaceRequest { attained: Tokens(0), ..request("x", "chat", n.into()) };
    let patient = |n| PlaceRequest { deadline_left: Duration::from_secs(300), ..new(n) };
    (0..40).for_each(|n| drop(bench.ask(n, patient(n))));

    for n in 0..20 {
        bench.pass(Duration::from_secs(10));
        bench.vacate(n);
    }

    let out = bench.ask(50, PlaceRequest { deadline_left: Duration::from_secs(110), ..new(50) });

    assert!(matches!(out[..], [QueueAction::Refuse { retry_after, .. }] if !retry_after.is_zero()));
}

#[test]
fn a_tenant_cannot_fill_the_queue() {
    // A tenant asks without end while nothing moves: memory stays bounded, and another
    // tenant still finds room.
    let mut bench = Bench::new(vec![target("t", "a", 1)]);

    let refused = (0..5_000).filter(|n| {
        let out = bench.ask(*n, request("x", "chat", (*n).into()));
        matches!(out[..], [QueueAction::Refuse { .. }])
    });

    assert_eq!(refused.count(), 5_000 - 4_096 - 1);
    assert_eq!(bench.ask(5_001, request("y", "chat", 5_001)), []);
}
