//! How operations are put to a platform, and what its answers say.

use std::time::Duration;

use bytes::Bytes;
use camphorwalk_core::platform::{PlatformOp, PlatformReply, Row, RowVersion};
use http::{Method, StatusCode};

use crate::operations;

/// A request to the platform, as it is sent at each try.
#[derive(Clone, Debug)]
pub struct StoreRequest {
    /// The method.
    pub method: Method,
    /// The path, with its query.
    pub path: Box<str>,
    /// The body.
    pub body: Bytes,
    /// How long the platform was asked to wait for changes; the answer's head is waited for that
    /// much longer.
    pub wait: Duration,
}

/// What one answer says, whatever became of earlier tries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// The transaction took effect with this version.
    Committed(RowVersion),
    /// These checked rows stand differently.
    Conflict(Vec<Row>),
    /// The reply to an operation other than a transaction.
    Reply(PlatformReply),
}

/// A platform's way of speaking.
#[derive(Clone, Copy, Debug)]
pub struct StoreProtocol {
    /// Makes the request of an operation; `None` if the platform has no such operation.
    pub encode_request: fn(&PlatformOp) -> Option<StoreRequest>,
    /// Reads an answer; `None` if it makes no sense.
    pub decode_response: fn(&PlatformOp, StatusCode, &Bytes) -> Option<StoreResponse>,
}

impl Default for StoreProtocol {
    /// Returns the product's own dialect, which its stand-in speaks.
    fn default() -> Self {
        Self { encode_request: operations::call, decode_response: operations::answer }
    }
}
