//! Requests between hosts and their replies.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::Body;
use camphorwalk_core::messages::entry as wire;
use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowVersion};
use camphorwalk_policy::entry::budgets::{BudgetRow, Claim, KnownRow, ProgramKey, RunId};
use camphorwalk_policy::entry::shares::Doubt;
use camphorwalk_policy::entry::target_table;
use camphorwalk_policy::entry::turns::{Turn, TurnKey};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::warn;

use crate::host::Shared;
use crate::{budget, clock, grants, manifests, store, turns};

/// A request to another host.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// Runs an operation on the store.
    Store(PlatformOp),
    /// Grants the tokens of a turn while the store is unavailable.
    Grant(GrantAsk),
    /// Reports the row that the store holds for a program.
    Stored(ProgramKey, BudgetRow, RowVersion),
    /// Records provisional grants, and writes them to the store later if their owner does not.
    Loose(ProgramKey, KnownRow),
    /// Returns a program's row as the receiver knows it.
    KnownRow(ProgramKey),
    /// Returns a program's row as the store holds it, if the receiver knows that.
    StoredRow(ProgramKey),
    /// Returns the receiver's unused tokens of a program to the row.
    Yield(ProgramKey),
    /// Transfers unused tokens of a program to a run, until the run has this total from the
    /// receiver. The row includes grants to the receiver that it may not know of yet.
    Give(ProgramKey, KnownRow, RunId, u64),
    /// Returns a turn.
    Find(TurnKey),
    /// Returns a turn and the earlier turns of its chain, as far as the receiver has them in
    /// memory.
    Line(TurnKey),
    /// Returns the receiver's copy of the target table. The rows are left out if none has changed
    /// since this version of the store.
    Targets(RowVersion),
    /// Sends the manifest in force at the receiver, as a separate message before the reply.
    Manifest,
}

/// A request for the tokens of a turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GrantAsk {
    pub(crate) program: ProgramKey,
    pub(crate) claim: Claim,
    /// The row as the requesting host knows it.
    pub(crate) known: KnownRow,
    /// Whether the turn may be the first of its program.
    pub(crate) begins: bool,
}

/// The reply to a request.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The reply of the store.
    Store(PlatformReply),
    /// A program's row as the replying host knows it, including the requested grant if there was
    /// one.
    Granted(BudgetRow),
    /// A program's row as the replying host knows it, and how much of it the store has.
    Known(KnownRow),
    /// A program's row as the store holds it.
    StoredRow(Option<(BudgetRow, RowVersion)>),
    /// A program's row including the requested grant, as written to the store.
    Written(BudgetRow),
    /// The total that the replying host has transferred to the requesting run, and all runs to
    /// which it has transferred tokens.
    Given(u64, Vec<RunId>),
    /// The rest of the budget may have been granted without the store.
    Withheld(Doubt),
    /// The budget does not have enough tokens left.
    Spent,
    /// The request was carried out.
    Done,
    /// The turn, if the replying host has it in memory.
    Turn(Option<Turn>),
    /// The turns that the replying host has in memory.
    Line(Vec<(TurnKey, Turn)>),
    /// The copy of the target table; `None` if the replying host has none yet.
    Targets(Option<target_table::TableCopy>),
    /// The host cannot carry out the request now.
    Refused,
}

/// The requests of this host that wait for a reply.
#[derive(Default)]
pub(crate) struct Asks {
    waiting: RefCell<Map<u64, oneshot::Sender<Reply>>>,
    next: Cell<u64>,
}

/// A request that waits for its reply. Dropping it discards a late reply.
struct Waiting<'a> {
    asks: &'a Asks,
    id: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.asks.waiting.borrow_mut().remove(&self.id);
    }
}

/// Sends a request to another host. Returns `None` if no reply came within `limit`; the other host
/// may or may not have carried the request out.
pub(crate) async fn ask(
    shared: &Shared,
    host: HostId,
    question: &Ask,
    limit: Duration,
) -> Option<Reply> {
    timeout(limit, ask_on(shared, host, question)).await.ok()?
}

/// Sends a request to another host, and waits for the reply until dropped. Returns `None` if the
/// request cannot be sent.
pub(crate) async fn ask_on(shared: &Shared, host: HostId, question: &Ask) -> Option<Reply> {
    let question = encode(question)?;
    let asks = &shared.asks;
    let id = asks.next.get();
    asks.next.set(id + 1);
    let (tx, rx) = oneshot::channel();
    asks.waiting.borrow_mut().insert(id, tx);
    let _waiting = Waiting { asks, id };

    if !shared.fleet.send(host, Body::Ask(wire::Ask { id, question })) {
        return None;
    }
    rx.await.ok()
}

/// Sends a request to another host without waiting for the reply.
pub(crate) fn tell(shared: &Shared, host: HostId, question: &Ask) {
    /// An id that no pending request has, so that the reply is ignored.
    const NOBODY: u64 = u64::MAX;

    if let Some(question) = encode(question) {
        // Whatever is sent this way also reaches the other host in another way if this message is
        // lost.
        shared.fleet.send(host, Body::Ask(wire::Ask { id: NOBODY, question }));
    }
}

/// Handles a request of another host and sends the reply.
pub(crate) async fn serve(shared: Rc<Shared>, from: HostId, message: wire::Ask) {
    let reply = match serde_json::from_slice(&message.question) {
        Ok(question) => answer(&shared, from, question).await,
        Err(e) => {
            warn!(error = %e, host = from.0, "ask: question of another host not understood");
            Reply::Refused
        }
    };

    if let Some(reply) = encode(&reply) {
        // If the reply is lost, the requesting host runs into its timeout.
        shared.fleet.send(from, Body::Reply(wire::Reply { id: message.id, reply }));
    }
}

async fn answer(shared: &Rc<Shared>, from: HostId, question: Ask) -> Reply {
    match question {
        Ask::Store(op) => store::run_for_peer(shared, op).await,
        Ask::Grant(ask) => grants::grant_for_peer(shared, &ask).await,
        Ask::Stored(program, row, version) => grants::take_stored(shared, program, row, version),
        Ask::Loose(program, known) => grants::take_loose(shared, program, &known),
        Ask::KnownRow(program) => budget::known_row(shared, program),
        Ask::StoredRow(program) => Reply::StoredRow(shared.budgets.borrow().stored(program)),
        Ask::Yield(program) => budget::yield_rest(shared, program),
        Ask::Give(program, known, to, total) => budget::give(shared, program, &known, to, total),
        Ask::Manifest => manifests::tell(shared, from),
        Ask::Targets(has) => {
            Reply::Targets(shared.target_table.borrow().copy_for(clock::now(), has))
        }
        Ask::Line(key) => Reply::Line(turns::line_at_hand(shared, key)),
        Ask::Find(key) => Reply::Turn(turns::at_hand(shared, key)),
    }
}

/// Passes a reply on to the task that waits for it.
pub(crate) fn take_in(shared: &Shared, message: &wire::Reply) {
    let Some(tx) = shared.asks.waiting.borrow_mut().remove(&message.id) else { return };

    match serde_json::from_slice(&message.reply) {
        // The waiting task may have ended in the meantime.
        Ok(reply) => drop(tx.send(reply)),
        Err(e) => warn!(error = %e, "ask: reply of another host not understood"),
    }
}

fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    serde_json::to_vec(value).inspect_err(|e| warn!(error = %e, "ask: message not written")).ok()
}
