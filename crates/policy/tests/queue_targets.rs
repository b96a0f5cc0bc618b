//! Where calls go: prefixes, windows, other zones, suspects and targets that went away.

mod queue_support;

use std::time::Duration;

use camphorwalk_core::ids::{ClassId, ProgramId};
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::queue::QueueEvent;
use camphorwalk_policy::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest};
use queue_support::{Bench, end, grant, id, leaving, request, target};

fn two() -> Bench {
    Bench::new(vec![target("t1", "a", 2), target("t2", "a", 2)])
}

/// Returns the target of this zone that is not named.
fn other(name: &str) -> &'static str {
    if name == "t1" { "t2" } else { "t1" }
}

/// Serves one call of program 1 and returns where it went.
fn serve_first(bench: &mut Bench) -> &'static str {
    let out = bench.ask(1, request("x", "chat", 1));
    bench.vacate(1);

    if out == grant(1, "t1") { "t1" } else { "t2" }
}

fn long(program: u128) -> PlaceRequest {
    PlaceRequest { prompt: Tokens(5_000), ..request("x", "chat", program) }
}

#[test]
fn a_program_goes_back_to_its_prefix() {
    let mut bench = two();
    let held = serve_first(&mut bench);

    // Another call makes the holder the busier one.
    let busy = bench.ask(2, PlaceRequest { avoid: Some(id(other(held))), ..long(2) });
    let back = bench.ask(3, PlaceRequest { prompt: Tokens(1_000), ..request("x", "chat", 1) });

    assert_eq!(busy, grant(2, held));
    assert_eq!(back.len(), 1);
}

#[test]
fn a_long_prefix_outweighs_a_busier_target() {
    let mut bench = two();
    let out = bench.ask(1, long(1));
    let held = if out == grant(1, "t1") { "t1" } else { "t2" };
    bench.vacate(1);
    bench.ask(2, PlaceRequest { avoid: Some(id(other(held))), ..request("x", "chat", 2) });

    let back = bench.ask(3, long(1));

    assert_eq!(back, grant(3, held));
}

#[test]
fn a_late_eviction_is_believed_unless_it_is_older_than_a_use() {
    // The engine tells late that it dropped a prefix. Soon after a use the news may be older
    // than the use; later it is true, and the program goes to the idle target.
    let mut bench = two();
    let held = {
        let out = bench.ask(1, long(1));
        if out == grant(1, "t1") { "t1" } else { "t2" }
    };
    bench.vacate(1);
    bench.ask(2, PlaceRequest { avoid: Some(id(other(held))), ..request("x", "chat", 2) });
    let evicted = QueueEvent::Evicted { target: id(held), program: ProgramId(1) };

    bench.step(evicted.clone());
    let soon = bench.ask(3, long(1));
    bench.vacate(3);
    bench.pass(Duration::from_secs(10));
    bench.step(evicted);
    let later = bench.ask(4, long(1));

    assert_eq!(soon, grant(3, held));
    assert_eq!(later, grant(4, other(held)));
}

#[test]
fn others_cold_prompts_keep_off_a_prefix_that_will_be_used() {
    // Two targets are idle. One holds the prefix of a program that pauses for a tool; a new
    // long prompt would push it out there, so it goes to the other.
    let mut bench = two();

    for n in 10..60 {
        bench.ask(n, request("x", "chat", 7));
        bench.pass(Duration::from_millis(100));
        bench.vacate(n);
    }

    let out = bench.ask(100, PlaceRequest { prompt: Tokens(9_000), ..request("x", "chat", 1) });
    let held = if out == grant(100, "t1") { "t1" } else { "t2" };
    bench.vacate(100);
    // The other target is a little busier.
    bench.ask(101, PlaceRequest { avoid: Some(id(held)), ..request("x", "chat", 2) });

    let cold = bench.ask(102, PlaceRequest { prompt: Tokens(9_000), ..request("x", "chat", 3) });

    assert_eq!(cold, grant(102, other(held)));
}

/// Lets the queues learn that computing a token takes a millisecond.
fn learn_costs(bench: &mut Bench) {
    for n in 1_000..1_030 {
        let computed_prompt = Tokens(100 * (n % 7));
        bench.ask(n, request("x", "chat", n.into()));
        bench.pass(Duration::from_millis(computed_prompt.0 + 10));
        bench.vacate_with(n, PlaceRelease { computed_prompt, ..end(PlaceOutcome::Finished) });
    }
}

#[test]
fn a_call_waits_for_the_full_target_that_holds_its_prefix() {
    // The holder is full, the other target idle. Computing the prefix there would take five
    // seconds; the holder's call ends sooner.
    let mut bench = Bench::new(vec![target("t1", "a", 1), target("t2", "a", 1)]);
    learn_costs(&mut bench);
    bench.ask(1, PlaceRequest { avoid: Some(id("t2")), ..long(1) });
    bench.vacate(1);
    bench.ask(2, PlaceRequest { avoid: Some(id("t2")), ..request("x", "chat", 2) });

    let at_once = bench.ask(3, long(1));
    let after = bench.vacate(2);

    assert_eq!(at_once, []);
    assert_eq!(after, grant(3, "t1"));
}

#[test]
fn a_call_does_not_wait_for_its_prefix_for_ever() {
    let mut bench = Bench::new(vec![target("t1", "a", 1), target("t2", "a", 1)]);
    learn_costs(&mut bench);
    bench.ask(1, PlaceRequest { avoid: Some(id("t2")), ..long(1) });
    bench.vacate(1);
    bench.ask(2, PlaceRequest { avoid: Some(id("t2")), ..request("x", "chat", 2) });

    bench.ask(3, long(1));
    let after = bench.pass(Duration::from_secs(6));

    assert_eq!(after, grant(3, "t2"));
}

#[test]
fn a_new_program_waits_while_those_under_way_fill_the_caches() {
    // There is a free place, but the programs under way need most of the cache: one more
    // would push out prefixes just before they are used. A check-in is not held back.
    let mut bench = Bench::new(vec![target("t", "a", 4)]);
    bench.ask(1, long(1));
    let new = PlaceRequest { attained: Tokens(0), ..long(2) };

    let held_back = bench.ask(2, new);
    let check_in = PlaceRequest { class: ClassId::from_name("arrival"), ..new };
    let check_in = bench.ask(3, check_in);
    bench.vacate(3);
    bench.vacate_with(1, PlaceRelease { program_ended: true, ..end(PlaceOutcome::Finished) });
    let after = bench.pass(Duration::from_secs(1));

    assert_eq!(held_back, []);
    assert_eq!(check_in, grant(3, "t"));
    assert_eq!(after, grant(2, "t"));
}

#[test]
fn a_tenant_that_fills_the_caches_holds_back_only_itself() {
    // Tenant x has programs under way that need nearly all of the room. Its next new program
    // waits; tenant y, which needs less than a third of the room, starts another one.
    let mut bench = Bench::new(vec![target("t", "a", 8)]);
    let new = |tenant, n| PlaceRequest { attained: Tokens(0), ..request(tenant, "chat", n) };
    bench.ask(1, PlaceRequest { prompt: Tokens(6_200), ..request("x", "chat", 1) });
    bench.ask(2, request("y", "chat", 2));

    let x = bench.ask(3, new("x", 3));
    let y = bench.ask(4, new("y", 4));

    assert_eq!((x, y), (vec![], grant(4, "t")));
}

#[test]
fn a_new_program_that_is_held_back_has_its_turn_in_the_end() {
    // Tenant x fills the caches and tenant y never stops asking. The new program of x would
    // be held back until its deadline; one grant in eight goes to the lane that waited longest.
    let mut bench = Bench::new(vec![target("t", "a", 2)]);
    bench.ask(0, PlaceRequest { prompt: Tokens(6_400), ..request("x", "chat", 1) });
    bench.ask(1, request("y", "chat", 2));
    bench.ask(99, PlaceRequest { attained: Tokens(0), ..request("x", "chat", 3) });

    let turn = (2..=24).position(|n| {
        bench.ask(n, request("y", "chat", 2));
        bench.vacate(n - 1) == grant(99, "t")
    });

    assert!(turn.is_some_and(|turn| turn > 0));
}

#[test]
fn a_new_program_larger_than_the_caches_is_not_held_back_for_ever() {
    let mut bench = Bench::new(vec![target("t", "a", 4)]);
    let huge = PlaceRequest { attained: Tokens(0), prompt: Tokens(50_000), ..long(1) };

    let out = bench.ask(1, huge);

    assert_eq!(out, grant(1, "t"));
}

#[test]
fn a_leaving_target_gets_nothing_new() {
    let mut bench = two();
    bench.ask(1, request("x", "chat", 1));
    bench.ask(2, request("x", "chat", 2));
    bench.configure(vec![leaving("t1", "a", 2), target("t2", "a", 2)]);

    let third = bench.ask(3, request("x", "chat", 3));
    let fourth = bench.ask(4, request("x", "chat", 4));

    assert_eq!(third, grant(3, "t2"));
    assert_eq!(fourth, []);
}

#[test]
fn another_zone_gets_what_this_zone_has_no_place_for() {
    // The far target has a window of 4. This zone may use half of it, and nothing once
    // the target says that calls wait there.
    let mut bench = Bench::new(vec![target("near", "a", 1), target("far", "b", 4)]);

    let outs: Vec<_> = (1..=4).map(|n| bench.ask(n, request("x", "chat", n.into()))).collect();
    bench.load("far", 1);
    let next = bench.vacate(2);

    assert_eq!(outs, [grant(1, "near"), grant(2, "far"), grant(3, "far"), vec![]]);
    assert_eq!(next, []);
}

#[test]
fn a_window_follows_what_waits_at_the_engine() {
    // The engine says that calls wait there: they have escaped the order kept here. The
    // window shrinks once for several late reports, and grows again after.
    let mut bench = Bench::new(vec![target("t", "a", 4)]);
    bench.load("t", 2);
    bench.load("t", 2);

    let outs: Vec<_> = (1..=4).map(|n| bench.ask(n, request("x", "chat", n.into()))).collect();
    let grown = bench.load("t", 0);

    assert_eq!(outs[3], []);
    assert_eq!(grown, grant(4, "t"));
}

#[test]
fn a_suspect_runs_alone() {
    // A call was in flight when a target crashed, and may be the cause. It waits until a
    // target is empty, and nothing else is put beside it.
    let mut bench = Bench::new(vec![target("t", "a", 3)]);
    bench.ask(1, request("x", "chat", 1));
    let suspect = bench.ask(2, PlaceRequest { suspect: true, ..request("x", "chat", 2) });

    let beside = bench.ask(3, request("y", "chat", 3));
    let empty = bench.vacate(1);
    let after = bench.vacate(2);

    assert_eq!((suspect, beside), (vec![], vec![]));
    assert_eq!(empty, grant(2, "t"));
    assert_eq!(after, grant(3, "t"));
}

#[test]
fn a_withdrawn_suspect_keeps_no_target_empty() {
    let mut bench = Bench::new(vec![target("t", "a", 3)]);
    bench.ask(1, request("x", "chat", 1));
    bench.ask(2, PlaceRequest { suspect: true, ..request("x", "chat", 2) });
    bench.ask(3, request("y", "chat", 3));

    let out = bench.vacate_with(2, end(PlaceOutcome::NotSent));

    assert_eq!(out, grant(3, "t"));
}

#[test]
fn a_call_is_not_sent_where_it_just_failed() {
    let mut bench = two();

    let out = bench.ask(1, PlaceRequest { avoid: Some(id("t1")), ..request("x", "chat", 1) });

    assert_eq!(out, grant(1, "t2"));
}

#[test]
fn a_target_that_went_away_is_tried_by_one_call_after_a_while() {
    // A dead target fails at once and so looks idle: it would draw in call after call. It
    // gets nothing for a second, then one call, and the rest once that is answered.
    let mut bench = Bench::new(vec![target("t", "a", 2)]);
    bench.ask(1, request("x", "chat", 1));

    bench.vacate_with(1, end(PlaceOutcome::Crashed));
    let at_once = bench.ask(2, request("x", "chat", 2));
    bench.ask(3, request("x", "chat", 3));
    let probe = bench.pass(Duration::from_secs(1));
    let well = bench.vacate(2);

    assert_eq!(at_once, []);
    assert_eq!(probe, grant(2, "t"));
    assert_eq!(well, grant(3, "t"));
}
