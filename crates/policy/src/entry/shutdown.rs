//! Which calls a host accepts after its shutdown began.

use std::time::Duration;

/// How long a host accepts calls after its shutdown began. By then the load balancer sends new
/// connections elsewhere, unless less than half of the zone's hosts are left. A later call might
/// still be running when the process ends.
const ACCEPT_TIME: Duration = Duration::from_millis(3_500);

/// The largest fraction of the grace period for which calls are still accepted, so that the
/// accepted calls can finish.
const ACCEPT_TIME_PART: f64 = 0.45;

/// How long a host accepts calls whatever their time limit. Callers must have moved three seconds
/// after the shutdown began; whatever is accepted later must be answered.
const ACCEPT_ANY_TIME: Duration = Duration::from_millis(2_900);

/// How long before the end of the grace period a process ends even if calls are still running.
pub const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Returns whether a host accepts calls at all, this long after its shutdown began.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::shutdown::accepts_calls;
/// let grace = Duration::from_secs(8);
/// assert!(accepts_calls(Duration::from_secs(1), grace));
/// assert!(!accepts_calls(Duration::from_secs(4), grace));
/// ```
pub fn accepts_calls(leaving_for: Duration, grace: Duration) -> bool {
    leaving_for <= ACCEPT_TIME.min(grace.mul_f64(ACCEPT_TIME_PART))
}

/// Returns whether a host accepts a call that may take `left`, this long after its shutdown began.
/// A late call is accepted only if it ends before the process.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::shutdown::accepts_call;
/// let (late, grace) = (Duration::from_secs(3), Duration::from_secs(8));
/// assert!(accepts_call(late, grace, Duration::from_secs(4)));
/// assert!(!accepts_call(late, grace, Duration::from_secs(6)));
/// ```
pub fn accepts_call(leaving_for: Duration, grace: Duration, left: Duration) -> bool {
    let ends = grace.saturating_sub(GRACE_MARGIN);

    accepts_calls(leaving_for, grace)
        && (leaving_for <= ACCEPT_ANY_TIME || leaving_for + left <= ends)
}
