//! Whether a caller may be told that a call did not run, after it was sent to several targets.

use camphorwalk_policy::entry::attempts::Attempts;

#[test]
fn a_call_that_no_target_ran_has_not_run() {
    let mut attempts = Attempts::default();
    assert!(!attempts.may_have_run());

    for _ in 0..3 {
        attempts.sent();
        assert!(attempts.may_have_run());
        attempts.not_run();
        assert!(!attempts.may_have_run());
    }
}

#[test]
fn a_target_that_did_not_run_a_call_says_nothing_about_earlier_targets() {
    // The first target accepts the call but its answer is lost; the second is full and says that it
    // did not run the call. The caller must not be told that the call did not run.
    let mut attempts = Attempts::default();

    attempts.sent();
    attempts.sent();
    attempts.not_run();

    assert!(attempts.may_have_run());
}
