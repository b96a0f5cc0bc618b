//! Where streams that broke off go on.

use std::time::Duration;

use camphorwalk_policy::entry::resumption::{
    BrokenAt, ProcessState, Resumption, TargetsUsed, decide,
};
use camphorwalk_policy::entry::target_table::max_propagation_delay;

/// The shortest time for which a target may get calls after it announced that it leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);

const ONLY_ONE: TargetsUsed = TargetsUsed { count: 1, max: 1 };

const ONE_OF_TWO: TargetsUsed = TargetsUsed { count: 1, max: 2 };

/// Returns a running target to which the stream was sent this long ago.
fn running(sent_ago: Duration) -> BrokenAt {
    let process = ProcessState::Running;

    BrokenAt { process, is_evacuated: false, is_leaving: false, sent_ago }
}

#[test]
fn a_stream_goes_on_at_a_running_target() {
    let at = running(Duration::from_secs(3));

    assert_eq!(decide(at, ONE_OF_TWO), Resumption::SameTarget);
}

#[test]
fn no_stream_goes_on_at_a_target_that_has_been_leaving_for_long() {
    // Guards against a call that reaches a target after the time in which it still takes calls.
    let latest = DRAIN_TIME - max_propagation_delay();

    for millis in 0..5_000 {
        let sent_ago = Duration::from_millis(millis);
        let at = BrokenAt { is_leaving: true, ..running(sent_ago) };
        if sent_ago >= latest {
            assert_ne!(decide(at, ONLY_ONE), Resumption::SameTarget, "{millis}");
        }
    }
}

#[test]
fn a_stream_that_broke_off_soon_goes_on_at_a_leaving_target() {
    let at = BrokenAt { is_leaving: true, ..running(Duration::from_millis(500)) };

    assert_eq!(decide(at, ONLY_ONE), Resumption::SameTarget);
}

#[test]
fn a_call_runs_at_no_more_targets_than_its_route_allows_unless_they_ended() {
    // Guards against a stream that moves on from a target that still runs, only because its entry
    // is gone, it is leaving, or its zone is evacuated.
    let at = running(Duration::from_secs(3));
    let lost = [
        BrokenAt { process: ProcessState::Unlisted, ..at },
        BrokenAt { is_leaving: true, ..at },
        BrokenAt { is_evacuated: true, ..at },
    ];

    for at in lost {
        assert_eq!(decide(at, ONLY_ONE), Resumption::BreakOff, "{at:?}");
        assert_eq!(decide(at, ONE_OF_TWO), Resumption::OtherTarget, "{at:?}");
    }
    let ended = BrokenAt { process: ProcessState::Ended, ..at };
    assert_eq!(decide(ended, ONLY_ONE), Resumption::OtherTarget);
}
