//! Newer manifests that other hosts have.

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

use crate::asks::{self, Ask, Reply};
use crate::clock;
use crate::host::Shared;

/// How often a pending request is checked.
const QUESTION_PERIOD: Duration = Duration::from_millis(100);

/// The state of manifest transfers to and from this host.
#[derive(Default)]
pub(crate) struct Manifests {
    /// Whether a newer one is waited for, or requested from another host.
    is_fetching: Cell<bool>,
    /// When a part of one last came from the store, or one was read and the next asked for.
    last_progress: Cell<Option<Instant>>,
    /// Transfers to other hosts.
    transfers: RefCell<Transfers>,
    /// Hosts that refused to send theirs are not asked for a while.
    backoff: RefCell<Backoff>,
}

impl Manifests {
    /// Notes that a transfer from the store makes progress.
    pub(crate) fn note_progress(&self) {
        self.last_progress.set(Some(clock::now()));
    }

    /// Takes in which version another host told that it has.
    fn told(&self, host: HostId, version: u64) {
        self.transfers.borrow_mut().acknowledge(host, version);
    }

    /// Returns whether a host may be asked for its manifest.
    fn may_ask(&self, host: HostId) -> bool {
        self.backoff.borrow().may_ask(clock::now(), host)
    }
}

/// Takes in that another host has a manifest of this version. If it is newer than the one in force
/// and the store does not bring it, it is asked for.
///
/// The store turns some hosts away while it answers others. If all of these sent their manifest
/// unasked, a host that is turned away would get it from each of them, again with each of their
/// news, until its link is full. So it asks one of them at a time.
pub(crate) fn heard_version(shared: &Rc<Shared>, from: HostId, version: u64) {
    shared.manifests.told(from, version);
    if version <= shared.manifest_version() || shared.manifests.is_fetching.replace(true) {
        return;
    }

    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        seek(&shared, version).await;
        shared.manifests.is_fetching.set(false);
    });
}

/// Waits for a newer manifest, and asks one host for it if the store does not bring it.
async fn seek(shared: &Shared, version: u64) {
    let announced_at = clock::now();

    loop {
        let newer = NewerManifest {
            version,
            in_force: shared.manifest_version(),
            announced_at,
            store_answers: shared.store.answers(),
            last_progress: shared.manifests.last_progress.get(),
        };
        match next_fetch_step(clock::now(), &newer) {
            FetchStep::Nothing => return,
            FetchStep::Wait(pause) => sleep(pause).await,
            FetchStep::AskPeer => return ask_peer(shared, version).await,
        }
    }
}

/// Asks a host for its manifest. Without one the next news lead to a new question.
async fn ask_peer(shared: &Shared, version: u64) {
    let own = shared.manifest_version();
    let may_ask = |host: &HostId| shared.manifests.may_ask(*host);
    let Some(host) = shared.fleet.manifest_peer(own, may_ask) else { return };
    let asked = clock::now();

    // The manifest itself comes before the reply.
    let reply = tokio::select! {
        reply = asks::ask_on(shared, host, &Ask::Manifest) => reply,
        () = no_answer(shared, host, asked) => None,
    };
    let now = clock::now();
    let took = now.since(asked);
    if matches!(reply, Some(Reply::Refused)) {
        shared.manifests.backoff.borrow_mut().record_refusal(now, host);
    }
    info!(host = host.0, own, version, ?reply, ?took, "manifest: asked for at another host");
}

/// Waits until no answer can be expected to a question.
async fn no_answer(shared: &Shared, host: HostId, asked: Instant) {
    while check_pending(clock::now(), asked, shared.fleet.heard_at(host)) == PendingRequest::Wait {
        sleep(QUESTION_PERIOD).await;
    }
}

/// Sends the manifest in force to another host that asked for it, unless enough copies are under
/// way.
pub(crate) fn tell(shared: &Shared, to: HostId) -> Reply {
    let version = shared.manifest_version();
    let decision = shared.manifests.transfers.borrow_mut().request(clock::now(), to, version);
    let sent = decision == Decision::Send && send(shared, to);

    let outcome = if sent { "sent" } else { "refused" };
    shared.metrics.manifest_copies.with_label_values(&[outcome]).inc();
    let under_way = shared.manifests.transfers.borrow().len();
    info!(host = to.0, version, ?decision, sent, under_way, "manifest: another host asked for it");
    if sent { Reply::Done } else { Reply::Refused }
}

fn send(shared: &Shared, to: HostId) -> bool {
    let text = shared.manifest_text.borrow().to_string();
    let sent = shared.fleet.send(to, Body::Manifest(Manifest { text }));

    if !sent {
        shared.manifests.transfers.borrow_mut().send_failed(to);
    }
    sent
}
