//! Decides whether a host gets a newer manifest from the store or from another host.
//!
//! The store sends each manifest to all hosts. A second copy uses as much bandwidth of a slow link
//! as the first and delays all other traffic on it. Another host is therefore asked only if the
//! store does not deliver the manifest, and only one host at a time.

use std::time::Duration;

use camphorwalk_core::time::Instant;

/// How long a host waits for the store to deliver the next part of a manifest that other hosts
/// have. The store normally reaches all hosts within some milliseconds.
const STORE_STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the store may take in all to deliver a manifest, counted from when another host
/// reported having it, whatever progress the store makes: a transfer that keeps restarting never
/// ends.
const STORE_TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a request to another host is kept open. That host may be sending to several hosts, each
/// over a slow link.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// How long status updates may still arrive that another host sent before it received a request.
const UPDATE_DELIVERY_TIME: Duration = Duration::from_secs(1);

/// What a host knows about a manifest that may be newer than the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewerManifest {
    /// The version in force at another host.
    pub version: u64,
    /// The version in force at this host; 0 for none.
    pub in_force: u64,
    /// When the other host reported the version.
    pub announced_at: Instant,
    /// Whether the store currently answers this host.
    pub store_answers: bool,
    /// The last time a part of a manifest arrived from the store, or was processed and the next one
    /// requested.
    pub last_progress: Option<Instant>,
}

/// The next step to get a newer manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// None: this version or a later one is already in force.
    Nothing,
    /// Check again after this time; the store may still deliver it.
    Wait(Duration),
    /// Request it from another host that has it.
    AskPeer,
}

/// Returns the next step to get a newer manifest.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::entry::manifests::{FetchStep, NewerManifest, next_fetch_step};
/// let at = Instant::from_millis;
/// let newer = NewerManifest {
///     version: 2, in_force: 1, announced_at: at(0), store_answers: true, last_progress: None
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
    let announced = newer.store_answers.then_some(newer.announced_at);
    let Some(since) = announced.max(newer.last_progress) else { return FetchStep::AskPeer };
    let until = (since + STORE_STALL_TIMEOUT).min(newer.announced_at + STORE_TRANSFER_TIMEOUT);
    let left = until.since(now);

    match left.is_zero() {
        true => FetchStep::AskPeer,
        false => FetchStep::Wait(left),
    }
}

/// What to do about an unanswered request to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingRequest {
    /// Keep waiting: the answer may be in transit.
    Wait,
    /// Give up: no answer will arrive.
    GiveUp,
}

/// Returns what to do about a request that was sent at `requested_at` to a host whose last status
/// update arrived at `last_status_at`, if any did.
///
/// Messages from a host arrive in order, so no status updates arrive while it sends a long answer.
/// Status updates that were sent after the host received the request therefore show that no answer
/// will come.
///
/// ```
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::entry::manifests::{PendingRequest, check_pending};
/// let at = Instant::from_millis;
/// assert_eq!(check_pending(at(2_000), at(0), Some(at(100))), PendingRequest::Wait);
/// assert_eq!(check_pending(at(2_000), at(0), Some(at(1_900))), PendingRequest::GiveUp);
/// ```
pub fn check_pending(
    now: Instant,
    requested_at: Instant,
    last_status_at: Option<Instant>,
) -> PendingRequest {
    let is_overtaken =
        last_status_at.is_some_and(|at| at.since(requested_at) >= UPDATE_DELIVERY_TIME);

    match is_overtaken || now.since(requested_at) >= REQUEST_TIMEOUT {
        true => PendingRequest::GiveUp,
        false => PendingRequest::Wait,
    }
}
