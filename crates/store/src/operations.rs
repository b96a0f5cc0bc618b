//! Encodes operations as requests and interprets responses as replies.

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

/// What to do when the response to an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OnLostResponse {
    /// Send the request again: this is harmless, and the second response is as good as the first.
    Resend,
    /// Stop: the effect of a second request could not be told from that of the first.
    GiveUp,
}

/// What is known about the attempts before the one that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EarlierAttempts {
    /// None of them took effect, or there were none.
    NotExecuted,
    /// The response to one of them was lost.
    ResponseLost,
    /// The response to one of them was lost, and the operation started too long ago to determine
    /// the outcome from the platform's rows.
    LostTooLongAgo,
}

/// Returns the metric label of the operation.
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

/// Returns the table that the operation accesses, for the logs.
pub(crate) fn table(op: &PlatformOp) -> &str {
    match op {
        PlatformOp::Commit(tx) => {
            let first = tx.writes.first().map(|w| &w.key).or(tx.checks.first().map(|c| &c.key));
            first.map_or("", |key| &key.table)
        }
        PlatformOp::Read(keys) => keys.first().map_or("", |key| &key.table),
        PlatformOp::Scan { table, .. }
        | PlatformOp::Snapshot { table, .. }
        | PlatformOp::Changes { table, .. } => table,
        PlatformOp::PutObject(_) | PlatformOp::GetObject(_) => "objects",
    }
}

/// Returns whether the operation counts as a read or as a write in the host's quota.
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

/// Returns what to do when the response to the operation was lost.
pub(crate) fn on_lost_response(op: &PlatformOp) -> OnLostResponse {
    match op {
        // An object's name is the hash of its content, so a second put changes nothing. The
        // others only read.
        PlatformOp::PutObject(_)
        | PlatformOp::Read(_)
        | PlatformOp::Scan { .. }
        | PlatformOp::GetObject(_)
        | PlatformOp::Snapshot { .. }
        | PlatformOp::Changes { .. } => OnLostResponse::Resend,
        PlatformOp::Commit(tx) if tx.writes.is_empty() => OnLostResponse::Resend,
        // The module `witness` explains why this is safe.
        PlatformOp::Commit(tx) if witness::has_witness(tx) => OnLostResponse::Resend,
        PlatformOp::Commit(_) => OnLostResponse::GiveUp,
    }
}

/// Returns the reply for an operation of which no attempt was answered.
pub(crate) fn reply_without_response(op: &PlatformOp, lost: bool) -> PlatformReply {
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
    /// The prefix of the keys to return.
    prefix: &'a str,
    /// The scan starts after this key; empty for the beginning.
    after: &'a str,
    /// The maximum number of rows to return.
    limit: u32,
}

/// Encodes an operation for the stand-in's protocol, or returns `None` if it does not support it.
pub(crate) fn encode_request(op: &PlatformOp) -> Option<StoreRequest> {
    let request = match op {
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

    Some(request)
}

/// Returns the request for the list of hosts.
pub(crate) fn hosts_request() -> StoreRequest {
    get("/v1/hosts".into())
}

/// Returns the path of an object.
fn object_path(name: &ObjectName) -> Box<str> {
    format!("/v1/objects/{}", name.0).into()
}

/// Creates a GET request.
fn get(path: Box<str>) -> StoreRequest {
    StoreRequest { method: Method::GET, path, body: Bytes::new(), wait: Duration::ZERO }
}

/// Creates a POST request with a JSON body. Serializing the types used here cannot fail.
fn post<T: Serialize>(path: &str, body: &T) -> StoreRequest {
    let body = serde_json::to_vec(body).unwrap_or_default().into();

    StoreRequest { method: Method::POST, path: path.into(), body, wait: Duration::ZERO }
}

/// The response body of a transaction.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CommitResponse {
    /// The transaction committed with this version.
    Committed(RowVersion),
    /// The transaction failed: these checked rows have other versions than expected.
    Conflict(Vec<Row>),
}

/// The response body of a read or scan.
#[derive(Debug, Deserialize)]
struct RowsResponse {
    /// The rows, in key order.
    rows: Vec<Row>,
}

/// The response body of the list of hosts.
#[derive(Debug, Deserialize)]
struct HostsResponse {
    /// The hosts.
    hosts: Vec<HostListing>,
}

/// Decodes the list of hosts; `None` if the response cannot be decoded.
pub(crate) fn read_hosts(status: StatusCode, body: &Bytes) -> Option<Vec<HostListing>> {
    let response: HostsResponse = parse(status, body)?;

    Some(response.hosts)
}

/// Decodes a response in the stand-in's protocol; `None` if it is malformed or unexpected.
pub(crate) fn decode_response(
    op: &PlatformOp,
    status: StatusCode,
    body: &Bytes,
) -> Option<StoreResponse> {
    match op {
        PlatformOp::Commit(_) => commit_response(status, body),
        PlatformOp::Read(_) | PlatformOp::Scan { .. } => parse(status, body)
            .map(|response: RowsResponse| StoreResponse::Reply(PlatformReply::Rows(response.rows))),
        PlatformOp::PutObject(content) => status
            .is_success()
            .then(|| StoreResponse::Reply(PlatformReply::Stored(ObjectName::of(content)))),
        PlatformOp::GetObject(name) => object_reply(name, status, body).map(StoreResponse::Reply),
        PlatformOp::Snapshot { .. } | PlatformOp::Changes { .. } => None,
    }
}

/// Decodes the response to a transaction.
fn commit_response(status: StatusCode, body: &Bytes) -> Option<StoreResponse> {
    if status != StatusCode::OK && status != StatusCode::CONFLICT {
        return None;
    }

    match serde_json::from_slice(body).ok()? {
        CommitResponse::Committed(version) => Some(StoreResponse::Committed(version)),
        CommitResponse::Conflict(rows) => Some(StoreResponse::Conflict(rows)),
    }
}

/// Returns the reply for a response, given what is known about earlier attempts.
pub(crate) fn reply(
    op: &PlatformOp,
    earlier: EarlierAttempts,
    response: StoreResponse,
) -> PlatformReply {
    match (op, response) {
        (PlatformOp::Commit(tx), StoreResponse::Conflict(rows)) => {
            conflict_reply(tx, earlier, rows)
        }
        (_, StoreResponse::Conflict(rows)) => PlatformReply::Conflict(rows),
        (_, StoreResponse::Committed(version)) => PlatformReply::Committed(version),
        (_, StoreResponse::Reply(reply)) => reply,
    }
}

/// Returns the reply for a conflict. The conflict may be with an earlier attempt of the same
/// transaction.
fn conflict_reply(tx: &Transaction, earlier: EarlierAttempts, rows: Vec<Row>) -> PlatformReply {
    let explanation = match earlier {
        // Without writes, an earlier attempt cannot be the cause of the conflict.
        _ if tx.writes.is_empty() => Explanation::NotCommitted,
        EarlierAttempts::NotExecuted => Explanation::NotCommitted,
        EarlierAttempts::ResponseLost => witness::explain(tx, &rows),
        EarlierAttempts::LostTooLongAgo => Explanation::Undetermined,
    };

    match explanation {
        Explanation::Committed(version) => PlatformReply::Committed(version),
        Explanation::NotCommitted => PlatformReply::Conflict(rows),
        Explanation::Undetermined => PlatformReply::Unknown,
    }
}

/// Decodes the response to reading an object.
fn object_reply(name: &ObjectName, status: StatusCode, body: &Bytes) -> Option<PlatformReply> {
    if status == StatusCode::NOT_FOUND {
        return Some(PlatformReply::Object(None));
    }

    // A corrupted object must not be used as a program's history.
    if status != StatusCode::OK || ObjectName::of(body) != *name {
        return None;
    }

    Some(PlatformReply::Object(Some(body.to_vec().into())))
}

/// Decodes the JSON body of a successful response.
fn parse<T: serde::de::DeserializeOwned>(status: StatusCode, body: &Bytes) -> Option<T> {
    if status != StatusCode::OK {
        return None;
    }

    serde_json::from_slice(body).ok()
}
