//! Questions between hosts, and their replies.

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

/// A question to another host.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// To run an operation on the store.
    Store(PlatformOp),
    /// For a turn's tokens, while the store is away.
    Grant(GrantAsk),
    /// To take in that a program's row stands so in the store.
    Stored(ProgramKey, BudgetRow, RowVersion),
    /// To take in grants that the store does not have, and to write them if it can.
    Loose(ProgramKey, KnownRow),
    /// For a program's row as the other host knows it.
    KnownRow(ProgramKey),
    /// For a program's row as the store holds it, if the other host knows that.
    StoredRow(ProgramKey),
    /// To give back what the other host holds of a program's tokens and does not need.
    Yield(ProgramKey),
    /// For tokens of a program that the other host does not need, until the run has so many from it. The
    /// row tells that host of grants to it that it did not hear of.
    Give(ProgramKey, KnownRow, RunId, u64),
    /// For a turn.
    Find(TurnKey),
    /// For a turn and those before it in its line, as far as they are at hand.
    Line(TurnKey),
    /// For what the other host knows of targets' entries, if it changed since a version of the store.
    Targets(RowVersion),
    /// For the manifest in force at the other host, which comes as a message of its own.
    Manifest,
}

/// A question for a turn's tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GrantAsk {
    pub(crate) program: ProgramKey,
    pub(crate) claim: Claim,
    /// The row as the asking host knows it.
    pub(crate) known: KnownRow,
    /// Whether the turn may begin its program.
    pub(crate) begins: bool,
}

/// The reply to a question.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// What the store replied.
    Store(PlatformReply),
    /// A program's row, with the tokens granted if they were asked for.
    Granted(BudgetRow),
    /// A program's row as this host knows it.
    Known(KnownRow),
    /// A program's row as the store holds it.
    StoredRow(Option<(BudgetRow, RowVersion)>),
    /// A program's row as the store has it, with the tokens granted.
    Written(BudgetRow),
    /// How many tokens the host has been given by this one in all, and the runs that it gave others to.
    Given(u64, Vec<RunId>),
    /// The rest of the budget may be granted without the store.
    Withheld(Doubt),
    /// The budget does not hold them.
    Spent,
    /// It is done.
    Done,
    /// The turn, if it is at hand.
    Turn(Option<Turn>),
    /// Turns that are at hand.
    Line(Vec<(TurnKey, Turn)>),
    /// What is known of targets' entries, once anything is.
    Targets(Option<target_table::TableCopy>),
    /// This host cannot answer now.
    Refused,
}

/// The questions that wait for replies.
#[derive(Default)]
pub(crate) struct Asks {
    waiting: RefCell<Map<u64, oneshot::Sender<Reply>>>,
    next: Cell<u64>,
}

/// A question that waits for its reply; forgotten when dropped.
struct Waiting<'a> {
    asks: &'a Asks,
    id: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.asks.waiting.borrow_mut().remove(&self.id);
    }
}

/// Asks another host. Returns `None` if no reply came within `limit`: then it may or may not
/// have done what it was asked.
pub(crate) async fn ask(
    shared: &Shared,
    host: HostId,
    question: &Ask,
    limit: Duration,
) -> Option<Reply> {
    timeout(limit, ask_on(shared, host, question)).await.ok()?
}

/// Asks another host, and waits for its reply until dropped. Returns `None` if the question cannot
/// be sent.
pub(crate) async fn ask_on(shared: &Shared, host: HostId, question: &Ask) -> Option<Reply> {
    let question = encode(question)?;
    let asks = &shared.asks;
    let id = asks.next.get();
    asks.next.set(id + 1);
    let (tx, rx) = oneshot::channel();
    asks.waiting.borrow_mut().insert(id, tx);
    let _waiting = Waiting { asks, id };

    if !shared.fleet.send(host, Body::PeerQuery(wire::PeerQuery { id, question })) {
        return None;
    }
    rx.await.ok()
}

/// Tells another host something without waiting for its reply.
pub(crate) fn tell(shared: &Shared, host: HostId, question: &Ask) {
    /// No question has this number, so that the reply finds nobody waiting.
    const NOBODY: u64 = u64::MAX;

    if let Some(question) = encode(question) {
        // What is told this way is told again in another way if it is lost.
        shared.fleet.send(host, Body::PeerQuery(wire::PeerQuery { id: NOBODY, question }));
    }
}

/// Answers a question of another host.
pub(crate) async fn serve(shared: Rc<Shared>, from: HostId, message: wire::PeerQuery) {
    let reply = match serde_json::from_slice(&message.question) {
        Ok(question) => answer(&shared, from, question).await,
        Err(e) => {
            warn!(error = %e, host = from.0, "ask: question of another host not understood");
            Reply::Refused
        }
    };

    if let Some(reply) = encode(&reply) {
        // The asking host notices by a timeout if it does not arrive.
        shared
            .fleet
            .send(from, Body::PeerQueryReply(wire::PeerQueryReply { id: message.id, reply }));
    }
}

async fn answer(shared: &Rc<Shared>, from: HostId, question: Ask) -> Reply {
    match question {
        Ask::Store(op) => store::run_for_peer(shared, op).await,
        Ask::Grant(ask) => grants::grant_for_peer(shared, &ask).await,
        Ask::Stored(program, row, version) => grants::take_stored(shared, program, row, version),
        Ask::Loose(program, known) => grants::take_loose(shared, program, &known),
        Ask::KnownRow(program) => budget::known_row(shared, program),
        Ask::StoredRow(program) => Reply::StoredRow(shared.budgets.borrow().stored_row(program)),
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

/// Takes in a reply.
pub(crate) fn take_in(shared: &Shared, message: &wire::PeerQueryReply) {
    let Some(tx) = shared.asks.waiting.borrow_mut().remove(&message.id) else { return };

    match serde_json::from_slice(&message.reply) {
        // Whoever asked may have gone.
        Ok(reply) => drop(tx.send(reply)),
        Err(e) => warn!(error = %e, "ask: reply of another host not understood"),
    }
}

fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    serde_json::to_vec(value).inspect_err(|e| warn!(error = %e, "ask: message not written")).ok()
}
