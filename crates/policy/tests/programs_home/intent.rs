//! Calls that must not be repeated: at most one run, and "not run" only where it is proved.

use camphorwalk_core::calls::{Code, Executed};
use camphorwalk_policy::programs::ProgramEvent;
use camphorwalk_policy::shared_types::AttemptOutcome;

use crate::fixture::{Home, Mode, PARTITION, Platform, call, call_with_tail, done, lost};

/// The caller sees its deposit taken once. The intent's write hangs: nothing is sent until
/// the platform holds it, because the next home could not tell otherwise.
#[test]
fn nothing_is_sent_before_the_intent_is_durable() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    platform.mode = Mode::Hang;

    let ticket = home.ask(platform, call("deposit", "k1", 0));
    let sent_before = home.sent.len();
    platform.mode = Mode::Up;
    home.release(platform);
    home.finish(platform, done("\"paid\""));

    assert_eq!(sent_before, 0);
    assert_eq!(home.called(ticket).call, 1);
}

/// The caller is told at once that its deposit was not taken, and may come back. The
/// platform refuses the intent, so nothing was sent; the same key then runs once.
#[test]
fn a_refused_intent_is_not_run_and_may_be_tried_again() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    platform.mode = Mode::Away;

    let first = home.ask(platform, call("deposit", "k1", 0));
    let second = home.ask(platform, call("deposit", "k1", 0));
    platform.mode = Mode::Up;
    home.pass(platform, 5_000);
    let third = home.run(platform, call("deposit", "k1", 0), "\"paid\"");

    for ticket in [first, second] {
        let refusal = home.refusal(ticket);
        assert_eq!((refusal.code, refusal.ran), (Code::PlatformUnavailable, Executed::No));
        assert!(refusal.retry_after.is_some());
    }
    assert_eq!((third.call, home.sent.len()), (1, 1));
}

/// The caller is told "not run" and the deposit is never taken for it. The intent's write
/// took effect but its answer was lost: the home gives the call up, learns later that the
/// intent stands, and writes that it did not run. A refusal in between settles nothing. A new
/// home lets the key run.
#[test]
fn an_intent_in_doubt_is_never_sent() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    platform.mode = Mode::AnswersLost;

    let ticket = home.ask(platform, call("deposit", "k1", 0));
    let blocked = home.ask(platform, call("model", "k2", 0));
    platform.mode = Mode::Away;
    home.pass(platform, 1_000);
    platform.mode = Mode::Up;
    home.pass(platform, 5_000);
    let settled = home.run(platform, call("model", "k2", 0), "\"text\"");
    let mut new = Home::new(platform, 2);
    let again = new.run(platform, call("deposit", "k1", 1), "\"paid\"");

    assert_eq!(home.refusal(ticket).ran, Executed::No);
    assert_eq!(home.refusal(blocked).code, Code::PlatformUnavailable);
    assert_eq!((settled.stored, home.fenced), (true, 0));
    assert_eq!((home.sent.len(), new.sent.len()), (1, 1));
    assert_eq!(again.call, 2);
}

/// The caller is told that the deposit may have been taken; it is not taken again. The home
/// is paused between the durable intent and the answer, and another host takes over: from
/// the journal alone it cannot know whether the call was sent.
#[test]
fn an_intent_without_outcome_is_not_repeated_by_the_next_home() {
    let platform = &mut Platform::new();
    let mut old = Home::with_program(platform, 1);
    old.ask(platform, call("deposit", "k1", 0));

    let mut new = Home::new(platform, 2);
    let repeat = new.ask(platform, call("deposit", "k1", 0));
    let next = new.run(platform, call("model", "k2", 1), "\"text\"");

    let refusal = new.refusal(repeat);
    assert_eq!((refusal.code, refusal.ran), (Code::OutcomeUnknown, Executed::Maybe));
    assert_eq!(next.call, 2);
    assert_eq!((old.sent.len(), new.sent.len()), (1, 1));
}

/// The old home's caller gets its whole answer, though the home was fenced meanwhile. It is
/// not stored there; the tail that came with it settles the matter at the new home.
#[test]
fn a_fenced_home_passes_the_answer_on_with_a_tail() {
    let platform = &mut Platform::new();
    let mut old = Home::with_program(platform, 1);
    let ticket = old.ask(platform, call("deposit", "k1", 0));
    let mut new = Home::new(platform, 2);

    old.finish(platform, done("\"paid\""));
    old.pass(platform, 1_000);
    let answer = old.called(ticket);
    let request = call_with_tail("model", "k2", 1, answer.tail.clone());
    new.run(platform, request, "\"text\"");
    let settled = new.ask(platform, call("deposit", "k1", 0));

    assert!(!answer.stored);
    assert_eq!(old.fenced, 1);
    assert_eq!(&*new.called(settled).output, "\"paid\"");
    let mut third = Home::new(platform, 3);
    assert_eq!(&*third.history(platform)[0].output, "\"paid\"");
}

/// The caller is told "not run", and is right to try again: the home knows that no byte
/// went out, although the intent is on record. The second try runs once.
#[test]
fn a_call_that_was_not_sent_may_be_tried_again() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    let first = home.ask(platform, call("deposit", "k1", 0));
    home.finish(platform, AttemptOutcome::NotSent);
    let second = home.run(platform, call("deposit", "k1", 0), "\"paid\"");
    let mut new = Home::new(platform, 2);

    assert_eq!(home.refusal(first).ran, Executed::No);
    assert_eq!(second.call, 1);
    assert_eq!(new.history(platform).len(), 1);
}

/// The caller is told that the deposit may have been taken, now and at each repeat, also by
/// the next home. The connection broke after the request was sent.
#[test]
fn a_lost_answer_is_never_repeated() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);

    let first = home.ask(platform, call("deposit", "k1", 0));
    home.finish(platform, lost(false));
    let repeat = home.ask(platform, call("deposit", "k1", 0));
    let mut new = Home::new(platform, 2);
    let moved = new.ask(platform, call("deposit", "k1", 0));

    for refusal in [home.refusal(first), home.refusal(repeat), new.refusal(moved)] {
        assert_eq!((refusal.code, refusal.ran), (Code::OutcomeUnknown, Executed::Maybe));
    }
    assert_eq!((home.sent.len(), new.sent.len()), (1, 0));
}

/// The caller gets its answer though the platform went away meanwhile; it says that it is
/// not stored. The outcome is written once the platform is back.
#[test]
fn an_outcome_is_written_when_the_platform_is_back() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let ticket = home.ask(platform, call("deposit", "k1", 0));
    platform.mode = Mode::Away;

    home.finish(platform, done("\"paid\""));
    let answer = home.called(ticket);
    platform.mode = Mode::Up;
    home.pass(platform, 5_000);
    let mut new = Home::new(platform, 2);

    assert!(!answer.stored);
    assert_eq!(&*new.history(platform)[0].output, "\"paid\"");
}

/// The caller sees the program's home moving, and "not run" holds. The partition goes to
/// another host while the intent's write is under way; its late reply sends nothing.
#[test]
fn a_late_commit_after_the_partition_went_sends_nothing() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    platform.mode = Mode::Hang;
    let ticket = home.ask(platform, call("deposit", "k1", 0));

    home.event(platform, ProgramEvent::Lost { partition: PARTITION });
    platform.mode = Mode::Up;
    home.release(platform);

    let refusal = home.refusal(ticket);
    assert_eq!((refusal.code, refusal.ran), (Code::Leaving, Executed::No));
    assert!(home.sent.is_empty());
    assert_eq!(home.vacated.len(), 1);
}

/// The caller's program goes on. Its home lost the lease by its own clock and found it again,
/// while the answer to a write was lost: the write took effect, and is read back first.
#[test]
fn a_lease_that_is_found_again_waits_for_a_write_in_doubt() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    home.ask(platform, call("model", "k1", 0));
    platform.mode = Mode::RequestsLost;
    home.finish(platform, done("\"text\""));

    home.event(platform, ProgramEvent::Lost { partition: PARTITION });
    home.regain(platform);
    platform.mode = Mode::Up;
    home.pass(platform, 1_000);
    let next = home.run(platform, call("model", "k2", 1), "\"more\"");

    assert_eq!((next.call, next.stored, home.fenced), (2, true, 0));
}
