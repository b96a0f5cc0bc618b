//! Tests of the order of calls, and of how places are granted, released and refused.

mod queue_support;

use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::queue::{QueueAction, QueueEvent};
use camphorwalk_policy::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest};
use queue_support::{Fixture, end, grant, id, leaving, request, request_id, target};

#[test]
fn a_window_limits_the_calls_in_flight() {
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);

    let first = fixture.request_place(1, request("x", "chat", 1));
    let second = fixture.request_place(2, request("x", "chat", 2));
    let after = fixture.release(1);

    assert_eq!(first, grant(1, "t"));
    assert_eq!(second, []);
    assert_eq!(after, grant(2, "t"));
}

#[test]
fn a_repeated_request_gets_the_same_place() {
    // After a connection breaks, the host sends its request again. The first grant may have
    // arrived or not, so the repeated request must get the same place: a second place would never
    // be released.
    let mut fixture = Fixture::new(vec![target("t", "a", 2)]);

    let first = fixture.request_place(1, request("x", "chat", 1));
    let again = fixture.request_place(1, request("x", "chat", 1));

    assert_eq!(first, again);
    assert_eq!(fixture.queues.in_flight(id("t")), 1);
}

#[test]
fn a_repeated_request_is_queued_once() {
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);
    fixture.request_place(1, request("x", "chat", 1));

    fixture.request_place(2, request("x", "chat", 2));
    let again = fixture.request_place(2, request("x", "chat", 2));

    assert_eq!(again, []);
    assert_eq!(fixture.queues.waiting(), 1);
}

#[test]
fn a_restarted_host_does_not_get_a_place_of_its_old_process() {
    // A host restarts and numbers its requests from 1 again before other hosts notice. Its new
    // request 1 is for another pool. Answered with the old grant, the call would be sent to a
    // target that does not serve it.
    let mut service = target("s", "a", 1);
    service.pool = "other".into();
    let mut fixture = Fixture::new(vec![target("t", "a", 1), service]);
    fixture.request_place(1, request("x", "chat", 1));
    fixture.request_place(2, request("x", "chat", 2));

    let other = PlaceRequest { pool: pool("other"), ..request("x", "chat", 9) };
    let out = fixture.request_place(1, other);

    assert_eq!(out, [grant(2, "t"), grant(1, "s")].concat());
}

fn pool(name: &str) -> camphorwalk_core::ids::PoolId {
    camphorwalk_core::ids::PoolId::from_name(name)
}

#[test]
fn a_repeated_or_unknown_release_is_ignored() {
    let mut fixture = Fixture::new(vec![target("t", "a", 2)]);
    fixture.request_place(1, request("x", "chat", 1));
    fixture.request_place(2, request("x", "chat", 2));

    fixture.release(1);
    fixture.release(1);
    fixture.release(7);

    assert_eq!(fixture.queues.in_flight(id("t")), 1);
}

#[test]
fn a_place_is_released_after_the_deadline_if_its_release_is_lost() {
    // The message that releases a place is lost with its connection. The call may run until its
    // deadline, so the place becomes free a short time after that, and not before.
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);
    fixture.request_place(
        1,
        PlaceRequest { deadline_left: Duration::from_secs(10), ..request("x", "chat", 1) },
    );
    fixture.request_place(2, request("x", "chat", 2));

    let before = fixture.advance(Duration::from_secs(10));
    let after = fixture.advance(Duration::from_secs(10));

    assert_eq!(before, []);
    assert_eq!(after, grant(2, "t"));
}

#[test]
fn the_places_and_requests_of_a_gone_host_are_removed() {
    let mut fixture = Fixture::new(vec![target("t", "a", 2)]);
    fixture.request_place(1, request("x", "chat", 1));
    fixture.request_place(2, request("x", "chat", 2));
    fixture.request_place(3, request("x", "chat", 3));
    fixture.request_place(100, request("x", "chat", 4));

    let out = fixture.step(QueueEvent::HostGone(HostId(0)));

    assert_eq!(out, grant(100, "t"));
    assert_eq!((fixture.queues.granted_places(), fixture.queues.waiting()), (1, 0));
}

#[test]
fn the_first_class_goes_first() {
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);
    fixture.request_place(1, request("x", "chat", 1));
    fixture.request_place(2, request("x", "chat", 2));
    fixture.request_place(3, request("y", "arrival", 3));

    let next = fixture.release(1);

    assert_eq!(next, grant(3, "t"));
}

#[test]
fn tenants_share_by_attained_service() {
    // A tenant sends many calls before another tenant sends one. The second tenant has received
    // less service, so its call must not wait for all calls of the first.
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);
    (1..=5).for_each(|n| drop(fixture.request_place(n, request("x", "chat", n.into()))));
    fixture.request_place(6, request("y", "chat", 6));

    let next = fixture.release(1);

    assert_eq!(next, grant(6, "t"));
}

#[test]
fn the_class_of_a_tenant_far_over_its_share_is_ignored() {
    // A tenant sends all its work in the first class. Once it has received far more service than
    // the others, its class rank must be ignored until they have caught up.
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);
    fixture.request_place(1, request("x", "arrival", 1));
    fixture.request_place(2, request("x", "arrival", 2));
    fixture.request_place(3, request("y", "chat", 3));

    let used = PlaceRelease { computed_prompt: Tokens(50_000), ..end(PlaceOutcome::Finished) };
    let next = fixture.release_with(1, used);

    assert_eq!(next, grant(3, "t"));
}

#[test]
fn a_lower_class_is_not_starved() {
    // Calls of the first class alone could occupy the only place forever. One grant in eight goes
    // to the lane that has waited longest, so with two lanes the lower class is served within 16
    // grants.
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);
    fixture.request_place(0, request("x", "arrival", 1));
    fixture.request_place(99, request("y", "chat", 99));

    let grants = (1..=16).position(|n| {
        fixture.request_place(n, request("x", "arrival", n.into()));
        fixture.release(n - 1) == grant(99, "t")
    });

    assert!(grants.is_some());
}

#[test]
fn within_a_tenant_the_least_served_program_goes_first() {
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);
    fixture.request_place(1, request("x", "chat", 1));
    fixture.request_place(2, PlaceRequest { attained: Tokens(100_000), ..request("x", "chat", 2) });
    fixture.request_place(3, request("x", "chat", 3));

    let next = fixture.release(1);

    assert_eq!(next, grant(3, "t"));
}

#[test]
fn a_call_that_no_target_can_serve_is_refused_at_once() {
    let mut fixture = Fixture::new(vec![leaving("t", "a", 2)]);

    let out = fixture.request_place(1, request("x", "chat", 1));

    assert!(matches!(out[..], [QueueAction::Refuse { .. }]));
}

#[test]
fn a_waiting_call_is_refused_when_its_last_target_is_removed() {
    // A call waits when the operator removes the pool's only target. No later event would serve
    // it, so without a refusal its caller would wait until the deadline for nothing.
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);
    fixture.request_place(1, request("x", "chat", 1));
    fixture.request_place(2, request("x", "chat", 2));

    let out = fixture.configure(vec![leaving("t", "a", 1)]);

    assert!(matches!(out[..], [QueueAction::Refuse { request_id: a, .. }] if a == request_id(2)));
}

#[test]
fn a_call_is_refused_once_its_deadline_cannot_be_met() {
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);
    fixture.request_place(1, request("x", "chat", 1));
    fixture.request_place(
        2,
        PlaceRequest { deadline_left: Duration::from_secs(3), ..request("x", "chat", 2) },
    );

    let out = fixture.advance(Duration::from_secs(3));

    assert!(matches!(out[..], [QueueAction::Refuse { request_id: a, .. }] if a == request_id(2)));
}

#[test]
fn a_call_that_cannot_be_served_in_time_is_refused_at_once() {
    // Calls take one second each. A call with little time left arrives behind a hundred others of
    // its tenant. It cannot be served in time, so it must be refused on arrival with a retry
    // time.
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);

    for n in 0..30 {
        fixture.request_place(n, request("x", "chat", n.into()));
        fixture.advance(Duration::from_secs(1));
        fixture.release(n);
    }

    (100..200).for_each(|n| drop(fixture.request_place(n, request("x", "chat", n.into()))));
    let late = PlaceRequest { attained: Tokens(9_000), ..request("x", "chat", 300) };
    let out =
        fixture.request_place(300, PlaceRequest { deadline_left: Duration::from_secs(20), ..late });

    assert!(matches!(out[..], [QueueAction::Refuse { .. }]));
}

#[test]
fn a_new_program_is_refused_at_once_when_starts_are_slow() {
    // The tenant's new programs are started at a rate of one in ten seconds, and several are
    // waiting. Another one would be started only after its deadline, so it must be refused on
    // arrival.
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);
    let new = |n: u64| PlaceRequest { attained: Tokens(0), ..request("x", "chat", n.into()) };
    let with_long_deadline = |n| PlaceRequest { deadline_left: Duration::from_secs(300), ..new(n) };
    (0..40).for_each(|n| drop(fixture.request_place(n, with_long_deadline(n))));

    for n in 0..20 {
        fixture.advance(Duration::from_secs(10));
        fixture.release(n);
    }

    let out = fixture
        .request_place(50, PlaceRequest { deadline_left: Duration::from_secs(110), ..new(50) });

    assert!(matches!(out[..], [QueueAction::Refuse { retry_after, .. }] if !retry_after.is_zero()));
}

#[test]
fn a_tenant_cannot_fill_the_queue() {
    // A tenant sends requests without end while no place becomes free. The queue's memory must
    // stay bounded, and another tenant's call must still be queued.
    let mut fixture = Fixture::new(vec![target("t", "a", 1)]);

    let refused = (0..5_000).filter(|n| {
        let out = fixture.request_place(*n, request("x", "chat", (*n).into()));
        matches!(out[..], [QueueAction::Refuse { .. }])
    });

    assert_eq!(refused.count(), 5_000 - 4_096 - 1);
    assert_eq!(fixture.request_place(5_001, request("y", "chat", 5_001)), []);
}
