//! Calls that are not durable yet, carried by their caller as a sealed tail.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use camphorwalk_core::calls::{CallRequest, Code, Executed, Request};
use camphorwalk_core::ids::ProgramId;

use crate::fixture::{HomeHost, Mode, PROGRAM, Platform, call, call_request, call_with_tail, open};

/// Returns a home host with two turns that are not stored, and their tail.
fn home_with_unstored_turns(platform: &mut Platform) -> (HomeHost, Option<Box<str>>) {
    let mut home = HomeHost::with_program(platform, 1);
    platform.mode = Mode::Unavailable;
    home.run_call(platform, call("model", "k1", 0), "\"one\"");
    let second = home.run_call(platform, call("model", "k2", 1), "\"two\"");
    platform.mode = Mode::Normal;

    assert!(!second.stored);
    (home, second.tail)
}

/// The home host crashes while the platform is unavailable. The caller's tail holds the turns
/// that were not stored, so that the new home host has the complete history.
#[test]
fn a_new_home_adopts_the_tail() {
    let platform = &mut Platform::new();
    let (_, tail) = home_with_unstored_turns(platform);
    let mut new = HomeHost::new(platform, 2);

    let third = new.run_call(platform, call_with_tail("model", "k3", 2, tail), "\"three\"");
    let history = new.history(platform);
    let mut next = HomeHost::new(platform, 3);

    assert_eq!((third.call, third.stored), (3, true));
    assert_eq!(next.history(platform), history);
    assert_eq!(
        history.iter().map(|c| &*c.output).collect::<Vec<_>>(),
        ["\"one\"", "\"two\"", "\"three\""]
    );
}

/// A home host that still has the calls of a tail must not append them a second time.
#[test]
fn a_tail_that_is_known_changes_nothing() {
    let platform = &mut Platform::new();
    let (mut home, tail) = home_with_unstored_turns(platform);

    let third = home.run_call(platform, call_with_tail("model", "k3", 2, tail), "\"three\"");

    assert_eq!(third.call, 3);
    assert_eq!(home.history(platform).len(), 3);
}

/// Another caller continued from the stored head meanwhile. The tail no longer fits the history
/// and is refused with the current head; a repeat of a recorded call is still answered.
#[test]
fn a_tail_of_a_diverged_history_is_refused() {
    let platform = &mut Platform::new();
    let (_, tail) = home_with_unstored_turns(platform);
    let mut new = HomeHost::new(platform, 2);
    new.run_call(platform, call("model", "other", 0), "\"other\"");

    let origin = new.send(platform, call_with_tail("model", "k3", 2, tail.clone()));
    let repeat = new.send(platform, call_with_tail("model", "other", 0, tail));

    let refusal = new.refusal(origin);
    assert_eq!((refusal.code, refusal.ran), (Code::OutOfOrder, Executed::No));
    assert_eq!(refusal.head, Some(1));
    assert_eq!(new.called(repeat).call, 1);
    assert_eq!(new.history(platform).len(), 1);
}

/// Changes the output inside a tail without renewing its authentication code.
fn forge(tail: &str) -> Box<str> {
    let mut bytes = STANDARD_NO_PAD.decode(tail).expect("a tail must be valid base64");
    let at = bytes
        .windows(4)
        .position(|part| part == b"\"one")
        .expect("the tail must contain the output");
    bytes[at..at + 4].copy_from_slice(b"\"two");

    STANDARD_NO_PAD.encode(bytes).into()
}

/// A program id is opened again long after the first program was removed. A tail of the first
/// program must not be mixed into the history of the second.
#[test]
fn a_tail_of_a_former_program_is_refused() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    home.run_call(platform, call("model", "k1", 0), "\"one\"");
    platform.mode = Mode::Unavailable;
    let tail = home.run_call(platform, call("model", "k2", 1), "\"two\"").tail;
    platform.mode = Mode::Normal;
    home.advance(platform, 200_000);
    home.send(platform, open(PROGRAM));
    home.run_call(platform, call("model", "other", 0), "\"other\"");

    let origin = home.send(platform, call_with_tail("model", "k3", 2, tail));
    let history = home.history(platform);
    let mut new = HomeHost::new(platform, 2);

    assert_eq!(home.refusal(origin).code, Code::OutOfOrder);
    assert_eq!(history.len(), 1);
    assert_eq!(new.history(platform), history);
}

/// A tail that was modified, or that belongs to another program, is refused. Otherwise a caller
/// could forge a history.
#[test]
fn a_forged_tail_is_refused() {
    let platform = &mut Platform::new();
    let (_, tail) = home_with_unstored_turns(platform);
    let mut new = HomeHost::new(platform, 2);
    let other = ProgramId(8);
    new.send(platform, open(other));
    let forged = forge(tail.as_deref().expect("the answer must carry a tail"));

    let changed = new.send(platform, call_with_tail("model", "k3", 2, Some(forged)));
    let elsewhere = CallRequest { program: other, tail, ..call_request("model", "k3", 2) };
    let elsewhere = new.send(platform, Request::Call(elsewhere));

    for origin in [changed, elsewhere] {
        let refusal = new.refusal(origin);
        assert_eq!((refusal.code, refusal.ran), (Code::BadRequest, Executed::No));
    }
    assert!(new.history(platform).is_empty());
}

/// The platform hangs. The answer must be returned after the wait of half a second, as not
/// stored and with a tail, and not be delayed until the platform answers.
#[test]
fn a_slow_platform_does_not_delay_the_answer() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let origin = home.send(platform, call("model", "k1", 0));
    platform.mode = Mode::Hang;

    home.end_attempt(platform, crate::fixture::done("\"one\""));
    let early = home.answers.iter().any(|(to, _)| *to == origin);
    home.advance(platform, 500);

    assert!(!early);
    let answer = home.called(origin);
    assert!(!answer.stored && answer.tail.is_some());
}

/// Without the tail the next home host does not know the turns that were not stored. It refuses
/// the call and reports its own head, so that the caller sees what is missing.
#[test]
fn without_the_tail_the_next_home_reports_its_head() {
    let platform = &mut Platform::new();
    home_with_unstored_turns(platform);
    let mut new = HomeHost::new(platform, 2);

    let origin = new.send(platform, call("model", "k3", 2));

    assert_eq!(new.refusal(origin).head, Some(0));
    let view = new.send(platform, Request::View { program: PROGRAM });
    assert!(matches!(new.reply(view), camphorwalk_core::calls::Reply::View(v) if v.head == 0));
}
