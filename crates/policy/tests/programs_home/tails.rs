//! Turns that the platform does not hold yet, carried by their caller.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use camphorwalk_core::calls::{CallRequest, Code, Executed, Request};
use camphorwalk_core::ids::ProgramId;

use crate::fixture::{Home, Mode, PROGRAM, Platform, call, call_request, call_with_tail, open};

/// Returns a program's old home with two turns that are not stored, and their tail.
fn unstored(platform: &mut Platform) -> (Home, Option<Box<str>>) {
    let mut home = Home::with_program(platform, 1);
    platform.mode = Mode::Away;
    home.run(platform, call("model", "k1", 0), "\"one\"");
    let second = home.run(platform, call("model", "k2", 1), "\"two\"");
    platform.mode = Mode::Up;

    assert!(!second.stored);
    (home, second.tail)
}

/// The caller's program goes on with its whole history, though its home died while the
/// platform was away: the caller carried the turns that were not stored.
#[test]
fn a_new_home_adopts_the_tail() {
    let platform = &mut Platform::new();
    let (_, tail) = unstored(platform);
    let mut new = Home::new(platform, 2);

    let third = new.run(platform, call_with_tail("model", "k3", 2, tail), "\"three\"");
    let history = new.history(platform);
    let mut next = Home::new(platform, 3);

    assert_eq!((third.call, third.stored), (3, true));
    assert_eq!(next.history(platform), history);
    assert_eq!(
        history.iter().map(|c| &*c.output).collect::<Vec<_>>(),
        ["\"one\"", "\"two\"", "\"three\""]
    );
}

/// The caller's turns stay where they are, and nothing is taken twice: the home still has
/// what the tail holds.
#[test]
fn a_tail_that_is_known_changes_nothing() {
    let platform = &mut Platform::new();
    let (mut home, tail) = unstored(platform);

    let third = home.run(platform, call_with_tail("model", "k3", 2, tail), "\"three\"");

    assert_eq!(third.call, 3);
    assert_eq!(home.history(platform).len(), 3);
}

/// The caller learns the head and nothing is mixed: another caller went on from the stored
/// head meanwhile, so the tail's turns have no place in the history.
#[test]
fn a_tail_of_another_course_is_refused() {
    let platform = &mut Platform::new();
    let (_, tail) = unstored(platform);
    let mut new = Home::new(platform, 2);
    new.run(platform, call("model", "other", 0), "\"other\"");

    let ticket = new.ask(platform, call_with_tail("model", "k3", 2, tail.clone()));
    let repeat = new.ask(platform, call_with_tail("model", "other", 0, tail));

    let refusal = new.refusal(ticket);
    assert_eq!((refusal.code, refusal.ran), (Code::OutOfOrder, Executed::No));
    assert_eq!(refusal.head, Some(1));
    assert_eq!(new.called(repeat).call, 1);
    assert_eq!(new.history(platform).len(), 1);
}

/// Returns a tail with another output.
fn forge(tail: &str) -> Box<str> {
    let mut bytes = STANDARD_NO_PAD.decode(tail).expect("a tail is base64");
    let at = bytes.windows(4).position(|part| part == b"\"one").expect("the output is there");
    bytes[at..at + 4].copy_from_slice(b"\"two");

    STANDARD_NO_PAD.encode(bytes).into()
}

/// The caller reopened its program long after the first was forgotten. A tail of the first
/// one is not mixed into the second.
#[test]
fn a_tail_of_a_former_program_is_refused() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    home.run(platform, call("model", "k1", 0), "\"one\"");
    platform.mode = Mode::Away;
    let tail = home.run(platform, call("model", "k2", 1), "\"two\"").tail;
    platform.mode = Mode::Up;
    home.pass(platform, 200_000);
    home.ask(platform, open(PROGRAM));
    home.run(platform, call("model", "other", 0), "\"other\"");

    let ticket = home.ask(platform, call_with_tail("model", "k3", 2, tail));
    let history = home.history(platform);
    let mut new = Home::new(platform, 2);

    assert_eq!(home.refusal(ticket).code, Code::OutOfOrder);
    assert_eq!(history.len(), 1);
    assert_eq!(new.history(platform), history);
}

/// The caller cannot write its own history: a tail that was changed, or that belongs to
/// another program, is refused.
#[test]
fn a_forged_tail_is_refused() {
    let platform = &mut Platform::new();
    let (_, tail) = unstored(platform);
    let mut new = Home::new(platform, 2);
    let other = ProgramId(8);
    new.ask(platform, open(other));
    let forged = forge(tail.as_deref().expect("there is a tail"));

    let changed = new.ask(platform, call_with_tail("model", "k3", 2, Some(forged)));
    let elsewhere = CallRequest { program: other, tail, ..call_request("model", "k3", 2) };
    let elsewhere = new.ask(platform, Request::Call(elsewhere));

    for ticket in [changed, elsewhere] {
        let refusal = new.refusal(ticket);
        assert_eq!((refusal.code, refusal.ran), (Code::BadRequest, Executed::No));
    }
    assert!(new.history(platform).is_empty());
}

/// The caller gets its answer after half a second, not after the platform's timeout. The
/// platform is slow: it neither refuses nor answers.
#[test]
fn a_slow_platform_does_not_hold_the_answer() {
    let platform = &mut Platform::new();
    let mut home = Home::with_program(platform, 1);
    let ticket = home.ask(platform, call("model", "k1", 0));
    platform.mode = Mode::Hang;

    home.finish(platform, crate::fixture::done("\"one\""));
    let early = home.answers.iter().any(|(to, _)| *to == ticket);
    home.pass(platform, 500);

    assert!(!early);
    let answer = home.called(ticket);
    assert!(!answer.stored && answer.tail.is_some());
}

/// The caller is told what it must hand back; without it the next home refuses to guess.
#[test]
fn without_the_tail_the_next_home_tells_its_head() {
    let platform = &mut Platform::new();
    unstored(platform);
    let mut new = Home::new(platform, 2);

    let ticket = new.ask(platform, call("model", "k3", 2));

    assert_eq!(new.refusal(ticket).head, Some(0));
    let view = new.ask(platform, Request::View { program: PROGRAM });
    assert!(matches!(new.reply(view), camphorwalk_core::calls::Reply::View(v) if v.head == 0));
}
