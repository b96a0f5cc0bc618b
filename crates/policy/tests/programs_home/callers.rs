//! Callers that are gone, and keys that are withdrawn.

use camphorwalk_core::calls::{CallOutcome, Code, Executed, Reply, Request};
use camphorwalk_core::ids::KeyId;
use camphorwalk_policy::programs::ProgramEvent;
use camphorwalk_policy::shared_types::AttemptOutcome;

use crate::fixture::{Home, PROGRAM, Platform, call, done};

/// The caller hung up on a turn: the engine stops, and the next call may come.
#[test]
fn a_turn_that_nobody_waits_for_is_cancelled() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let ticket = home.ask(platform, call("model", "k1", 0));

    home.event(platform, ProgramEvent::CallerGone { ticket });
    let cancelled = home.cancelled;
    home.finish(platform, AttemptOutcome::Cancelled);
    let next = home.run(platform, call("model", "k2", 0), "\"text\"");

    assert_eq!(cancelled, 1);
    assert_eq!(next.call, 1);
    assert_eq!(home.vacated.len(), 2);
}

/// The caller hung up on a deposit: it runs on, and the outcome is there when it asks.
#[test]
fn a_deposit_that_nobody_waits_for_is_recorded() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let ticket = home.ask(platform, call("deposit", "k1", 0));

    home.event(platform, ProgramEvent::CallerGone { ticket });
    home.finish(platform, done("\"paid\""));
    let outcome = home.ask(platform, Request::Outcome { program: PROGRAM, key: "k1".into() });

    assert_eq!(home.cancelled, 0);
    assert!(matches!(home.reply(outcome), Reply::Outcome(CallOutcome::Done(_))));
}

/// The caller's key is withdrawn while its turn streams: the stream is ended and says that
/// the turn may have run. A call that waits for a place did not run.
#[test]
fn a_withdrawn_key_ends_its_turns() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let running = home.ask_as(platform, ("inkwick", 5), call("model", "k1", 0));

    home.event(platform, ProgramEvent::KeyWithdrawn(KeyId(5)));
    home.finish(platform, AttemptOutcome::Cancelled);
    home.hold_places = true;
    let waiting = home.ask_as(platform, ("inkwick", 6), call("model", "k2", 0));
    home.event(platform, ProgramEvent::KeyWithdrawn(KeyId(6)));

    assert_eq!(home.cancelled, 1);
    let (running, waiting) = (home.refusal(running), home.refusal(waiting));
    assert_eq!((running.code, running.ran), (Code::Unauthorized, Executed::Maybe));
    assert_eq!((waiting.code, waiting.ran), (Code::Unauthorized, Executed::No));
}

/// The caller of a withdrawn key is told at once; its deposit runs on and is recorded. One
/// who joined with another key still gets the answer.
#[test]
fn a_withdrawn_key_leaves_others_their_answer() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let first = home.ask_as(platform, ("inkwick", 5), call("deposit", "k1", 0));
    let joined = home.ask_as(platform, ("inkwick", 6), call("deposit", "k1", 0));

    home.event(platform, ProgramEvent::KeyWithdrawn(KeyId(5)));
    let refusal = home.refusal(first);
    home.finish(platform, done("\"paid\""));

    assert_eq!((refusal.code, refusal.ran), (Code::Unauthorized, Executed::Maybe));
    assert_eq!(home.called(joined).call, 1);
}
