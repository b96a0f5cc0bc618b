//! The protocol between the client and a platform: encoding of requests, decoding of responses.

use std::time::Duration;

use bytes::Bytes;
use camphorwalk_core::platform::{PlatformOp, PlatformReply, Row, RowVersion};
use http::{Method, StatusCode};

use crate::operations;

/// An HTTP request to the platform; each attempt sends the same one.
#[derive(Clone, Debug)]
pub struct StoreRequest {
    /// The method.
    pub method: Method,
    /// The path, with its query.
    pub path: Box<str>,
    /// The body.
    pub body: Bytes,
    /// How long the request asks the platform to wait for changes. Added to the timeout for the
    /// response head.
    pub wait: Duration,
}

/// A decoded response, not yet interpreted in the light of earlier attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// The transaction committed with this version.
    Committed(RowVersion),
    /// The transaction failed: these checked rows have other versions than expected.
    Conflict(Vec<Row>),
    /// The reply to an operation other than a transaction.
    Reply(PlatformReply),
}

/// The encoding and decoding functions for one kind of platform.
#[derive(Clone, Copy, Debug)]
pub struct StoreProtocol {
    /// Encodes an operation; `None` if the platform does not support it.
    pub encode_request: fn(&PlatformOp) -> Option<StoreRequest>,
    /// Decodes a response; `None` if it is malformed or unexpected.
    pub decode_response: fn(&PlatformOp, StatusCode, &Bytes) -> Option<StoreResponse>,
}

impl Default for StoreProtocol {
    /// Returns the protocol that the platform stand-in of this project implements.
    fn default() -> Self {
        Self {
            encode_request: operations::encode_request,
            decode_response: operations::decode_response,
        }
    }
}
