//! Whether a host gets a newer manifest from the store or from another host, in virtual time.

use std::time::Duration;

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::manifests::{
    FetchStep, NewerManifest, PendingRequest, check_pending, next_fetch_step,
};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// A version that another host reported at time zero.
fn newer() -> NewerManifest {
    NewerManifest {
        version: 2,
        in_force: 1,
        announced_at: at(0),
        store_answers: true,
        last_progress: None,
    }
}

/// Simulates a host that learns of a newer version at time zero. `store` returns when the last part
/// had arrived from the store, as of a given time. Returns when another host is asked, if that
/// happens before `end`.
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

/// Guards against requesting a second copy over a slow link while the first is still arriving.
#[test]
fn no_host_is_asked_while_the_store_keeps_sending() {
    let first_part = 200;
    let each = 100;

    let asked = asks_at(3_000, newer(), |now| (now >= first_part).then_some(now - now % each));

    assert_eq!(asked, None);
}

/// Guards against waiting on for a store that stopped sending in the middle of the transfer.
#[test]
fn a_host_is_asked_soon_after_the_store_stops_sending() {
    let last_part = 600;

    let asked = asks_at(3_000, newer(), |now| Some(now.min(last_part)));

    assert_eq!(asked, Some(last_part + 250));
}

/// Guards against waiting forever for a transfer that keeps restarting.
#[test]
fn a_host_is_asked_when_the_store_takes_too_long() {
    assert_eq!(asks_at(10_000, newer(), Some), Some(3_000));
}

#[test]
fn a_host_that_the_store_rejects_asks_at_once() {
    let newer = NewerManifest { store_answers: false, ..newer() };

    assert_eq!(asks_at(3_000, newer, |_| None), Some(0));
}

/// Guards against requesting a copy from another host although parts still arrive from a store that
/// seems not to answer.
#[test]
fn parts_from_the_store_count_even_if_it_seems_not_to_answer() {
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

/// Simulates a request that is sent at time zero to a host whose status updates arrive every
/// `period` until `silent_from`. Returns when the request is given up.
fn given_up_at(period: u64, silent_from: u64) -> u64 {
    let heard = |now: u64| {
        let last = now.min(silent_from);
        at(last - last % period)
    };

    (0..)
        .find(|now| check_pending(at(*now), at(0), Some(heard(*now))) == PendingRequest::GiveUp)
        .unwrap()
}

/// Guards against giving up on a copy that is still arriving, and requesting it again.
#[test]
fn a_request_stays_open_while_the_other_host_may_be_sending() {
    assert_eq!(given_up_at(100, 300), 3_000);
}

#[test]
fn a_request_is_given_up_when_later_updates_arrive_before_its_answer() {
    assert_eq!(given_up_at(100, u64::MAX), 1_000);
}

#[test]
fn a_request_to_a_host_that_never_sent_updates_ends() {
    assert_eq!(check_pending(at(2_999), at(0), None), PendingRequest::Wait);
    assert_eq!(check_pending(at(3_000), at(0), None), PendingRequest::GiveUp);
}
