//! Calls that must not be repeated: they run at most once, and "not run" is reported only when
//! it is certain.

use camphorwalk_core::calls::{Code, Executed};
use camphorwalk_policy::programs::ProgramEvent;
use camphorwalk_policy::shared_types::AttemptOutcome;

use crate::fixture::{
    HomeHost, Mode, PARTITION, Platform, call, call_with_tail, connection_lost, done,
};

/// A deposit must not be sent before its intent is durable. If the host crashed in between, the
/// next home host could not know of the deposit, and a repeat would take it twice.
#[test]
fn nothing_is_sent_before_the_intent_is_durable() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    platform.mode = Mode::Hang;

    let origin = home.send(platform, call("deposit", "k1", 0));
    let sent_before = home.dispatches.len();
    platform.mode = Mode::Normal;
    home.release(platform);
    home.end_attempt(platform, done("\"paid\""));

    assert_eq!(sent_before, 0);
    assert_eq!(home.called(origin).call, 1);
}

/// The platform rejects the intent, so nothing was sent. The caller is refused at once with
/// "not run", and the same key may run later, once.
#[test]
fn a_refused_intent_is_not_run_and_may_be_tried_again() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    platform.mode = Mode::Unavailable;

    let first = home.send(platform, call("deposit", "k1", 0));
    let second = home.send(platform, call("deposit", "k1", 0));
    platform.mode = Mode::Normal;
    home.advance(platform, 5_000);
    let third = home.run_call(platform, call("deposit", "k1", 0), "\"paid\"");

    for origin in [first, second] {
        let refusal = home.refusal(origin);
        assert_eq!((refusal.code, refusal.ran), (Code::PlatformUnavailable, Executed::No));
        assert!(refusal.retry_after.is_some());
    }
    assert_eq!((third.call, home.dispatches.len()), (1, 1));
}

/// The write of an intent takes effect but its answer is lost. The call is abandoned and
/// answered with "not run", so it must never be sent, even when a retried write shows that the
/// intent is durable. A rejection of a retry in between proves nothing. The home host then
/// journals that the call did not run, and the key may run on a new home host.
#[test]
fn an_intent_in_doubt_is_never_sent() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    platform.mode = Mode::DropAnswers;

    let origin = home.send(platform, call("deposit", "k1", 0));
    let blocked = home.send(platform, call("model", "k2", 0));
    platform.mode = Mode::Unavailable;
    home.advance(platform, 1_000);
    platform.mode = Mode::Normal;
    home.advance(platform, 5_000);
    let unblocked = home.run_call(platform, call("model", "k2", 0), "\"text\"");
    let mut new = HomeHost::new(platform, 2);
    let again = new.run_call(platform, call("deposit", "k1", 1), "\"paid\"");

    assert_eq!(home.refusal(origin).ran, Executed::No);
    assert_eq!(home.refusal(blocked).code, Code::PlatformUnavailable);
    assert_eq!((unblocked.stored, home.fenced), (true, 0));
    assert_eq!((home.dispatches.len(), new.dispatches.len()), (1, 1));
    assert_eq!(again.call, 2);
}

/// The home host is paused after the intent is durable, and another host takes over. From the
/// journal the new one cannot tell whether the deposit was sent, so it must not run it again.
#[test]
fn an_intent_without_outcome_is_not_repeated_by_the_next_home() {
    let platform = &mut Platform::new();
    let mut old = HomeHost::with_program(platform, 1);
    old.send(platform, call("deposit", "k1", 0));

    let mut new = HomeHost::new(platform, 2);
    let repeat = new.send(platform, call("deposit", "k1", 0));
    let next = new.run_call(platform, call("model", "k2", 1), "\"text\"");

    let refusal = new.refusal(repeat);
    assert_eq!((refusal.code, refusal.ran), (Code::OutcomeUnknown, Executed::Maybe));
    assert_eq!(next.call, 2);
    assert_eq!((old.dispatches.len(), new.dispatches.len()), (1, 1));
}

/// A fenced host still passes on a complete answer. It cannot store the outcome, but the answer
/// carries a tail from which the new home host adopts and journals the outcome.
#[test]
fn a_fenced_home_passes_the_answer_on_with_a_tail() {
    let platform = &mut Platform::new();
    let mut old = HomeHost::with_program(platform, 1);
    let origin = old.send(platform, call("deposit", "k1", 0));
    let mut new = HomeHost::new(platform, 2);

    old.end_attempt(platform, done("\"paid\""));
    old.advance(platform, 1_000);
    let answer = old.called(origin);
    let request = call_with_tail("model", "k2", 1, answer.tail.clone());
    new.run_call(platform, request, "\"text\"");
    let repeat = new.send(platform, call("deposit", "k1", 0));

    assert!(!answer.stored);
    assert_eq!(old.fenced, 1);
    assert_eq!(&*new.called(repeat).output, "\"paid\"");
    let mut third = HomeHost::new(platform, 3);
    assert_eq!(&*third.history(platform)[0].output, "\"paid\"");
}

/// The intent is durable, but the attempt was certainly never sent. The call is answered with
/// "not run" and the key may run again; the next home host must see only one call.
#[test]
fn a_call_that_was_not_sent_may_be_tried_again() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    let first = home.send(platform, call("deposit", "k1", 0));
    home.end_attempt(platform, AttemptOutcome::NotSent);
    let second = home.run_call(platform, call("deposit", "k1", 0), "\"paid\"");
    let mut new = HomeHost::new(platform, 2);

    assert_eq!(home.refusal(first).ran, Executed::No);
    assert_eq!(second.call, 1);
    assert_eq!(new.history(platform).len(), 1);
}

/// The connection breaks after a deposit was sent. This call and all its repeats, also on the
/// next home host, are answered with "may have run"; the deposit is never sent again.
#[test]
fn a_lost_answer_is_never_repeated() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    let first = home.send(platform, call("deposit", "k1", 0));
    home.end_attempt(platform, connection_lost(false));
    let repeat = home.send(platform, call("deposit", "k1", 0));
    let mut new = HomeHost::new(platform, 2);
    let moved = new.send(platform, call("deposit", "k1", 0));

    for refusal in [home.refusal(first), home.refusal(repeat), new.refusal(moved)] {
        assert_eq!((refusal.code, refusal.ran), (Code::OutcomeUnknown, Executed::Maybe));
    }
    assert_eq!((home.dispatches.len(), new.dispatches.len()), (1, 0));
}

/// The platform becomes unavailable while a deposit runs. The caller still gets the answer,
/// marked as not stored, and the outcome is journaled once the platform is available again.
#[test]
fn an_outcome_is_written_when_the_platform_is_available_again() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let origin = home.send(platform, call("deposit", "k1", 0));
    platform.mode = Mode::Unavailable;

    home.end_attempt(platform, done("\"paid\""));
    let answer = home.called(origin);
    platform.mode = Mode::Normal;
    home.advance(platform, 5_000);
    let mut new = HomeHost::new(platform, 2);

    assert!(!answer.stored);
    assert_eq!(&*new.history(platform)[0].output, "\"paid\"");
}

/// The partition is lost while the write of an intent hangs. The call is answered with "not
/// run", so the late reply to that write must not send it.
#[test]
fn a_late_commit_after_the_partition_was_lost_sends_nothing() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    platform.mode = Mode::Hang;
    let origin = home.send(platform, call("deposit", "k1", 0));

    home.process(platform, ProgramEvent::Lost { partition: PARTITION });
    platform.mode = Mode::Normal;
    home.release(platform);

    let refusal = home.refusal(origin);
    assert_eq!((refusal.code, refusal.ran), (Code::Leaving, Executed::No));
    assert!(home.dispatches.is_empty());
    assert_eq!(home.released.len(), 1);
}

/// By its own clock the host loses its lease and then finds that it still holds it, while a
/// write has an unknown outcome. If it read the journal before that write was resolved, it
/// could miss the row, and its next write would conflict.
#[test]
fn a_reacquired_lease_waits_for_a_write_in_doubt() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    home.send(platform, call("model", "k1", 0));
    platform.mode = Mode::DropRequests;
    home.end_attempt(platform, done("\"text\""));

    home.process(platform, ProgramEvent::Lost { partition: PARTITION });
    home.reacquire(platform);
    platform.mode = Mode::Normal;
    home.advance(platform, 1_000);
    let next = home.run_call(platform, call("model", "k2", 1), "\"more\"");

    assert_eq!((next.call, next.stored, home.fenced), (2, true, 0));
}
