//! Keeping a turn whose stream has ended, while the store and the other hosts are in trouble.

use std::time::Duration;

use camphorwalk_policy::entry::turn_writes::{
    AfterFailedWrite, MAX_STREAM_GAP, Outage, StartDecision, TurnWrites, start_during_outage,
};

/// How much longer a caller waits, from the end of its turn on.
const PATIENCE: Duration = Duration::from_secs(3);

/// What came of the writes, and when.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Kept(Duration),
    BrokenOff(Duration),
}

/// Plays writes that take `each` and fail until `kept_at`. Returns what came of them and how many
/// failed.
fn play(each: Duration, kept_at: Duration) -> (End, u32) {
    let mut keeping = TurnWrites::default();
    let mut now = Duration::ZERO;

    loop {
        now += each;
        if now >= kept_at {
            return (End::Kept(now), keeping.failed());
        }
        match keeping.write_failed(PATIENCE.saturating_sub(now), None) {
            AfterFailedWrite::Retry(pause) => now += pause,
            AfterFailedWrite::BreakOff => return (End::BrokenOff(now), keeping.failed()),
        }
    }
}

#[test]
fn a_turn_is_kept_soon_after_it_can_be() {
    // Guards against a stream that is broken off although the store is back within its caller's time.
    for kept_at in [200, 900, 2_000].map(Duration::from_millis) {
        let (end, _) = play(Duration::from_millis(160), kept_at);

        let End::Kept(at) = end else { panic!("{end:?} for {kept_at:?}") };
        assert!(at < kept_at + Duration::from_millis(600), "{at:?} for {kept_at:?}");
    }
}

#[test]
fn a_turn_that_nobody_takes_is_broken_off_within_its_callers_time() {
    // Guards against an answer that is held after its caller has gone.
    let (end, _) = play(Duration::from_millis(160), Duration::MAX);

    assert!(matches!(end, End::BrokenOff(at) if at <= PATIENCE), "{end:?}");
}

#[test]
fn a_store_in_trouble_is_asked_a_few_times_for_a_turn() {
    // Guards against a store that stays in trouble by the calls of what waits for it.
    let (_, failed) = play(Duration::from_millis(1), Duration::MAX);

    assert!(failed <= 12, "{failed}");
}

#[test]
fn a_host_that_seems_cut_off_for_an_instant_goes_on() {
    // Guards against a stream that is broken off since news of other hosts were late once.
    let isolated_for = Some(Duration::from_millis(900));

    assert!(matches!(
        TurnWrites::default().write_failed(PATIENCE, isolated_for),
        AfterFailedWrite::Retry(pause) if pause <= Duration::from_millis(50)
    ));
}

#[test]
fn a_host_behind_a_cut_breaks_off() {
    // Guards against callers who wait in vain at a host that may promise nothing.
    let isolated_for = Some(Duration::from_secs(1));

    assert_eq!(
        TurnWrites::default().write_failed(PATIENCE, isolated_for),
        AfterFailedWrite::BreakOff
    );
}

#[test]
fn a_turn_begins_in_an_outage_that_may_end_while_its_caller_waits() {
    // Guards against turns that are refused for a lost answer or a short outage.
    for silent_for in [0, 500, 1_900].map(Duration::from_millis) {
        let outage = Outage { silent_for: Some(silent_for), left: PATIENCE };

        assert_eq!(start_during_outage(outage), StartDecision::Now, "{silent_for:?}");
    }
}

#[test]
fn a_turn_is_not_begun_when_its_end_would_come_too_late() {
    // Guards against targets that run turns whose callers leave before the end.
    for silent_for in [None, Some(MAX_STREAM_GAP), Some(Duration::from_secs(60))] {
        let outage = Outage { silent_for, left: PATIENCE };

        let StartDecision::Later(after) = start_during_outage(outage) else {
            panic!("{silent_for:?}")
        };
        assert!(!after.is_zero() && after <= PATIENCE / 3, "{after:?}");
    }
}
