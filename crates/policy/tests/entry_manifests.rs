//! From whom a host gets a newer manifest, in virtual time.

use std::time::Duration;

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::manifests::{
    FetchStep, NewerManifest, PendingRequest, check_pending, next_fetch_step,
};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// A version that another host told of at the clock's start.
fn newer() -> NewerManifest {
    NewerManifest {
        version: 2,
        in_force: 1,
        announced_at: at(0),
        store_answers: true,
        last_progress: None,
    }
}

/// Plays a host that heard of a newer version at the clock's start. `store` tells when a part came
/// from it last, at a time. Returns when another host is asked, if it is by `end`.
fn asks_at(end: u64, newer: NewerManifest, store: impl Fn(u64) -> Option<u64>) -> Option<u64> {
    let mut now = 0;

    while now < end {
        let known = NewerManifest { last_progress: store(now).map(at), ..newer };
        match next_fetch_step(at(now), &known) {
            FetchStep::Nothing => return None,
            FetchStep::AskPeer => return Some(now),
            FetchStep::Wait(pause) => now += u64::try_from(pause.as_millis()).unwrap().max(1),
        }
    }
    None
}

/// Guards against a second copy on a slow link on which the first is under way.
#[test]
fn no_host_is_asked_while_the_store_goes_on_sending() {
    let first_part = 200;
    let each = 100;

    let asked = asks_at(3_000, newer(), |now| (now >= first_part).then_some(now - now % each));

    assert_eq!(asked, None);
}

/// Guards against a wait for a store that fell silent in the middle.
#[test]
fn a_host_is_asked_soon_after_the_store_fell_silent() {
    let last_part = 600;

    let asked = asks_at(3_000, newer(), |now| Some(now.min(last_part)));

    assert_eq!(asked, Some(last_part + 250));
}

/// Guards against a host that waits for ever for a transfer which begins again and again.
#[test]
fn a_host_is_asked_when_the_store_takes_too_long() {
    assert_eq!(asks_at(10_000, newer(), Some), Some(3_000));
}

#[test]
fn a_host_that_the_store_turns_away_asks_at_once() {
    let newer = NewerManifest { store_answers: false, ..newer() };

    assert_eq!(asks_at(3_000, newer, |_| None), Some(0));
}

/// Guards against a host that is thought to miss the store and gets a manifest from it.
#[test]
fn parts_from_the_store_count_whatever_else_it_does() {
    let newer = NewerManifest { store_answers: false, ..newer() };

    assert_eq!(next_fetch_step(at(100), &newer), FetchStep::AskPeer);
    let known = NewerManifest { last_progress: Some(at(90)), ..newer };
    assert_eq!(next_fetch_step(at(100), &known), FetchStep::Wait(Duration::from_millis(240)));
}

#[test]
fn a_version_that_is_in_force_is_not_asked_for() {
    for in_force in [2, 3] {
        assert_eq!(
            next_fetch_step(at(9_000), &NewerManifest { in_force, ..newer() }),
            FetchStep::Nothing
        );
    }
}

/// Plays a question that was put at the clock's start to a host whose news come each `period` but
/// not from `silent_from` on. Returns when it is given up.
fn given_up_at(period: u64, silent_from: u64) -> u64 {
    let heard = |now: u64| {
        let last = now.min(silent_from);
        at(last - last % period)
    };

    (0..)
        .find(|now| check_pending(at(*now), at(0), Some(heard(*now))) == PendingRequest::GiveUp)
        .unwrap()
}

/// Guards against a copy that is given up while it is under way, and asked for anew.
#[test]
fn a_question_is_kept_up_while_the_other_host_may_be_sending() {
    assert_eq!(given_up_at(100, 300), 3_000);
}

#[test]
fn a_question_is_given_up_when_later_news_came_before_its_answer() {
    assert_eq!(given_up_at(100, u64::MAX), 1_000);
}

#[test]
fn a_question_to_a_host_that_was_never_heard_ends() {
    assert_eq!(check_pending(at(2_999), at(0), None), PendingRequest::Wait);
    assert_eq!(check_pending(at(3_000), at(0), None), PendingRequest::GiveUp);
}
