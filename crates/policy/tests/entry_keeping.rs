//! Storing a turn whose stream has ended while the store or other hosts fail.

use std::time::Duration;

use camphorwalk_policy::entry::turn_writes::{
    AfterFailedWrite, MAX_STREAM_GAP, Outage, StartDecision, TurnWrites, start_during_outage,
};

/// How much longer a caller waits from the end of its turn.
const CALLER_WAIT: Duration = Duration::from_secs(3);

/// How the attempts to store a turn ended, and when.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Stored(Duration),
    BrokenOff(Duration),
}

/// Simulates writes that take `each` and fail until `stored_at`. Returns how they ended and how
/// many failed.
fn simulate(each: Duration, stored_at: Duration) -> (End, u32) {
    simulate_for(CALLER_WAIT, each, stored_at)
}

/// Simulates writes like [`simulate`], for a caller that waits for `wait`.
fn simulate_for(wait: Duration, each: Duration, stored_at: Duration) -> (End, u32) {
    let mut writes = TurnWrites::default();
    let mut now = Duration::ZERO;

    loop {
        now += each;
        if now >= stored_at {
            return (End::Stored(now), writes.failed());
        }
        match writes.write_failed(wait.saturating_sub(now), None) {
            AfterFailedWrite::Retry(pause) => now += pause,
            AfterFailedWrite::BreakOff => return (End::BrokenOff(now), writes.failed()),
        }
    }
}

#[test]
fn a_turn_is_stored_soon_after_the_store_recovers() {
    // Guards against breaking a stream off although the store recovers while the caller still
    // waits.
    for stored_at in [200, 900, 2_000].map(Duration::from_millis) {
        let (end, _) = simulate(Duration::from_millis(160), stored_at);

        let End::Stored(at) = end else { panic!("{end:?} for {stored_at:?}") };
        assert!(at < stored_at + Duration::from_millis(600), "{at:?} for {stored_at:?}");
    }
}

#[test]
fn a_turn_is_stored_by_a_write_that_succeeds_shortly_before_its_caller_leaves() {
    // Guards against breaking a stream off while there is time for a further write.
    for wait in (500..3_000).step_by(50).map(Duration::from_millis) {
        let stored_at = wait - Duration::from_millis(120);
        let (end, failed) = simulate_for(wait, Duration::from_millis(10), stored_at);

        assert!(
            matches!(end, End::Stored(at) if at < wait),
            "{end:?} after {failed} failures, for a caller that waits for {wait:?}"
        );
    }
}

#[test]
fn a_turn_that_cannot_be_stored_is_broken_off_while_its_caller_waits() {
    // Guards against holding back an answer after its caller has left.
    let (end, _) = simulate(Duration::from_millis(160), Duration::MAX);

    assert!(matches!(end, End::BrokenOff(at) if at <= CALLER_WAIT), "{end:?}");
}

#[test]
fn a_failing_store_gets_few_writes_per_turn() {
    // Guards against retries that keep an overloaded store overloaded.
    let (_, failed) = simulate(Duration::from_millis(1), Duration::MAX);

    assert!(failed <= 12, "{failed}");
}

#[test]
fn a_host_that_seems_isolated_briefly_retries() {
    // Guards against breaking a stream off because other hosts' status updates were late once.
    let isolated_for = Some(Duration::from_millis(900));

    assert!(matches!(
        TurnWrites::default().write_failed(CALLER_WAIT, isolated_for),
        AfterFailedWrite::Retry(pause) if pause <= Duration::from_millis(50)
    ));
}

#[test]
fn an_isolated_host_breaks_off() {
    // Guards against callers who wait in vain for a host that cannot store their turns.
    let isolated_for = Some(Duration::from_secs(1));

    assert_eq!(
        TurnWrites::default().write_failed(CALLER_WAIT, isolated_for),
        AfterFailedWrite::BreakOff
    );
}

#[test]
fn a_turn_begins_in_an_outage_that_may_end_while_its_caller_waits() {
    // Guards against refusing turns because of a lost answer or a short outage.
    for silent_for in [0, 500, 1_900].map(Duration::from_millis) {
        let outage = Outage { silent_for: Some(silent_for), left: CALLER_WAIT };

        assert_eq!(start_during_outage(outage), StartDecision::Now, "{silent_for:?}");
    }
}

#[test]
fn a_turn_is_not_begun_when_its_end_would_come_too_late() {
    // Guards against running turns whose callers leave before the end.
    for silent_for in [None, Some(MAX_STREAM_GAP), Some(Duration::from_secs(60))] {
        let outage = Outage { silent_for, left: CALLER_WAIT };

        let StartDecision::Later(after) = start_during_outage(outage) else {
            panic!("{silent_for:?}")
        };
        assert!(!after.is_zero() && after <= CALLER_WAIT / 3, "{after:?}");
    }
}
