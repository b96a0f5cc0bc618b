//! Tests of target selection: cached prefixes, windows, other zones, suspect calls and crashed
//! targets.

mod queue_support;

use std::time::Duration;

use camphorwalk_core::ids::{ClassId, ProgramId};
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::queue::QueueEvent;
use camphorwalk_policy::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest};
use queue_support::{Fixture, end, grant, id, leaving, request, target};

fn two_targets() -> Fixture {
    Fixture::new(vec![target("t1", "a", 2), target("t2", "a", 2)])
}

/// Returns the other one of the two targets.
fn other_target(name: &str) -> &'static str {
    if name == "t1" { "t2" } else { "t1" }
}

/// Serves one call of program 1, and returns the target that it was placed at.
fn serve_first_call(fixture: &mut Fixture) -> &'static str {
    let out = fixture.request_place(1, request("x", "chat", 1));
    fixture.release(1);

    if out == grant(1, "t1") { "t1" } else { "t2" }
}

fn with_long_prompt(program: u128) -> PlaceRequest {
    PlaceRequest { prompt: Tokens(5_000), ..request("x", "chat", program) }
}

#[test]
fn a_program_returns_to_its_cached_prefix() {
    let mut fixture = two_targets();
    let holder = serve_first_call(&mut fixture);

    // A second call makes the target with the prefix the busier one.
    let busy = fixture.request_place(
        2,
        PlaceRequest { avoid: Some(id(other_target(holder))), ..with_long_prompt(2) },
    );
    let back =
        fixture.request_place(3, PlaceRequest { prompt: Tokens(1_000), ..request("x", "chat", 1) });

    assert_eq!(busy, grant(2, holder));
    assert_eq!(back.len(), 1);
}

#[test]
fn a_long_cached_prefix_outweighs_a_call_in_flight() {
    let mut fixture = two_targets();
    let out = fixture.request_place(1, with_long_prompt(1));
    let holder = if out == grant(1, "t1") { "t1" } else { "t2" };
    fixture.release(1);
    fixture.request_place(
        2,
        PlaceRequest { avoid: Some(id(other_target(holder))), ..request("x", "chat", 2) },
    );

    let back = fixture.request_place(3, with_long_prompt(1));

    assert_eq!(back, grant(3, holder));
}

#[test]
fn an_eviction_event_soon_after_a_use_is_ignored() {
    // The engine reports an eviction with a delay. Soon after a use, the event may be older than
    // the use and must be ignored. Later it is correct, and the program goes to the idle target.
    let mut fixture = two_targets();
    let holder = {
        let out = fixture.request_place(1, with_long_prompt(1));
        if out == grant(1, "t1") { "t1" } else { "t2" }
    };
    fixture.release(1);
    fixture.request_place(
        2,
        PlaceRequest { avoid: Some(id(other_target(holder))), ..request("x", "chat", 2) },
    );
    let evicted = QueueEvent::Evicted { target: id(holder), program: ProgramId(1) };

    fixture.step(evicted.clone());
    let soon = fixture.request_place(3, with_long_prompt(1));
    fixture.release(3);
    fixture.advance(Duration::from_secs(10));
    fixture.step(evicted);
    let later = fixture.request_place(4, with_long_prompt(1));

    assert_eq!(soon, grant(3, holder));
    assert_eq!(later, grant(4, other_target(holder)));
}

#[test]
fn an_uncached_prompt_does_not_evict_a_prefix_that_will_be_reused() {
    // Two targets are idle. One has the prefix of a program that is pausing for a tool call. A
    // new long prompt would evict that prefix, so it must go to the other target.
    let mut fixture = two_targets();

    for n in 10..60 {
        fixture.request_place(n, request("x", "chat", 7));
        fixture.advance(Duration::from_millis(100));
        fixture.release(n);
    }

    let out = fixture
        .request_place(100, PlaceRequest { prompt: Tokens(9_000), ..request("x", "chat", 1) });
    let holder = if out == grant(100, "t1") { "t1" } else { "t2" };
    fixture.release(100);
    // The target without the prefix is made a little busier.
    fixture.request_place(101, PlaceRequest { avoid: Some(id(holder)), ..request("x", "chat", 2) });

    let uncached = fixture
        .request_place(102, PlaceRequest { prompt: Tokens(9_000), ..request("x", "chat", 3) });

    assert_eq!(uncached, grant(102, other_target(holder)));
}

/// Serves calls from which the queues estimate that computing a token takes one millisecond.
fn serve_calls_to_estimate_costs(fixture: &mut Fixture) {
    for n in 1_000..1_030 {
        let computed_prompt = Tokens(100 * (n % 7));
        fixture.request_place(n, request("x", "chat", n.into()));
        fixture.advance(Duration::from_millis(computed_prompt.0 + 10));
        fixture.release_with(n, PlaceRelease { computed_prompt, ..end(PlaceOutcome::Finished) });
    }
}

#[test]
fn a_call_waits_for_the_full_target_that_holds_its_prefix() {
    // The target with the prefix is full, the other one is idle. Computing the prefix there would
    // take five seconds, and the call at the full target ends sooner, so the new call must wait.
    let mut fixture = Fixture::new(vec![target("t1", "a", 1), target("t2", "a", 1)]);
    serve_calls_to_estimate_costs(&mut fixture);
    fixture.request_place(1, PlaceRequest { avoid: Some(id("t2")), ..with_long_prompt(1) });
    fixture.release(1);
    fixture.request_place(2, PlaceRequest { avoid: Some(id("t2")), ..request("x", "chat", 2) });

    let at_once = fixture.request_place(3, with_long_prompt(1));
    let after = fixture.release(2);

    assert_eq!(at_once, []);
    assert_eq!(after, grant(3, "t1"));
}

#[test]
fn a_call_does_not_wait_for_its_prefix_for_ever() {
    let mut fixture = Fixture::new(vec![target("t1", "a", 1), target("t2", "a", 1)]);
    serve_calls_to_estimate_costs(&mut fixture);
    fixture.request_place(1, PlaceRequest { avoid: Some(id("t2")), ..with_long_prompt(1) });
    fixture.release(1);
    fixture.request_place(2, PlaceRequest { avoid: Some(id("t2")), ..request("x", "chat", 2) });

    fixture.request_place(3, with_long_prompt(1));
    let after = fixture.advance(Duration::from_secs(6));

    assert_eq!(after, grant(3, "t2"));
}

#[test]
fn a_new_program_waits_while_started_programs_fill_the_caches() {
    // A place is free, but the started programs need most of the cache. Starting another program
    // would evict prefixes just before they are used again. Calls of the first class (`arrival`)
    // are not held back.
    let mut fixture = Fixture::new(vec![target("t", "a", 4)]);
    fixture.request_place(1, with_long_prompt(1));
    let new = PlaceRequest { attained: Tokens(0), ..with_long_prompt(2) };

    let held_back = fixture.request_place(2, new);
    let first_class = PlaceRequest { class: ClassId::from_name("arrival"), ..new };
    let first_class = fixture.request_place(3, first_class);
    fixture.release(3);
    fixture.release_with(1, PlaceRelease { program_ended: true, ..end(PlaceOutcome::Finished) });
    let after = fixture.advance(Duration::from_secs(1));

    assert_eq!(held_back, []);
    assert_eq!(first_class, grant(3, "t"));
    assert_eq!(after, grant(2, "t"));
}

#[test]
fn a_tenant_that_fills_the_caches_holds_back_only_itself() {
    // Tenant x has started programs that need nearly all of the available cache. Its next new
    // program must wait. Tenant y uses less than its third of the cache, and may start another
    // program.
    let mut fixture = Fixture::new(vec![target("t", "a", 8)]);
    let new = |tenant, n| PlaceRequest { attained: Tokens(0), ..request(tenant, "chat", n) };
    fixture.request_place(1, PlaceRequest { prompt: Tokens(6_200), ..request("x", "chat", 1) });
    fixture.request_place(2, request("y", "chat", 2));

    let x = fixture.request_place(3, new("x", 3));
    let y = fixture.request_place(4, new("y", 4));

    assert_eq!((x, y), (vec![], grant(4, "t")));
}

#[test]
fn a_new_program_that_is_held_back_is_started_eventually() {
    // Tenant x fills the caches, and tenant y sends calls without pause. The new program of x
    // would be held back until its deadline, but one grant in eight goes to the lane that has
    // waited longest.
    let mut fixture = Fixture::new(vec![target("t", "a", 2)]);
    fixture.request_place(0, PlaceRequest { prompt: Tokens(6_400), ..request("x", "chat", 1) });
    fixture.request_place(1, request("y", "chat", 2));
    fixture.request_place(99, PlaceRequest { attained: Tokens(0), ..request("x", "chat", 3) });

    let grant_number = (2..=24).position(|n| {
        fixture.request_place(n, request("y", "chat", 2));
        fixture.release(n - 1) == grant(99, "t")
    });

    assert!(grant_number.is_some_and(|grant_number| grant_number > 0));
}

#[test]
fn a_new_program_larger_than_the_caches_is_not_held_back_for_ever() {
    let mut fixture = Fixture::new(vec![target("t", "a", 4)]);
    let huge = PlaceRequest { attained: Tokens(0), prompt: Tokens(50_000), ..with_long_prompt(1) };

    let out = fixture.request_place(1, huge);

    assert_eq!(out, grant(1, "t"));
}

#[test]
fn a_leaving_target_gets_nothing_new() {
    let mut fixture = two_targets();
    fixture.request_place(1, request("x", "chat", 1));
    fixture.request_place(2, request("x", "chat", 2));
    fixture.configure(vec![leaving("t1", "a", 2), target("t2", "a", 2)]);

    let third = fixture.request_place(3, request("x", "chat", 3));
    let fourth = fixture.request_place(4, request("x", "chat", 4));

    assert_eq!(third, grant(3, "t2"));
    assert_eq!(fourth, []);
}

#[test]
fn another_zone_is_used_while_this_zone_has_no_free_place() {
    // The target in the other zone has a window of 4. This zone may use half of it, and none of
    // it once the target reports waiting calls.
    let mut fixture = Fixture::new(vec![target("near", "a", 1), target("far", "b", 4)]);

    let outs: Vec<_> =
        (1..=4).map(|n| fixture.request_place(n, request("x", "chat", n.into()))).collect();
    fixture.report_load("far", 1);
    let next = fixture.release(2);

    assert_eq!(outs, [grant(1, "near"), grant(2, "far"), grant(3, "far"), vec![]]);
    assert_eq!(next, []);
}

#[test]
fn a_window_adapts_to_the_calls_that_wait_at_the_engine() {
    // Calls that wait at the engine bypass the order of the queue. The window must be reduced
    // once for several delayed reports, and grow again after a report without waiting calls.
    let mut fixture = Fixture::new(vec![target("t", "a", 4)]);
    fixture.report_load("t", 2);
    fixture.report_load("t", 2);

    let outs: Vec<_> =
        (1..=4).map(|n| fixture.request_place(n, request("x", "chat", n.into()))).collect();
    let grown = fixture.report_load("t", 0);

    assert_eq!(outs[3], []);
    assert_eq!(grown, grant(4, "t"));
}

#[test]
fn a_suspect_runs_alone() {
    // A call that was in flight when a target crashed may have caused the crash. It must wait
    // until a target is empty, and no other call may be placed beside it.
    let mut fixture = Fixture::new(vec![target("t", "a", 3)]);
    fixture.request_place(1, request("x", "chat", 1));
    let suspect =
        fixture.request_place(2, PlaceRequest { suspect: true, ..request("x", "chat", 2) });

    let beside = fixture.request_place(3, request("y", "chat", 3));
    let empty = fixture.release(1);
    let after = fixture.release(2);

    assert_eq!((suspect, beside), (vec![], vec![]));
    assert_eq!(empty, grant(2, "t"));
    assert_eq!(after, grant(3, "t"));
}

#[test]
fn a_withdrawn_suspect_frees_its_reserved_target() {
    let mut fixture = Fixture::new(vec![target("t", "a", 3)]);
    fixture.request_place(1, request("x", "chat", 1));
    fixture.request_place(2, PlaceRequest { suspect: true, ..request("x", "chat", 2) });
    fixture.request_place(3, request("y", "chat", 3));

    let out = fixture.release_with(2, end(PlaceOutcome::NotSent));

    assert_eq!(out, grant(3, "t"));
}

#[test]
fn a_call_is_not_sent_where_it_just_failed() {
    let mut fixture = two_targets();

    let out =
        fixture.request_place(1, PlaceRequest { avoid: Some(id("t1")), ..request("x", "chat", 1) });

    assert_eq!(out, grant(1, "t2"));
}

#[test]
fn a_crashed_target_gets_a_single_call_after_its_backoff() {
    // A dead target fails calls at once and therefore looks idle, so it would attract one call
    // after the other. It must get no call for one second, then a single call, and more once that
    // one is answered.
    let mut fixture = Fixture::new(vec![target("t", "a", 2)]);
    fixture.request_place(1, request("x", "chat", 1));

    fixture.release_with(1, end(PlaceOutcome::Crashed));
    let at_once = fixture.request_place(2, request("x", "chat", 2));
    fixture.request_place(3, request("x", "chat", 3));
    let probe = fixture.advance(Duration::from_secs(1));
    let after_answer = fixture.release(2);

    assert_eq!(at_once, []);
    assert_eq!(probe, grant(2, "t"));
    assert_eq!(after_answer, grant(3, "t"));
}
