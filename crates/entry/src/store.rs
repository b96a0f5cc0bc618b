//! The way to the platform's store: straight, or through another host that it answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::outage::{Change, StoreHealth};
use camphorwalk_store::Client;
use tracing::{info, warn};

use crate::asks::{self, Ask, Reply};
use crate::clock;
use crate::host::Shared;
use crate::{budget, turns};

/// How long a reply through another host may take: that host's own tries, and the way.
const RELAY_DEADLINE: Duration = Duration::from_millis(600);

/// The way to the store.
pub(crate) struct Store {
    client: Client,
    health: RefCell<StoreHealth>,
    /// When it was last away, for this host or another.
    away_at: Cell<Option<Instant>>,
}

impl Store {
    /// Makes the way; it connects when it is used.
    pub(crate) fn new(client: Client) -> Self {
        Self { client, health: RefCell::default(), away_at: Cell::new(None) }
    }

    /// Returns whether the store answers this host.
    pub(crate) fn answers(&self) -> bool {
        let health = self.health.borrow();

        health.has_answered() && !health.is_away()
    }

    /// Returns whether the store has ever answered this process.
    pub(crate) fn has_answered(&self) -> bool {
        self.health.borrow().has_answered()
    }

    /// Takes in that the store does not answer some host.
    pub(crate) fn away_somewhere(&self, now: Instant) {
        self.away_at.set(Some(now));
    }

    /// Returns whether the store answered all hosts, as far as is known, for this long.
    pub(crate) fn was_there_for(&self, time: Duration) -> bool {
        self.away_at.get().is_none_or(|at| clock::now().since(at) > time)
    }
}

/// Runs an operation for a call: at once without an answer if neither the store nor a host that
/// reaches it answers.
pub(crate) async fn ask(shared: &Rc<Shared>, op: PlatformOp) -> PlatformReply {
    if shared.store.health.borrow().is_away() {
        return relay(shared, op).await;
    }

    probe(shared, op).await
}

/// Runs an operation of the host's own, which also finds out whether the store is back.
pub(crate) async fn probe(shared: &Rc<Shared>, op: PlatformOp) -> PlatformReply {
    match ask_straight(shared, op.clone()).await {
        PlatformReply::Unavailable => relay(shared, op).await,
        reply => reply,
    }
}

async fn ask_straight(shared: &Rc<Shared>, op: PlatformOp) -> PlatformReply {
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

    if shared.store.health.borrow().is_away() {
        shared.store.away_somewhere(clock::now());
    }
    match change {
        Some(Change::Lost) => warn!("store: does not answer"),
        Some(Change::Regained) => {
            info!("store: answers again");
            let shared = Rc::clone(shared);
            tokio::task::spawn_local(async move {
                budget::write_loose(&shared).await;
                turns::write_held(&shared).await;
            });
        }
        None => {}
    }
    reply
}

/// Has another host run an operation.
async fn relay(shared: &Shared, op: PlatformOp) -> PlatformReply {
    // A question that waits for changes would hold the other host's reply for longer than a
    // reply is waited for; the table is read whole instead.
    if matches!(op, PlatformOp::Changes { wait, .. } if !wait.is_zero()) {
        return PlatformReply::Unavailable;
    }
    let Some(host) = shared.fleet.store_peer() else {
        return PlatformReply::Unavailable;
    };

    shared.metrics.relayed.inc();
    match asks::ask(shared, host, &Ask::Store(op), RELAY_DEADLINE).await {
        Some(Reply::Store(reply)) => reply,
        Some(_) => PlatformReply::Unavailable,
        // Without a reply the operation may have been run.
        None => PlatformReply::Unknown,
    }
}

/// Runs an operation for another host. It is not passed on again: two hosts that each think that
/// the other reaches the store would pass it to and fro.
pub(crate) async fn run_for_peer(shared: &Rc<Shared>, op: PlatformOp) -> Reply {
    match shared.store.answers() {
        true => Reply::Store(ask_straight(shared, op).await),
        false => Reply::Refused,
    }
}
