//! Retries of model turns, and requests that crash targets.

use camphorwalk_core::calls::{CallRequest, Code, Executed, Request};
use camphorwalk_core::ids::ProgramId;
use camphorwalk_policy::programs::ProgramEvent;
use camphorwalk_policy::shared_types::AttemptOutcome;

use crate::fixture::{Home, PROGRAM, Platform, call, call_request, done, lost, open};

/// The caller gets its answer from another target; the failed one is avoided.
#[test]
fn a_turn_is_retried_elsewhere() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    let ticket = home.ask(platform, call("model", "k1", 0));
    home.finish(platform, lost(false));
    home.finish(platform, done("\"text\""));

    assert_eq!(home.called(ticket).call, 1);
    assert_eq!(home.placed[1].avoid, Some(home.sent[0].target));
    assert_eq!((home.placed.len(), home.vacated.len()), (2, 2));
}

/// The caller is told that its stream broke. A second attempt's text would be spliced onto
/// the part that it has already.
#[test]
fn a_turn_is_not_retried_once_a_part_was_streamed() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    let ticket = home.ask(platform, call("model", "k1", 0));
    home.finish(platform, AttemptOutcome::Lost { streamed: true, crashed: false });

    let refusal = home.refusal(ticket);
    assert_eq!((refusal.code, refusal.ran), (Code::OutcomeUnknown, Executed::Maybe));
    assert_eq!(home.sent.len(), 1);
}

/// Callers are told of failures at once when all targets fail: retries are a tenth of first
/// tries, after a burst of ten, so that they do not multiply the load.
#[test]
fn retries_have_a_budget() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    for number in 0..30 {
        home.ask(platform, call("look", &format!("k{number}"), 0));
        let mut tries = home.sent.len();

        loop {
            home.finish(platform, AttemptOutcome::Failed { message: "no".into() });

            if home.sent.len() == tries {
                break;
            }

            tries = home.sent.len();
        }
    }

    assert_eq!(home.sent.len(), 30 + 12);
}

/// The caller is never told "not run" after an attempt that may have run. The second try
/// finds no place.
#[test]
fn not_run_is_not_said_after_a_lost_attempt() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let ticket = home.ask(platform, call("model", "k1", 0));
    home.finish(platform, lost(false));

    home.finish(platform, AttemptOutcome::Refused { message: "full".into() });
    while home.sent.len() > home.vacated.len() {
        home.finish(platform, AttemptOutcome::NotSent);
    }

    let refusal = home.refusal(ticket);
    assert_eq!((refusal.code, refusal.ran), (Code::Overloaded, Executed::Maybe));
}

/// The caller of a request that crashes targets gets a final answer after the second crash,
/// and at once when it sends it again, with another key and from another program.
#[test]
fn a_request_that_crashes_two_targets_is_quarantined() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    home.ask(platform, open(ProgramId(8)));
    let again = |program, key: &str| {
        let first = call_request("model", "k1", 0);
        Request::Call(CallRequest { program, key: key.into(), ..first })
    };

    let first = home.ask(platform, again(PROGRAM, "k1"));
    home.finish(platform, lost(true));
    home.finish(platform, lost(true));
    let second = home.ask(platform, again(ProgramId(8), "k2"));

    assert!(!home.placed[0].suspect && home.placed[1].suspect);
    let refusals = [home.refusal(first), home.refusal(second)];
    assert_eq!(refusals.clone().map(|r| r.code), [Code::Quarantined, Code::Quarantined]);
    assert_eq!(refusals.map(|r| r.ran), [Executed::Maybe, Executed::No]);
    assert_eq!((home.sent.len(), home.quarantined.len()), (2, 1));
}

/// The caller of an innocent request that was in flight beside the crashing one gets its
/// answer: its second try, made alone, clears it.
#[test]
fn an_innocent_suspect_is_cleared() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    for number in 0..3 {
        let ticket = home.ask(platform, call("look", &format!("k{number}"), number));
        home.finish(platform, lost(true));
        home.finish(platform, done("\"seen\""));
        assert_eq!(home.called(ticket).call, number + 1);
    }

    assert!(home.quarantined.is_empty());
}

/// Another host saw the crashes; its finding holds here, too.
#[test]
fn a_quarantine_found_elsewhere_holds_here() {
    let platform = &mut Platform::new();
    let mut other = Home::with_program(platform, 1);
    other.ask(platform, call("model", "k1", 0));
    other.finish(platform, lost(true));
    other.finish(platform, lost(true));
    let digest = other.quarantined[0];
    let mut home = Home::new(platform, 2);

    home.event(platform, ProgramEvent::Quarantined(digest));
    let ticket = home.ask(platform, call("model", "k1", 0));

    assert_eq!(home.refusal(ticket).code, Code::Quarantined);
    assert!(home.sent.is_empty());
}
