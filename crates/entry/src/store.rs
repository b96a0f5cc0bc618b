//! The way to the platform's store: straight, or through another host that it answers.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::entry::{StoreAsk, StoreReply};
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::platform::{PlatformOp, PlatformReply};
use camphorwalk_policy::entry::outage::{Change, StoreHealth};
use camphorwalk_store::Client;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::clock;
use crate::host::Shared;

/// How long a reply through another host may take: that host's own tries, and the way.
const RELAY_DEADLINE: Duration = Duration::from_millis(600);

/// The way to the store.
pub(crate) struct Store {
    client: Client,
    health: RefCell<StoreHealth>,
    /// Questions that other hosts were asked to put.
    relayed: RefCell<Map<u64, oneshot::Sender<PlatformReply>>>,
    next: Cell<u64>,
}

impl Store {
    /// Makes the way; it connects when it is used.
    pub(crate) fn new(client: Client) -> Self {
        Self {
            client,
            health: RefCell::default(),
            relayed: RefCell::default(),
            next: Cell::new(0),
        }
    }

    /// Returns whether the store answers this host.
    pub(crate) fn answers(&self) -> bool {
        let health = self.health.borrow();

        health.has_answered() && !health.is_away()
    }
}

/// Runs an operation for a call: at once without an answer if neither the store nor a host that
/// reaches it answers.
pub(crate) async fn ask(shared: &Shared, op: PlatformOp) -> PlatformReply {
    if shared.store.health.borrow().is_away() {
        return relay(shared, &op).await;
    }

    match ask_straight(shared, op.clone()).await {
        PlatformReply::Unavailable => relay(shared, &op).await,
        reply => reply,
    }
}

/// Runs an operation of the host's own, which also finds out whether the store is back.
pub(crate) async fn probe(shared: &Shared, op: PlatformOp) -> PlatformReply {
    match ask_straight(shared, op.clone()).await {
        PlatformReply::Unavailable => relay(shared, &op).await,
        reply => reply,
    }
}

async fn ask_straight(shared: &Shared, op: PlatformOp) -> PlatformReply {
    let began = clock::now();
    let reply = shared.store.client.run(op).await;
    let answered = !matches!(reply, PlatformReply::Unavailable | PlatformReply::Unknown);
    let change = {
        let mut health = shared.store.health.borrow_mut();
        match answered {
            true => health.answered(clock::now()),
            false => health.failed(began),
        }
    };

    match change {
        Some(Change::Lost) => warn!("store: does not answer"),
        Some(Change::Regained) => info!("store: answers again"),
        None => {}
    }
    reply
}

/// Has another host run an operation.
async fn relay(shared: &Shared, op: &PlatformOp) -> PlatformReply {
    // A question that waits for changes would hold the other host's reply for longer than a
    // reply is waited for; the table is read whole instead.
    if matches!(op, PlatformOp::Changes { wait, .. } if !wait.is_zero()) {
        return PlatformReply::Unavailable;
    }
    let Some((host, peers)) = shared.fleet.store_peer() else {
        return PlatformReply::Unavailable;
    };
    let op = match serde_json::to_vec(op) {
        Ok(op) => op,
        Err(e) => {
            warn!(error = %e, "store: operation not written for another host");
            return PlatformReply::Unavailable;
        }
    };
    let store = &shared.store;
    let id = store.next.get();
    store.next.set(id + 1);
    let (tx, rx) = oneshot::channel();
    store.relayed.borrow_mut().insert(id, tx);

    if !peers.send(host, PeerMessage::from(Body::StoreAsk(StoreAsk { id, op }))) {
        store.relayed.borrow_mut().remove(&id);
        return PlatformReply::Unavailable;
    }
    shared.metrics.relayed.inc();
    let reply = timeout(RELAY_DEADLINE, rx).await;
    store.relayed.borrow_mut().remove(&id);

    // Without a reply the operation may have been run.
    match reply {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => PlatformReply::Unknown,
    }
}

/// Runs an operation for another host.
pub(crate) async fn serve(shared: &Shared, from: HostId, ask: StoreAsk) {
    let reply = match serde_json::from_slice(&ask.op) {
        // Not passed on again: two hosts that think that the other reaches the store would
        // pass it to and fro.
        Ok(op) if shared.store.answers() => ask_straight(shared, op).await,
        Ok(_) => PlatformReply::Unavailable,
        Err(e) => {
            warn!(error = %e, host = from.0, "store: operation of another host not understood");
            PlatformReply::Unavailable
        }
    };

    match serde_json::to_vec(&reply) {
        Ok(reply) => {
            let message = StoreReply { id: ask.id, reply };
            shared.fleet.send(from, Body::StoreReply(message));
        }
        Err(e) => warn!(error = %e, "store: reply not written for another host"),
    }
}

/// Takes in the reply to an operation that another host ran.
pub(crate) fn take_in(shared: &Shared, message: StoreReply) {
    let Some(tx) = shared.store.relayed.borrow_mut().remove(&message.id) else { return };

    match serde_json::from_slice(&message.reply) {
        // Whoever asked may have gone.
        Ok(reply) => drop(tx.send(reply)),
        Err(e) => warn!(error = %e, "store: reply of another host not understood"),
    }
}
