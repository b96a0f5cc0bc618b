//! From whom a host gets a newer manifest: the store, or another host that has it.
//!
//! The store brings it to each host, and a second copy takes as much of a slow link as the first,
//! behind which all else waits. So another host is asked only if the store does not bring it, and
//! one at a time.

use std::time::Duration;

use camphorwalk_core::time::Instant;

/// How long the store may let a host wait for the next part of a manifest that others have: it
/// tells all hosts within some milliseconds.
const STORE_STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the store may take for a manifest that others have, however it goes on: a transfer that
/// begins again and again never ends.
const STORE_TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest that a question to another host is kept up. That host may send to several, each over
/// a slow link.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// How long news may still arrive that another host sent before it took a question.
const NEWS_UNDER_WAY: Duration = Duration::from_secs(1);

/// What a host knows of a manifest that is newer than the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewerManifest {
    /// The version that another host has.
    pub version: u64,
    /// The version in force; 0 for none.
    pub in_force: u64,
    /// When the other host told of it.
    pub announced_at: Instant,
    /// Whether the store answers this host.
    pub store_answers: bool,
    /// When a part of a manifest came from the store last, or was done with, and the next was
    /// asked for.
    pub last_progress: Option<Instant>,
}

/// What to do for a newer manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Nothing: it is in force.
    Nothing,
    /// Look again after this time: the store may bring it.
    Wait(Duration),
    /// Ask another host that has it.
    AskPeer,
}

/// Returns what to do for a newer manifest.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::entry::manifests::{FetchStep, NewerManifest, next_fetch_step};
/// let at = Instant::from_millis;
/// let newer = NewerManifest {
///     version: 2,
///     in_force: 1,
///     announced_at: at(0),
///     store_answers: true,
///     last_progress: None,
/// };
/// assert_eq!(next_fetch_step(at(0), &newer), FetchStep::Wait(Duration::from_millis(250)));
/// assert_eq!(next_fetch_step(at(250), &newer), FetchStep::AskPeer);
/// let adopted = NewerManifest { in_force: 2, ..newer };
/// assert_eq!(next_fetch_step(at(250), &adopted), FetchStep::Nothing);
/// ```
pub fn next_fetch_step(now: Instant, newer: &NewerManifest) -> FetchStep {
    if newer.version <= newer.in_force {
        return FetchStep::Nothing;
    }
    let heard = newer.store_answers.then_some(newer.announced_at);
    let Some(since) = heard.max(newer.last_progress) else { return FetchStep::AskPeer };
    let until = (since + STORE_STALL_TIMEOUT).min(newer.announced_at + STORE_TRANSFER_TIMEOUT);
    let left = until.since(now);

    match left.is_zero() {
        true => FetchStep::AskPeer,
        false => FetchStep::Wait(left),
    }
}

/// What to do about a question to another host that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingRequest {
    /// Its answer may be under way.
    Wait,
    /// No answer will come.
    GiveUp,
}

/// Returns what to do about a question that was put at `asked` to a host whose last news came at
/// `heard`, if any did.
///
/// Messages of a host arrive in order, so no news come while a long answer is under way. News that
/// were sent after the question was received show that no answer will come.
///
/// ```
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::entry::manifests::{PendingRequest, check_pending};
/// let at = Instant::from_millis;
/// assert_eq!(check_pending(at(2_000), at(0), Some(at(100))), PendingRequest::Wait);
/// assert_eq!(check_pending(at(2_000), at(0), Some(at(1_900))), PendingRequest::GiveUp);
/// ```
pub fn check_pending(now: Instant, asked: Instant, heard: Option<Instant>) -> PendingRequest {
    let is_overtaken = heard.is_some_and(|at| at.since(asked) >= NEWS_UNDER_WAY);

    match is_overtaken || now.since(asked) >= REQUEST_TIMEOUT {
        true => PendingRequest::GiveUp,
        false => PendingRequest::Wait,
    }
}
