//! Calls that crash targets, and calls that only were in flight when targets crashed.

use std::time::Duration;

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::crashes::{
    BLOCK_TIME, CallContent, CrashId, CrashedProcess, Crashes, Fingerprint, MAX_CRASHES,
};

/// The longest time until all hosts must refuse a call after its third crash.
const CONTACT: Duration = Duration::from_millis(3_000);

/// The time from a crash until its host has confirmed it.
const CONFIRMED_AFTER: Duration = Duration::from_millis(900);

fn call(number: u64) -> CallContent {
    CallContent::new(Fingerprint(number))
}

/// Returns a turn with the input "go on" of the conversation with the given earlier turns.
fn turn_of(conversation: &str) -> CallContent {
    CallContent::continuing(Fingerprint(77), format!("{conversation} go on").as_bytes())
}

fn crash(number: u64) -> CrashedProcess {
    CrashedProcess { id: CrashId(number), release: 1, has_answered: true }
}

/// A crash of a process that never answered anything.
fn early_crash(number: u64) -> CrashedProcess {
    CrashedProcess { has_answered: false, ..crash(number) }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Records the crashes with the given numbers, a second apart, with the same calls in flight.
/// Returns the time of the last one.
fn crash_all(
    crashes: &mut Crashes,
    ids: impl Iterator<Item = u64>,
    calls: &[CallContent],
) -> Instant {
    let mut last = at(0);
    for id in ids {
        last = at(id * 1_000);
        crashes.record(last, last, crash(id), calls);
    }
    last
}

/// Delivers to a host what another one reports at `now`.
fn deliver(now: Instant, from: &mut Crashes, to: &mut Crashes) {
    let updates = from.take_updates(now);
    updates.crashes.iter().for_each(|report| to.record_remote(now, now, report));
    updates.cleared.iter().for_each(|call| to.record_remote_completed(now, *call));
}

#[test]
fn a_crash_counts_once_however_many_calls_and_hosts_saw_it_and_however_often_it_is_reported() {
    // Guards against one crash with three calls of the same content in flight that blocks them.
    let mut here = Crashes::default();
    let mut there = Crashes::default();

    for host in [&mut here, &mut there] {
        for _ in 0..3 {
            host.record(at(900), at(0), crash(1), &[call(5), call(5), call(5)]);
        }
    }
    let report = here.own_reports(at(1_000));
    deliver(at(1_000), &mut here, &mut there);
    for late in [1_000, 2_000, 10_000] {
        report.iter().for_each(|report| there.record_remote(at(late), at(late), report));
    }

    assert_eq!(there.count(call(5)), 1);
    assert!(!there.is_blocked(at(10_000), call(5)));
}

#[test]
fn a_call_that_crashes_targets_is_blocked_at_every_host_after_the_third_crash() {
    // Guards against hosts that count only the crashes that they saw themselves.
    let mut hosts = [Crashes::default(), Crashes::default(), Crashes::default()];

    for (id, now) in [(1, at(0)), (2, at(1_600)), (3, at(3_200))] {
        let seen_by = id as usize - 1;
        let confirmed = now + CONFIRMED_AFTER;
        hosts[seen_by].record(confirmed, now, crash(id), &[call(5)]);
        let report = hosts[seen_by].take_updates(confirmed).crashes.remove(0);
        let others = hosts.iter_mut().enumerate().filter(|(host, _)| *host != seen_by);
        others.for_each(|(_, host)| host.record_remote(confirmed, confirmed, &report));
    }

    for host in &mut hosts {
        assert!(host.is_blocked(at(3_200) + CONTACT, call(5)));
        assert!(host.take_updates(at(6_200)).crashes.is_empty());
    }
}

#[test]
fn a_host_that_missed_a_report_or_started_later_learns_of_all_crashes() {
    // Guards against a lost status update after which a host sends a blocked call on.
    let mut here = Crashes::default();
    let last = crash_all(&mut here, 1..=3, &[call(5)]);
    here.take_updates(last);

    let mut new = Crashes::default();
    for report in here.own_reports(last) {
        new.record_remote(last, last, &report);
    }

    assert!(new.is_blocked(last, call(5)));
    assert!(new.own_reports(last).is_empty());
}

#[test]
fn turns_of_other_conversations_with_the_same_input_are_not_blocked() {
    // Guards against three crashes, each with a turn of another conversation in flight, after which
    // no turn with this input is served.
    let mut crashes = Crashes::default();
    for (id, conversation) in [(1, "a"), (2, "b"), (3, "c")] {
        crashes.record(at(id), at(id), crash(id), &[turn_of(conversation)]);
    }

    for conversation in ["a", "b", "c", "d"] {
        assert!(!crashes.is_blocked(at(4), turn_of(conversation)), "{conversation}");
    }
}

#[test]
fn a_turn_that_crashes_targets_is_blocked_whatever_its_program() {
    // Guards against a turn that is let through as its conversation has turns that are answered.
    let mut crashes = Crashes::default();
    let last = crash_all(&mut crashes, 1..=3, &[turn_of("a")]);

    crashes.record_completed(last, turn_of("b"));

    assert!(crashes.is_blocked(last, turn_of("a")));
    assert!(!crashes.is_blocked(last, turn_of("b")));
}

#[test]
fn a_turn_that_crashes_targets_in_ever_new_conversations_is_blocked_after_two_more_crashes() {
    // Guards against a call that evades the count because its earlier turns differ each time. Three
    // retries may reach targets after the third crash.
    let mut crashes = Crashes::default();
    let mut reached = 0;

    for id in 0..20 {
        let turn = turn_of(&id.to_string());
        if !crashes.is_blocked(at(id * 10_000), turn) {
            reached += 1;
            crashes.record(at(id * 10_000), at(id * 10_000), crash(id), &[turn]);
        }
    }

    assert!(reached <= MAX_CRASHES + 3, "{reached} crashes");
}

#[test]
fn a_call_that_was_answered_after_a_crash_is_no_suspect_of_it() {
    // Guards against calls that are blocked although they run, because targets crashed beside them.
    let mut here = Crashes::default();
    let mut there = Crashes::default();

    for id in 1..=10 {
        let now = at(id * 1_000);
        here.record(now, now, crash(id), &[call(5)]);
        deliver(now, &mut here, &mut there);
        there.record_completed(now + Duration::from_millis(1), call(5));
        deliver(now + Duration::from_millis(2), &mut there, &mut here);
    }

    for host in [here, there] {
        assert_eq!(host.count(call(5)), 0);
        assert!(!host.has_suspects());
    }
}

#[test]
fn a_crash_that_is_reported_after_the_retry_was_answered_does_not_count() {
    // Guards against the delay with which a crash is confirmed: the retry may have been answered
    // before, at another host.
    let mut here = Crashes::default();
    let mut there = Crashes::default();

    for id in 1..=3 {
        let crashed = at(id * 1_000);
        there.record_completed(crashed + Duration::from_millis(300), call(5));
        here.record(crashed + CONFIRMED_AFTER, crashed, crash(id), &[call(5)]);
        deliver(crashed + CONFIRMED_AFTER, &mut here, &mut there);
    }

    assert_eq!(there.count(call(5)), 0);
}

#[test]
fn an_answer_before_a_crash_does_not_clear_the_call() {
    // Guards against a call that runs once, and crashes targets from then on.
    let mut crashes = Crashes::default();

    crashes.record_completed(at(500), call(5));
    let last = crash_all(&mut crashes, 1..=3, &[call(5)]);

    assert!(crashes.is_blocked(last, call(5)));
}

#[test]
fn calls_beside_the_one_that_crashes_targets_are_served() {
    // Guards against innocent calls that are refused because a guilty one ran beside them.
    let mut crashes = Crashes::default();
    let (guilty, beside) = (call(1), call(2));

    crashes.record(at(1_000), at(1_000), crash(1), &[guilty, beside]);
    crashes.record(at(2_000), at(2_000), crash(2), &[guilty, beside, call(3)]);
    crashes.record(at(3_000), at(3_000), crash(3), &[guilty, call(4)]);

    assert!(crashes.is_blocked(at(3_000) + CONTACT, guilty));
    for innocent in [beside, call(3), call(4)] {
        assert!(!crashes.is_blocked(at(3_000) + CONTACT, innocent));
    }
}

#[test]
fn a_call_is_not_blocked_for_crashes_that_another_call_explains() {
    // Guards against an innocent call that was in flight in three of the crashes of a guilty one.
    let mut crashes = Crashes::default();
    let (guilty, beside) = (call(1), call(2));

    let last = crash_all(&mut crashes, 1..=3, &[guilty, beside]);
    assert!(crashes.is_blocked(last, guilty));
    let last = crash_all(&mut crashes, 4..=4, &[guilty]);

    assert!(crashes.is_blocked(last, guilty));
    assert!(!crashes.is_blocked(last, beside));
}

#[test]
fn a_release_that_crashes_under_all_calls_blocks_none_of_them() {
    // Guards against a bad release that gets each call blocked that meets three of its processes.
    let mut crashes = Crashes::default();
    let mut id = 0;
    for round in 0..3 {
        for number in 0..6 {
            id += 1;
            let now = at(round * 10_000 + id * 100);
            crashes.record(now, now, early_crash(id), &[call(number)]);
        }
    }

    let now = at(30_000);
    assert!((0..6).all(|number| crashes.count(call(number)) == 3));
    assert!((0..6).all(|number| !crashes.is_blocked(now, call(number))));
}

#[test]
fn a_few_calls_that_crash_targets_right_after_their_start_are_blocked() {
    // Guards against guilty calls that pass for a bad release where there is no other traffic.
    let mut crashes = Crashes::default();
    let mut id = 0;
    for round in 0..3 {
        for number in 0..3 {
            id += 1;
            let now = at(round * 10_000 + id * 100);
            crashes.record(now, now, early_crash(id), &[call(number)]);
        }
    }

    assert!((0..3).all(|number| crashes.is_blocked(at(30_000), call(number))));
}

#[test]
fn a_bad_release_does_not_excuse_a_call_that_crashes_sound_processes() {
    // Guards against a guilty call that is served during the roll-out of a bad release.
    let mut crashes = Crashes::default();
    for id in 1..=20 {
        crashes.record(at(id), at(id), early_crash(id), &[call(id)]);
    }
    for id in 21..=23 {
        crashes.record(at(id), at(id), crash(id), &[call(99)]);
    }

    assert!(crashes.is_blocked(at(30), call(99)));
}

#[test]
fn a_block_ends_after_its_time_and_one_further_crash_renews_it() {
    // Guards against a record that is never looked at again, which refuses an innocent call until
    // the host ends, and against a guilty one that crashes three more targets each time.
    let mut crashes = Crashes::default();
    let last = crash_all(&mut crashes, 1..=3, &[call(5)]);

    let almost = last + BLOCK_TIME.saturating_sub(Duration::from_millis(1));
    assert!(crashes.is_blocked(almost, call(5)));
    let later = last + BLOCK_TIME;
    assert!(!crashes.is_blocked(later, call(5)));
    crashes.record(later, later, crash(4), &[call(5)]);

    assert!(crashes.is_blocked(later, call(5)));
}

#[test]
fn crashes_are_forgotten_by_age_and_beyond_a_number() {
    // Guards against records that fill a host's memory over weeks of crashes.
    let mut crashes = Crashes::default();

    for id in 0..10_000 {
        crashes.record(at(id), at(id), crash(id), &[call(id)]);
    }
    assert!((0..9_000).all(|id| crashes.count(call(id)) == 0));
    let later = at(10_000) + Duration::from_secs(1_000);
    crashes.record(later, later, crash(10_001), &[call(10_001)]);

    assert!((0..10_000).all(|id| crashes.count(call(id)) == 0));
}
