//! Order, repeats and history of a program's calls.

use camphorwalk_core::calls::{CallOutcome, Code, Executed, Reply, Request};
use camphorwalk_policy::programs::ProgramEvent;

use crate::fixture::{HomeHost, Mode, PARTITION, PROGRAM, Platform, call, call_request, done};

#[test]
fn calls_follow_the_head() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    let first = home.run_call(platform, call("model", "k1", 0), "\"one\"");
    let stale = home.send(platform, call("model", "k2", 0));
    let second = home.run_call(platform, call("deposit", "k2", 1), "\"two\"");

    assert_eq!((first.call, first.stored), (1, true));
    assert_eq!((second.call, second.stored), (2, true));
    let refusal = home.refusal(stale);
    assert_eq!(
        (refusal.code, refusal.ran, refusal.head),
        (Code::OutOfOrder, Executed::No, Some(1))
    );
    let keys: Vec<_> = home.history(platform).into_iter().map(|call| call.key).collect();
    assert_eq!(keys, ["k1".into(), "k2".into()]);
}

#[test]
fn a_repeat_gets_the_recorded_answer() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    let first = home.run_call(platform, call("deposit", "k1", 0), "\"paid\"");

    let again = home.send(platform, call("deposit", "k1", 0));

    assert_eq!(home.called(again), first);
    assert_eq!(home.dispatches.len(), 1);
}

#[test]
fn a_repeat_joins_the_call_that_runs() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    let first = home.send(platform, call("deposit", "k1", 0));
    let joined = home.send(platform, call("deposit", "k1", 0));
    let other = home.send(platform, call("deposit", "k2", 0));
    home.end_attempt(platform, done("\"paid\""));

    assert_eq!(home.called(first), home.called(joined));
    assert_eq!(home.refusal(other).code, Code::OutOfOrder);
    assert_eq!(home.dispatches.len(), 1);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    home.run_call(platform, call("deposit", "k1", 0), "\"paid\"");
    let mut other = call_request("deposit", "k1", 1);
    other.body = [1; 32];

    let origin = home.send(platform, Request::Call(other));

    assert_eq!(home.refusal(origin).code, Code::KeyReused);
}

#[test]
fn another_tenants_program_appears_not_to_exist() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);

    let theirs = home.send_as(platform, ("inzira", 2), call("model", "k1", 0));
    let none = home.send_as(platform, ("inzira", 2), Request::View { program: PROGRAM });

    assert_eq!(home.refusal(theirs), home.refusal(none));
    assert_eq!(home.refusal(none).code, Code::NotFound);
}

#[test]
fn a_new_home_reads_the_history_and_outcomes() {
    let platform = &mut Platform::new();
    let mut old = HomeHost::with_program(platform, 1);
    let first = old.run_call(platform, call("deposit", "k1", 0), "\"paid\"");
    old.run_call(platform, call("model", "k2", 1), "\"text\"");
    let before = old.history(platform);

    let mut new = HomeHost::new(platform, 2);
    let outcome = new.send(platform, Request::Outcome { program: PROGRAM, key: "k1".into() });

    assert_eq!(new.history(platform), before);
    assert_eq!(new.reply(outcome), &Reply::Outcome(CallOutcome::Done(first)));
}

/// A deposit ran, and its repeat reaches a host that is not, or not yet, the home host and
/// cannot look it up. If that host answered "not run", the caller could pay a second time by
/// other means.
#[test]
fn a_call_that_cannot_be_looked_up_may_have_run() {
    let platform = &mut Platform::new();
    let mut home = HomeHost::with_program(platform, 1);
    home.run_call(platform, call("deposit", "k1", 0), "\"paid\"");

    home.process(platform, ProgramEvent::Lost { partition: PARTITION });
    let gone = home.send(platform, call("deposit", "k1", 0));
    platform.mode = Mode::Unavailable;
    home.acquire(platform);
    let parked = home.send(platform, call("deposit", "k1", 0));
    home.advance(platform, 2_000);

    for refusal in [home.refusal(gone), home.refusal(parked)] {
        assert_eq!((refusal.code, refusal.ran), (Code::Leaving, Executed::Maybe));
        assert!(refusal.retry_after.is_some());
    }
}
