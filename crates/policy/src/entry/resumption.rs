//! Where a stream that broke off may go on.

use std::time::Duration;

/// For how long after a stream was sent to a target it may go on there although the target is
/// leaving by now: together with the time until hosts know of it (see
/// [`max_propagation_delay`](crate::entry::target_table::max_propagation_delay)) less than two
/// seconds, for which a target takes calls after it announced that it leaves.
const MAX_TIME_AT_LEAVING: Duration = Duration::from_millis(700);

/// What is known of the process of a target from which a stream broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It accepts connections or does not answer.
    Running,
    /// Nothing listens at its address.
    Ended,
    /// Its entry is gone. It may still run.
    Unlisted,
}

/// A target from which a stream broke off.
#[derive(Clone, Copy, Debug)]
pub struct BrokenAt {
    /// Its process.
    pub process: ProcessState,
    /// Whether its availability zone is evacuated.
    pub is_evacuated: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// How long ago the stream was sent there.
    pub sent_ago: Duration,
}

/// Where a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// At the target from which it broke off.
    SameTarget,
    /// At another target.
    OtherTarget,
    /// Nowhere. The caller may send the call again.
    BreakOff,
}

/// The targets that run or ran a call.
#[derive(Clone, Copy, Debug)]
pub struct TargetsUsed {
    /// How many there are, without those that have ended.
    pub count: u32,
    /// How many the route allows.
    pub max: u32,
}

/// Decides where a stream goes on.
///
/// A target that is leaving gets no calls any more after some time, and one of an evacuated zone
/// none at all. Then another target has to continue the stream, which the route must allow unless
/// the former one has ended.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::resumption::{
///     BrokenAt, ProcessState, Resumption, TargetsUsed, decide,
/// };
/// let at = BrokenAt {
///     process: ProcessState::Ended,
///     is_evacuated: false,
///     is_leaving: false,
///     sent_ago: Duration::ZERO,
/// };
/// assert_eq!(decide(at, TargetsUsed { count: 1, max: 1 }), Resumption::OtherTarget);
/// ```
pub fn decide(at: BrokenAt, used: TargetsUsed) -> Resumption {
    let may_stay = match at.process {
        ProcessState::Ended => return Resumption::OtherTarget,
        ProcessState::Unlisted => false,
        ProcessState::Running if at.is_evacuated => false,
        ProcessState::Running => !at.is_leaving || at.sent_ago <= MAX_TIME_AT_LEAVING,
    };

    match may_stay {
        true => Resumption::SameTarget,
        false if used.count < used.max => Resumption::OtherTarget,
        false => Resumption::BreakOff,
    }
}
