//! The protocol between the client and a platform: encoding of requests, decoding of answers.

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

/// A decoded answer, not yet interpreted in the light of earlier attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The transaction committed with this version.
    Committed(RowVersion),
    /// The transaction failed: these checked rows have other versions than expected.
    Conflict(Vec<Row>),
    /// The reply to an operation other than a transaction.
    Reply(PlatformReply),
}

/// The encoding and decoding functions for one kind of platform.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Encodes an operation; `None` if the platform does not support it.
    pub call: fn(&PlatformOp) -> Option<Call>,
    /// Decodes an answer; `None` if it is malformed or unexpected.
    pub answer: fn(&PlatformOp, StatusCode, &Bytes) -> Option<Answer>,
}

impl Default for Dialect {
    /// Returns the protocol that the platform stand-in of this project implements.
    fn default() -> Self {
        Self { encode_request: operations::call, decode_response: operations::answer }
    }
}
