//! Queries between hosts and their replies.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::Body;
use camphorwalk_core::messages::entry as wire;
use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowVersion};
use camphorwalk_policy::entry::budgets::{BudgetRow, Claim, KnownRow, ProgramKey, RunId};
use camphorwalk_policy::entry::evacuations::EvacuationsCopy;
use camphorwalk_policy::entry::shares::Doubt;
use camphorwalk_policy::entry::stream_origins::{KnownOrigin, Origin, StreamKey, StreamKeys};
use camphorwalk_policy::entry::target_table;
use camphorwalk_policy::entry::turns::{Turn, TurnKey};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::warn;

use crate::host::Shared;
use crate::{budget, clock, grants, manifests, store, stream_origins, turns};

/// A query to another host. The comment on each variant says what the receiver does.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Query {
    /// Runs an operation on the store.
    Store(PlatformOp),
    /// Grants the tokens of a turn while the store is not settled (see `Shared::is_settled`).
    Grant(GrantQuery),
    /// Consents to grants of a program's whole budget by the store, and grants no more of it without
    /// the store. The row is the one that the querying host knows.
    Consent(ProgramKey, KnownRow),
    /// Merges the row that the store holds for a program.
    Stored(ProgramKey, BudgetRow, RowVersion),
    /// Records unstored grants, and writes them to the store later if the hosts that were granted
    /// the tokens do not.
    Loose(ProgramKey, KnownRow),
    /// Returns a program's row as the receiver knows it.
    KnownRow(ProgramKey),
    /// Returns a program's row as the store holds it, if the receiver knows that.
    StoredRow(ProgramKey),
    /// Gives the receiver's unused tokens of a program back to the budget.
    Yield(ProgramKey),
    /// Transfers unused tokens of a program to a run, until the run has this total from the
    /// receiver. The row includes grants to the receiver that it may not know of yet.
    Give(ProgramKey, KnownRow, RunId, u64),
    /// Returns a turn if the receiver has it in memory.
    Find(TurnKey),
    /// Returns a turn and the earlier turns of its conversation, as far as the receiver has them in
    /// memory.
    Line(TurnKey),
    /// Returns the receiver's copy of the target table. The rows are left out if none has changed
    /// since this version of the store.
    Targets(RowVersion),
    /// Records at which service and version a stream began.
    StreamBegan(StreamKeys, Origin),
    /// Returns what the receiver knows of where a stream began.
    StreamOrigin(StreamKey),
    /// Sends the manifest in force at the receiver, as a separate message before the reply.
    Manifest,
}

/// A query for the tokens of a turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GrantQuery {
    pub(crate) program: ProgramKey,
    pub(crate) claim: Claim,
    /// The row as the querying host knows it.
    pub(crate) known: KnownRow,
    /// Whether the turn may be the first of its program.
    pub(crate) begins: bool,
}

/// The reply to a query.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum QueryReply {
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
    /// The total that the replying host has transferred to the querying run, and all runs to which
    /// it has transferred tokens.
    Given(u64, Vec<RunId>),
    /// The store may grant the whole budget while the lease row has this version. The program's row
    /// contains all grants made by the replying host.
    Consented(KnownRow, RowVersion),
    /// The rest of the budget may have been granted without the store.
    Withheld(Doubt),
    /// The budget does not have enough tokens left.
    Spent,
    /// The query was carried out.
    Done,
    /// The turn, if the replying host has it in memory.
    Turn(Option<Turn>),
    /// The turns that the replying host has in memory.
    Line(Vec<(TurnKey, Turn)>),
    /// The copy of the target table; `None` if the replying host has none yet.
    Targets(Option<TargetsCopy>),
    /// What the replying host knows of where the stream began.
    StreamOrigin(KnownOrigin),
    /// The host cannot carry out the query now.
    Refused,
}

/// A host's copies of the target table and of the evacuated zones.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TargetsCopy {
    #[serde(flatten)]
    pub(crate) table: target_table::TableCopy,
    /// `None` from an older build, or if the host has no copy yet.
    #[serde(default)]
    pub(crate) evacuations: Option<EvacuationsCopy>,
}

/// The queries of this host that wait for a reply.
#[derive(Default)]
pub(crate) struct PendingQueries {
    reply_senders: RefCell<Map<u64, oneshot::Sender<QueryReply>>>,
    next_id: Cell<u64>,
}

/// A query that waits for its reply. Dropping it discards a late reply.
struct PendingQuery<'a> {
    queries: &'a PendingQueries,
    id: u64,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.queries.reply_senders.borrow_mut().remove(&self.id);
    }
}

/// Sends a query to another host. Returns `None` if it cannot be sent or no reply comes within
/// `limit`. The other host may or may not have carried it out.
pub(crate) async fn send(
    shared: &Shared,
    host: HostId,
    query: &Query,
    limit: Duration,
) -> Option<QueryReply> {
    timeout(limit, send_until_dropped(shared, host, query)).await.ok()?
}

/// Sends a query to another host, and waits for the reply until dropped. Returns `None` if the
/// query cannot be sent.
pub(crate) async fn send_until_dropped(
    shared: &Shared,
    host: HostId,
    query: &Query,
) -> Option<QueryReply> {
    let question = encode(query)?;
    let queries = &shared.pending_queries;
    let id = queries.next_id.get();
    queries.next_id.set(id + 1);
    let (tx, rx) = oneshot::channel();
    queries.reply_senders.borrow_mut().insert(id, tx);
    let _pending = PendingQuery { queries, id };

    if !shared.fleet.send(host, Body::PeerQuery(wire::PeerQuery { id, question })) {
        return None;
    }
    rx.await.ok()
}

/// The id of queries whose sender ignores the reply.
const UNUSED_ID: u64 = u64::MAX;

/// Sends a query to another host without waiting for the reply.
pub(crate) fn notify(shared: &Shared, host: HostId, query: &Query) {
    if let Some(question) = encode(query) {
        // These queries send rows of budgets and origins of streams. A lost one does no harm: a host
        // fetches the row from other hosts before it grants tokens without the store, and refuses to
        // resume a stream whose origin it does not find out.
        shared.fleet.send(host, Body::PeerQuery(wire::PeerQuery { id: UNUSED_ID, question }));
    }
}

/// Handles a query of another host and sends the reply.
pub(crate) async fn serve(shared: Rc<Shared>, from: HostId, message: wire::PeerQuery) {
    let reply = match serde_json::from_slice(&message.question) {
        Ok(query) => handle(&shared, from, query).await,
        Err(e) => {
            warn!(error = %e, host = from.0, "ask: query of another host cannot be parsed");
            QueryReply::Refused
        }
    };

    if message.id == UNUSED_ID {
        return;
    }
    if let Some(reply) = encode(&reply) {
        // If the reply is lost, the querying host runs into its timeout.
        shared
            .fleet
            .send(from, Body::PeerQueryReply(wire::PeerQueryReply { id: message.id, reply }));
    }
}

async fn handle(shared: &Rc<Shared>, from: HostId, query: Query) -> QueryReply {
    match query {
        Query::Store(op) => store::run_for_peer(shared, op).await,
        Query::Grant(query) => grants::grant_for_peer(shared, &query).await,
        Query::Consent(program, known) => match grants::consent(shared, program, &known) {
            Ok((known, version)) => QueryReply::Consented(known, version),
            Err(doubt) => QueryReply::Withheld(doubt),
        },
        Query::Stored(program, row, version) => grants::apply_stored(shared, program, row, version),
        Query::Loose(program, known) => grants::record_unstored(shared, program, &known),
        Query::KnownRow(program) => budget::known_row(shared, program),
        Query::StoredRow(program) => {
            QueryReply::StoredRow(shared.budgets.borrow().stored_row(program))
        }
        Query::Yield(program) => budget::return_unused(shared, program),
        Query::Give(program, known, to, total) => {
            budget::transfer(shared, program, &known, to, total)
        }
        Query::Manifest => manifests::handle_query(shared, from),
        Query::Targets(has) => {
            let table = shared.target_table.borrow().copy_for(clock::now(), has);
            let evacuations = shared.evacuations.borrow().copy().cloned();
            QueryReply::Targets(table.map(|table| TargetsCopy { table, evacuations }))
        }
        Query::StreamBegan(stream, origin) => {
            stream_origins::record_told(shared, stream, &origin);
            QueryReply::Done
        }
        Query::StreamOrigin(key) => {
            QueryReply::StreamOrigin(stream_origins::known_origin(shared, key))
        }
        Query::Line(key) => QueryReply::Line(turns::cached_conversation(shared, key)),
        Query::Find(key) => QueryReply::Turn(turns::cached_turn(shared, key)),
    }
}

/// Passes a reply on to the task that waits for it.
pub(crate) fn handle_reply(shared: &Shared, message: &wire::PeerQueryReply) {
    let Some(tx) = shared.pending_queries.reply_senders.borrow_mut().remove(&message.id) else {
        return;
    };

    match serde_json::from_slice(&message.reply) {
        // The waiting task may have ended in the meantime.
        Ok(reply) => drop(tx.send(reply)),
        Err(e) => warn!(error = %e, "ask: reply of another host cannot be parsed"),
    }
}

fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    serde_json::to_vec(value)
        .inspect_err(|e| warn!(error = %e, "ask: message cannot be serialized"))
        .ok()
}
