//! Evidence of a target's speed and the pace that follows from it.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::status_exchange::{Round, UnsentChanges};
use camphorwalk_policy::entry::target_profiles::{
    PaceChange, Profile, UnsentWork, Work, mean_event_time,
};
use proptest::prelude::*;

const START: Instant = Instant(1_000_000);
const MEAN_US: f64 = 40_000.0;

fn events(count: u32, event_ms: u64) -> Work {
    Work::new(count, Duration::from_millis(event_ms) * count)
}

fn pace_after(work: &[Work]) -> f64 {
    let mut profile = Profile::default();
    work.iter().for_each(|work| profile.record_remote(START, *work));
    profile.update_pace(START, Some(MEAN_US));

    profile.pace()
}

#[test]
fn a_few_events_do_not_make_a_target_slow() {
    // Guards against judging a target that has just started by its first turns.
    assert_eq!(pace_after(&[events(19, 160)]), 1.0);
    assert!(pace_after(&[events(40, 160)]) < 3.1);
    assert!((pace_after(&[events(2_000, 80)]) - 2.0).abs() < 0.05);
}

#[test]
fn evidence_decays_and_a_lasting_change_is_followed_in_seconds() {
    // Guards against sending few calls to a target for long after it has become as fast as others.
    let mut profile = Profile::default();
    profile.record_remote(START, events(500, 80));
    profile.update_pace(START, Some(MEAN_US));
    assert!(profile.effective_pace() > 1.6);

    let mut now = START;
    for _ in 0..80 {
        now = now + Duration::from_millis(100);
        profile.record_remote(now, events(9, 40));
    }

    assert_eq!(profile.update_pace(now, Some(MEAN_US)), Some(PaceChange::Returned));
    assert_eq!(profile.effective_pace(), 1.0);
}

#[test]
fn targets_without_calls_return_to_the_mean() {
    // Guards against a target that is never chosen again, so that nothing more is learned of it.
    let mut profile = Profile::default();
    profile.record_remote(START, events(450, 160));
    assert_eq!(profile.update_pace(START, Some(MEAN_US)), Some(PaceChange::Left));

    profile.update_pace(START + Duration::from_secs(20), Some(MEAN_US));

    assert_eq!(profile.pace(), 1.0);
}

#[test]
fn small_differences_do_not_count() {
    // Guards against moving conversations away from their cached prompts for less than they cost.
    let mut profile = Profile::default();
    profile.record_remote(START, events(2_000, 48));

    assert_eq!(profile.update_pace(START, Some(MEAN_US)), None);

    assert!(profile.pace() > 1.15);
    assert_eq!(profile.effective_pace(), 1.0);
}

#[test]
fn own_events_are_taken_once_and_count_as_those_of_other_hosts() {
    // Guards against reporting events twice, which would outweigh those of other targets.
    let mut profile = Profile::default();
    profile.record_events(30, Duration::from_millis(30 * 80));
    assert_eq!(mean_event_time(START, [profile.evidence()].into_iter()), None);

    assert_eq!(profile.take_unreported(START), Some(events(30, 80)));
    assert_eq!(profile.take_unreported(START), None);

    assert_eq!(mean_event_time(START, [profile.evidence()].into_iter()), Some(80_000.0));
}

#[test]
fn whole_calls_are_no_evidence_of_a_target_that_streams() {
    // Guards against a target that answers some calls with failures at once and so seems fast.
    let mut profile = Profile::default();
    profile.record_call(Duration::from_millis(3));
    profile.record_events(5, Duration::from_millis(200));
    profile.record_call(Duration::from_millis(3));

    assert_eq!(profile.take_unreported(START), Some(events(5, 40)));
}

proptest! {
    #[test]
    fn paces_stay_within_their_bounds(
        work in prop::collection::vec((any::<u32>(), any::<u64>()), 0..20),
        mean in 1.0f64..1e9,
    ) {
        // Guards against a target that attracts all calls of its service by reporting wrong events.
        let mut profile = Profile::default();
        for (events, time_us) in work {
            profile.record_remote(START, Work { events, time_us });
        }

        profile.update_pace(START, Some(mean));

        prop_assert!((0.25..=4.0).contains(&profile.pace()));
    }
}

#[test]
fn events_reach_forwarders_once_although_changes_are_sent_twice() {
    // Guards against counting events twice where updates are forwarded, which repeat earlier changes.
    let round = Round { is_forwarded: true, forwarders: vec![HostId(1)], ..Round::default() };
    let work = |count| UnsentWork(Map::from_iter([(Box::from("x"), events(count, 40))]));
    let mut unsent = UnsentChanges::<UnsentWork>::default();

    unsent.split(&Round { forwarders: Vec::new(), ..round.clone() }, work(5));
    let first = unsent.split(&round, work(7));
    let second = unsent.split(&round, work(9));

    assert_eq!(first.forwarded, work(12));
    assert_eq!(second.forwarded, work(9));
}
