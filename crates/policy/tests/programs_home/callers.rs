//! Callers that disconnect and API keys that are withdrawn.

use camphorwalk_core::calls::{CallOutcome, Code, Executed, Reply, Request};
use camphorwalk_core::ids::KeyId;
use camphorwalk_policy::programs::ProgramEvent;
use camphorwalk_policy::shared_types::AttemptOutcome;

use crate::fixture::{HomeHost, PROGRAM, Platform, call, done};

/// When the only caller of a model turn disconnects, the attempt is cancelled and the program
/// accepts the next call.
#[test]
fn a_turn_that_nobody_waits_for_is_cancelled() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let origin = home.send(platform, call("model", "k1", 0));

    home.process(platform, ProgramEvent::CallerGone { origin });
    let cancelled = home.cancelled;
    home.end_attempt(platform, AttemptOutcome::Cancelled);
    let next = home.run_call(platform, call("model", "k2", 0), "\"text\"");

    assert_eq!(cancelled, 1);
    assert_eq!(next.call, 1);
    assert_eq!(home.released.len(), 2);
}

/// When the only caller of a deposit disconnects, the deposit still runs to its end, and its
/// outcome can be queried.
#[test]
fn a_deposit_that_nobody_waits_for_is_recorded() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let origin = home.send(platform, call("deposit", "k1", 0));

    home.process(platform, ProgramEvent::CallerGone { origin });
    home.end_attempt(platform, done("\"paid\""));
    let outcome = home.send(platform, Request::Outcome { program: PROGRAM, key: "k1".into() });

    assert_eq!(home.cancelled, 0);
    assert!(matches!(home.reply(outcome), Reply::Outcome(CallOutcome::Done(_))));
}

/// Withdrawing an API key cancels its running turn, which may have run. A call that waits for a
/// place is refused as not run.
#[test]
fn a_withdrawn_key_ends_its_turns() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let running = home.send_as(platform, ("inkwick", 5), call("model", "k1", 0));

    home.process(platform, ProgramEvent::KeyWithdrawn(KeyId(5)));
    home.end_attempt(platform, AttemptOutcome::Cancelled);
    home.hold_places = true;
    let waiting = home.send_as(platform, ("inkwick", 6), call("model", "k2", 0));
    home.process(platform, ProgramEvent::KeyWithdrawn(KeyId(6)));

    assert_eq!(home.cancelled, 1);
    let (running, waiting) = (home.refusal(running), home.refusal(waiting));
    assert_eq!((running.code, running.ran), (Code::Unauthorized, Executed::Maybe));
    assert_eq!((waiting.code, waiting.ran), (Code::Unauthorized, Executed::No));
}

/// Withdrawing an API key refuses its caller at once, but a deposit runs to its end and is
/// recorded. A caller that joined with another key still gets the answer.
#[test]
fn a_withdrawn_key_does_not_affect_other_callers() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let first = home.send_as(platform, ("inkwick", 5), call("deposit", "k1", 0));
    let joined = home.send_as(platform, ("inkwick", 6), call("deposit", "k1", 0));

    home.process(platform, ProgramEvent::KeyWithdrawn(KeyId(5)));
    let refusal = home.refusal(first);
    home.end_attempt(platform, done("\"paid\""));

    assert_eq!((refusal.code, refusal.ran), (Code::Unauthorized, Executed::Maybe));
    assert_eq!(home.called(joined).call, 1);
}
