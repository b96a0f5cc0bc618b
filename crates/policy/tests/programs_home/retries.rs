//! Retries of model turns, and requests that crash targets.

use camphorwalk_core::calls::{CallRequest, Code, Executed, Request};
use camphorwalk_core::ids::{ProgramId, TargetId};
use camphorwalk_policy::programs::ProgramEvent;
use camphorwalk_policy::shared_types::AttemptOutcome;

use crate::fixture::{
    HomeHost, PROGRAM, Platform, call, call_request, connection_lost, done, open,
};

/// A lost turn is retried on another target, and the target that failed is avoided.
#[test]
fn a_turn_is_retried_elsewhere() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    let origin = home.send(platform, call("model", "k1", 0));
    home.end_attempt(platform, connection_lost(false));
    home.end_attempt(platform, done("\"text\""));

    assert_eq!(home.called(origin).call, 1);
    assert_eq!(home.placed[1].avoid, Some(home.dispatches[0].target));
    assert_eq!((home.placed.len(), home.released.len()), (2, 2));
}

/// After a part of the answer was streamed there is no retry: the caller would get the text of
/// a second attempt appended to that part.
#[test]
fn a_turn_is_not_retried_once_a_part_was_streamed() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    let origin = home.send(platform, call("model", "k1", 0));
    home.end_attempt(platform, AttemptOutcome::Lost { streamed: true, crashed: false });

    let refusal = home.refusal(origin);
    assert_eq!((refusal.code, refusal.ran), (Code::OutcomeUnknown, Executed::Maybe));
    assert_eq!(home.dispatches.len(), 1);
}

/// When all targets fail, retries are limited to one per ten first attempts, after a burst of
/// ten. Otherwise they would multiply the load on failing targets.
#[test]
fn retries_have_a_budget() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    for number in 0..30 {
        home.send(platform, call("look", &format!("k{number}"), 0));
        let mut tries = home.dispatches.len();

        loop {
            home.end_attempt(platform, AttemptOutcome::Failed { message: "no".into() });

            if home.dispatches.len() == tries {
                break;
            }

            tries = home.dispatches.len();
        }
    }

    assert_eq!(home.dispatches.len(), 30 + 12);
}

/// An attempt is lost and its retry finds no target. The call may have run, so "not run" must
/// not be reported.
#[test]
fn not_run_is_not_reported_after_a_lost_attempt() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let origin = home.send(platform, call("model", "k1", 0));
    home.end_attempt(platform, connection_lost(false));

    home.end_attempt(platform, AttemptOutcome::Refused { message: "full".into() });
    while home.dispatches.len() > home.released.len() {
        home.end_attempt(platform, AttemptOutcome::NotSent);
    }

    let refusal = home.refusal(origin);
    assert_eq!((refusal.code, refusal.ran), (Code::Overloaded, Executed::Maybe));
}

/// After its second crash a request is quarantined and refused. It is recognized at once when
/// it is sent again, also with another key and from another program.
#[test]
fn a_request_that_crashes_two_targets_is_quarantined() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    home.send(platform, open(ProgramId(8)));
    let again = |program, key: &str| {
        let first = call_request("model", "k1", 0);
        Request::Call(CallRequest { program, key: key.into(), ..first })
    };

    let first = home.send(platform, again(PROGRAM, "k1"));
    home.end_attempt(platform, connection_lost(true));
    home.end_attempt(platform, connection_lost(true));
    let second = home.send(platform, again(ProgramId(8), "k2"));

    assert!(!home.placed[0].suspect && home.placed[1].suspect);
    let refusals = [home.refusal(first), home.refusal(second)];
    assert_eq!(refusals.clone().map(|r| r.code), [Code::Quarantined, Code::Quarantined]);
    assert_eq!(refusals.map(|r| r.ran), [Executed::Maybe, Executed::No]);
    assert_eq!((home.dispatches.len(), home.quarantined.len()), (2, 1));
}

/// A request that was running when another one crashed a target must not be quarantined. Its
/// second attempt, made alone, clears it.
#[test]
fn an_innocent_suspect_is_cleared() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    for number in 0..3 {
        let origin = home.send(platform, call("look", &format!("k{number}"), number));
        home.end_attempt(platform, connection_lost(true));
        home.end_attempt(platform, done("\"seen\""));
        assert_eq!(home.called(origin).call, number + 1);
    }

    assert!(home.quarantined.is_empty());
}

/// Guards against a request that is quarantined after one crash because it was running twice at
/// the target that crashed.
#[test]
fn a_crash_under_two_attempts_of_a_request_counts_once() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    home.send(platform, open(ProgramId(8)));
    home.only_target = Some(TargetId(5));
    for program in [PROGRAM, ProgramId(8)] {
        let first = call_request("model", "k1", 0);
        home.send(platform, Request::Call(CallRequest { program, ..first }));
    }
    let attempts: Vec<_> = home.dispatches.iter().map(|dispatch| dispatch.attempt).collect();
    assert_eq!(attempts.len(), 2);

    for attempt in attempts {
        home.process(platform, ProgramEvent::Ended { attempt, outcome: connection_lost(true) });
    }

    assert!(home.quarantined.is_empty());
}

/// A quarantine announced by another host applies on this host too.
#[test]
fn a_quarantine_of_another_host_applies_here() {
    let platform = &mut Platform::new();
    let mut other = HomeHost::with_program(platform, 1);
    other.send(platform, call("model", "k1", 0));
    other.end_attempt(platform, connection_lost(true));
    other.end_attempt(platform, connection_lost(true));
    let digest = other.quarantined[0];
    let mut home = HomeHost::new(platform, 2);

    home.process(platform, ProgramEvent::Quarantined(digest));
    let origin = home.send(platform, call("model", "k1", 0));

    assert_eq!(home.refusal(origin).code, Code::Quarantined);
    assert!(home.dispatches.is_empty());
}
