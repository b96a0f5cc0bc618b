//! Transfers of newer manifests between hosts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::Body;
use camphorwalk_core::messages::entry::Manifest;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::manifests::{
    FetchStep, NewerManifest, PendingRequest, check_pending, next_fetch_step,
};
use camphorwalk_policy::entry::transfers::{Backoff, Decision, Transfers};
use tokio::time::sleep;
use tracing::info;

use crate::clock;
use crate::host::Shared;
use crate::queries::{self, Query, QueryReply};

/// How often this host checks whether a pending query for a manifest can still get a reply.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The state of manifest transfers to and from this host.
#[derive(Default)]
pub(crate) struct Manifests {
    /// Whether this host is waiting for a newer manifest, or has requested one from another host.
    is_fetching: Cell<bool>,
    /// When a part of a manifest was last received from the store, or the processing of one ended.
    last_progress: Cell<Option<Instant>>,
    /// Transfers to other hosts.
    transfers: RefCell<Transfers>,
    /// Hosts that recently refused to send their manifest and are not asked for a while.
    backoff: RefCell<Backoff>,
}

impl Manifests {
    /// Records that a transfer of a manifest from the store, or the processing of one, makes
    /// progress.
    pub(crate) fn record_progress(&self) {
        self.last_progress.set(Some(clock::now()));
    }

    /// Records the manifest version that another host has reported.
    fn record_reported(&self, host: HostId, version: u64) {
        self.transfers.borrow_mut().acknowledge(host, version);
    }

    /// Returns whether a host may be asked for its manifest.
    fn may_ask(&self, host: HostId) -> bool {
        self.backoff.borrow().may_request(clock::now(), host)
    }
}

/// Handles the manifest version that another host has reported. If the version is newer than the
/// one in force and does not arrive from the store, this host requests it from another one.
///
/// The store may refuse some hosts while it answers others. If all of the others sent their
/// manifest unasked, a refused host would receive it from each of them with each status update,
/// until its link is saturated. So each host requests it itself, from one other host at a time.
pub(crate) fn handle_reported_version(shared: &Rc<Shared>, from: HostId, version: u64) {
    shared.manifests.record_reported(from, version);
    if version <= shared.manifest_version() || shared.manifests.is_fetching.replace(true) {
        return;
    }

    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        fetch_newer(&shared, version).await;
        shared.manifests.is_fetching.set(false);
    });
}

/// Waits for a newer manifest, and requests it from another host if it does not arrive from the
/// store.
async fn fetch_newer(shared: &Shared, version: u64) {
    let announced_at = clock::now();

    loop {
        let newer = NewerManifest {
            version,
            in_force: shared.manifest_version(),
            announced_at,
            store_answers: shared.store.is_available(),
            last_progress: shared.manifests.last_progress.get(),
        };
        match next_fetch_step(clock::now(), &newer) {
            FetchStep::Nothing => return,
            FetchStep::Wait(pause) => sleep(pause).await,
            FetchStep::AskPeer => return request_from_peer(shared, version).await,
        }
    }
}

/// Requests a newer manifest from another host. If it does not arrive, the next status update that
/// reports a newer one starts another query.
async fn request_from_peer(shared: &Shared, version: u64) {
    let own = shared.manifest_version();
    let may_ask = |host: &HostId| shared.manifests.may_ask(*host);
    let Some(host) = shared.fleet.live_peer_with_manifest(own, may_ask) else { return };
    let requested_at = clock::now();

    // The manifest itself arrives before the reply.
    let reply = tokio::select! {
        reply = queries::send_until_dropped(shared, host, &Query::Manifest) => reply,
        () = until_no_reply_expected(shared, host, requested_at) => None,
    };
    let now = clock::now();
    let took = now.since(requested_at);
    if matches!(reply, Some(QueryReply::Refused)) {
        shared.manifests.backoff.borrow_mut().record_refusal(now, host);
    }
    info!(host = host.0, own, version, ?reply, ?took, "manifest: requested from another host");
}

/// Waits until a query can no longer be expected to get a reply.
async fn until_no_reply_expected(shared: &Shared, host: HostId, requested_at: Instant) {
    while check_pending(clock::now(), requested_at, shared.fleet.last_status_at(host))
        == PendingRequest::Wait
    {
        sleep(CHECK_PERIOD).await;
    }
}

/// Sends the manifest in force to another host that requested it, unless too many transfers are in
/// progress.
pub(crate) fn handle_query(shared: &Shared, to: HostId) -> QueryReply {
    let version = shared.manifest_version();
    let decision = shared.manifests.transfers.borrow_mut().request(clock::now(), to, version);
    let sent = decision == Decision::Send && send(shared, to);

    let outcome = if sent { "sent" } else { "refused" };
    shared.metrics.manifest_copies.with_label_values(&[outcome]).inc();
    let under_way = shared.manifests.transfers.borrow().len();
    info!(host = to.0, version, ?decision, sent, under_way, "manifest: requested by another host");
    if sent { QueryReply::Done } else { QueryReply::Refused }
}

fn send(shared: &Shared, to: HostId) -> bool {
    let text = shared.manifest_text.borrow().to_string();
    let sent = shared.fleet.send(to, Body::Manifest(Manifest { text }));

    if !sent {
        shared.manifests.transfers.borrow_mut().send_failed(to);
    }
    sent
}
