//! Calls that arrive while a host shuts down.

use std::time::Duration;

use camphorwalk_policy::entry::shutdown::{GRACE_MARGIN, accepts_call};

/// A call that is sent later than this must be answered before the process ends.
const ALL_ANSWERED_FROM: Duration = Duration::from_secs(3);

#[test]
fn a_call_that_is_accepted_late_ends_before_the_process() {
    // Guards against calls that are accepted after three seconds and cut off with the process, as
    // their time limit is longer than the rest of the grace period.
    for grace_s in 4..20 {
        let grace = Duration::from_secs(grace_s);
        for late_ms in (0..17_000).step_by(100) {
            for left_ms in (100..30_000).step_by(100) {
                let leaving_for = ALL_ANSWERED_FROM + Duration::from_millis(late_ms);
                let left = Duration::from_millis(left_ms);
                let accepted = accepts_call(leaving_for, grace, left);
                assert!(!accepted || leaving_for + left <= grace - GRACE_MARGIN);
            }
        }
    }
}

#[test]
fn calls_are_accepted_while_callers_move() {
    // Guards against refusals of callers that the load balancer has not moved yet.
    let grace = Duration::from_secs(8);

    for leaving_ms in 0..2_500 {
        assert!(accepts_call(Duration::from_millis(leaving_ms), grace, Duration::from_secs(6)));
    }
    assert!(accepts_call(Duration::from_millis(3_400), grace, Duration::from_secs(4)));
}
