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
pub struct Newer {
    /// The version that another host has.
    pub version: u64,
    /// The version in force; 0 for none.
    pub own: u64,
    /// When the other host told of it.
    pub heard: Instant,
    /// Whether the store answers this host.
    pub store_answers: bool,
    /// When a part of a manifest came from the store last, or was done with, and the next was
    /// asked for.
    pub last_progress: Option<Instant>,
}

/// What to do for a newer manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
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
/// use camphorwalk_policy::entry::manifests::{Newer, Next, next};
/// let at = Instant::from_millis;
/// let newer =
///     Newer { version: 2, own: 1, heard: at(0), store_answers: true, last_progress: None };
/// assert_eq!(next(at(0), &newer), Next::Wait(Duration::from_millis(250)));
/// assert_eq!(next(at(250), &newer), Next::AskPeer);
/// assert_eq!(next(at(250), &Newer { own: 2, ..newer }), Next::Nothing);
/// ```
pub fn next(now: Instant, newer: &Newer) -> Next {
    if newer.version <= newer.own {
        return Next::Nothing;
    }
    let heard = newer.store_answers.then_some(newer.heard);
    let Some(since) = heard.max(newer.last_progress) else { return Next::AskPeer };
    let until = (since + STORE_STALL_TIMEOUT).min(newer.heard + STORE_TRANSFER_TIMEOUT);
    let left = until.since(now);

    match left.is_zero() {
        true => Next::AskPeer,
        false => Next::Wait(left),
    }
}

/// What to do about a question to another host that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
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
/// use camphorwalk_policy::entry::manifests::{Question, question};
/// let at = Instant::from_millis;
/// assert_eq!(question(at(2_000), at(0), Some(at(100))), Question::Wait);
/// assert_eq!(question(at(2_000), at(0), Some(at(1_900))), Question::GiveUp);
/// ```
pub fn question(now: Instant, asked: Instant, heard: Option<Instant>) -> Question {
    let is_overtaken = heard.is_some_and(|at| at.since(asked) >= NEWS_UNDER_WAY);

    match is_overtaken || now.since(asked) >= REQUEST_TIMEOUT {
        true => Question::GiveUp,
        false => Question::Wait,
    }
}
