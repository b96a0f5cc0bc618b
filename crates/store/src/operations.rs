//! Each operation as a request, and each answer as a reply.

use std::time::Duration;

use bytes::Bytes;
use camphorwalk_core::platform::{
    HostListing, ObjectName, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction,
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::limits::Access;
use crate::protocol::{StoreRequest, StoreResponse};
use crate::witness::{self, Explanation};

/// What may be done when the answer to a try was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OnLoss {
    /// Sending again is harmless, and the answer to it is as good as the first.
    SendAgain,
    /// Nothing: a second sending could not be told from the first.
    GiveUp,
}

/// What became of the tries before the one that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Earlier {
    /// None of them did anything, or there were none.
    NotDone,
    /// The answer to one of them was lost.
    Lost,
    /// The answer to one of them was lost, and the operation began too long ago for the
    /// platform's rows to tell what became of it.
    LongLost,
}

/// Returns the operation's name in metrics.
pub(crate) fn name(op: &PlatformOp) -> &'static str {
    match op {
        PlatformOp::Commit(_) => "commit",
        PlatformOp::Read(_) => "read",
        PlatformOp::Scan { .. } => "scan",
        PlatformOp::PutObject(_) => "put_object",
        PlatformOp::GetObject(_) => "get_object",
        PlatformOp::Snapshot { .. } => "snapshot",
        PlatformOp::Changes { .. } => "changes",
    }
}

/// Returns the share that the operation counts against.
pub(crate) fn access(op: &PlatformOp) -> Access {
    match op {
        PlatformOp::Commit(_) | PlatformOp::PutObject(_) => Access::Write,
        PlatformOp::Read(_)
        | PlatformOp::Scan { .. }
        | PlatformOp::GetObject(_)
        | PlatformOp::Snapshot { .. }
        | PlatformOp::Changes { .. } => Access::Read,
    }
}

/// Returns what may be done when the answer was lost.
pub(crate) fn on_loss(op: &PlatformOp) -> OnLoss {
    match op {
        // Objects are named by their content, so that a second put changes nothing; the
        // others write nothing.
        PlatformOp::PutObject(_)
        | PlatformOp::Read(_)
        | PlatformOp::Scan { .. }
        | PlatformOp::GetObject(_)
        | PlatformOp::Snapshot { .. }
        | PlatformOp::Changes { .. } => OnLoss::SendAgain,
        PlatformOp::Commit(tx) if tx.writes.is_empty() => OnLoss::SendAgain,
        // The module `witness` tells why this is safe.
        PlatformOp::Commit(tx) if witness::has_witness(tx) => OnLoss::SendAgain,
        PlatformOp::Commit(_) => OnLoss::GiveUp,
    }
}

/// Returns the reply when no try was answered.
pub(crate) fn unanswered(op: &PlatformOp, lost: bool) -> PlatformReply {
    match op {
        PlatformOp::Commit(tx) if lost && !tx.writes.is_empty() => PlatformReply::Unknown,
        PlatformOp::PutObject(_) if lost => PlatformReply::Unknown,
        _ => PlatformReply::Unavailable,
    }
}

/// A read of rows by key.
#[derive(Debug, Serialize)]
struct ReadRequest<'a> {
    /// The rows.
    keys: &'a [RowKey],
}

/// A scan of a table.
#[derive(Debug, Serialize)]
struct ScanRequest<'a> {
    /// The table.
    table: &'a str,
    /// What keys begin with.
    prefix: &'a str,
    /// The last key already seen, or empty.
    after: &'a str,
    /// The most rows to return.
    limit: u32,
}

/// Returns the request of an operation in the product's own dialect, if it has one.
pub(crate) fn call(op: &PlatformOp) -> Option<StoreRequest> {
    let call = match op {
        PlatformOp::Commit(tx) => post("/v1/tx", tx),
        PlatformOp::Read(keys) => post("/v1/read", &ReadRequest { keys }),
        PlatformOp::Scan { table, prefix, after, limit } => {
            post("/v1/scan", &ScanRequest { table, prefix, after, limit: *limit })
        }
        PlatformOp::PutObject(content) => StoreRequest {
            method: Method::PUT,
            path: object_path(&ObjectName::of(content)),
            body: Bytes::copy_from_slice(content),
            wait: Duration::ZERO,
        },
        PlatformOp::GetObject(name) => get(object_path(name)),
        PlatformOp::Snapshot { .. } | PlatformOp::Changes { .. } => return None,
    };

    Some(call)
}

/// Returns the request for the list of hosts.
pub(crate) fn hosts_call() -> StoreRequest {
    get("/v1/hosts".into())
}

/// Returns the path of an object.
fn object_path(name: &ObjectName) -> Box<str> {
    format!("/v1/objects/{}", name.0).into()
}

/// Makes a request that asks for something.
fn get(path: Box<str>) -> StoreRequest {
    StoreRequest { method: Method::GET, path, body: Bytes::new(), wait: Duration::ZERO }
}

/// Makes a request with a JSON body; the types of this module cannot fail to be written.
fn post<T: Serialize>(path: &str, body: &T) -> StoreRequest {
    let body = serde_json::to_vec(body).unwrap_or_default().into();

    StoreRequest { method: Method::POST, path: path.into(), body, wait: Duration::ZERO }
}

/// The answer to a transaction.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CommitAnswer {
    /// It took effect with this version.
    Committed(RowVersion),
    /// These checked rows stand differently.
    Conflict(Vec<Row>),
}

/// Rows as answered.
#[derive(Debug, Deserialize)]
struct RowsAnswer {
    /// The rows, in key order.
    rows: Vec<Row>,
}

/// The list of hosts as answered.
#[derive(Debug, Deserialize)]
struct HostsAnswer {
    /// The hosts.
    hosts: Vec<HostListing>,
}

/// Reads the list of hosts; returns none if the answer is not one.
pub(crate) fn read_hosts(status: StatusCode, body: &Bytes) -> Option<Vec<HostListing>> {
    let answer: HostsAnswer = parse(status, body)?;

    Some(answer.hosts)
}

/// Returns what an answer in the product's own dialect says, or none if it makes no sense.
pub(crate) fn answer(op: &PlatformOp, status: StatusCode, body: &Bytes) -> Option<StoreResponse> {
    match op {
        PlatformOp::Commit(_) => commit_answer(status, body),
        PlatformOp::Read(_) | PlatformOp::Scan { .. } => parse(status, body)
            .map(|answer: RowsAnswer| StoreResponse::Reply(PlatformReply::Rows(answer.rows))),
        PlatformOp::PutObject(content) => status
            .is_success()
            .then(|| StoreResponse::Reply(PlatformReply::Stored(ObjectName::of(content)))),
        PlatformOp::GetObject(name) => object_reply(name, status, body).map(StoreResponse::Reply),
        PlatformOp::Snapshot { .. } | PlatformOp::Changes { .. } => None,
    }
}

/// Returns what an answer to a transaction says.
fn commit_answer(status: StatusCode, body: &Bytes) -> Option<StoreResponse> {
    if status != StatusCode::OK && status != StatusCode::CONFLICT {
        return None;
    }

    match serde_json::from_slice(body).ok()? {
        CommitAnswer::Committed(version) => Some(StoreResponse::Committed(version)),
        CommitAnswer::Conflict(rows) => Some(StoreResponse::Conflict(rows)),
    }
}

/// Returns the reply that an answer comes to, given what became of the tries before it.
pub(crate) fn reply(op: &PlatformOp, earlier: Earlier, answer: StoreResponse) -> PlatformReply {
    match (op, answer) {
        (PlatformOp::Commit(tx), StoreResponse::Conflict(rows)) => {
            conflict_reply(tx, earlier, rows)
        }
        (_, StoreResponse::Conflict(rows)) => PlatformReply::Conflict(rows),
        (_, StoreResponse::Committed(version)) => PlatformReply::Committed(version),
        (_, StoreResponse::Reply(reply)) => reply,
    }
}

/// Returns the reply that a conflict gives; it may be with this very transaction, sent
/// before.
fn conflict_reply(tx: &Transaction, earlier: Earlier, rows: Vec<Row>) -> PlatformReply {
    let explanation = match earlier {
        // A transaction without writes conflicts with nothing of its own.
        _ if tx.writes.is_empty() => Explanation::NotCommitted,
        Earlier::NotDone => Explanation::NotCommitted,
        Earlier::Lost => witness::explain(tx, &rows),
        Earlier::LongLost => Explanation::Unclear,
    };

    match explanation {
        Explanation::Committed(version) => PlatformReply::Committed(version),
        Explanation::NotCommitted => PlatformReply::Conflict(rows),
        Explanation::Unclear => PlatformReply::Unknown,
    }
}

/// Returns the reply that an answer to reading an object gives.
fn object_reply(name: &ObjectName, status: StatusCode, body: &Bytes) -> Option<PlatformReply> {
    if status == StatusCode::NOT_FOUND {
        return Some(PlatformReply::Object(None));
    }

    // A damaged history must not be taken for the program's own.
    if status != StatusCode::OK || ObjectName::of(body) != *name {
        return None;
    }

    Some(PlatformReply::Object(Some(body.to_vec().into())))
}

/// Reads the JSON body of a good answer.
fn parse<T: serde::de::DeserializeOwned>(status: StatusCode, body: &Bytes) -> Option<T> {
    if status != StatusCode::OK {
        return None;
    }

    serde_json::from_slice(body).ok()
}
