//! The record of what a stand-in was sent, for tests to look into.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use http::Request;
use serde::{Deserialize, Serialize};

/// The most requests that are remembered; older ones are forgotten.
const MAX_REQUESTS: usize = 4096;

/// A request as it came.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenRequest {
    /// The method.
    pub method: Box<str>,
    /// The path, with its query.
    pub path: Box<str>,
    /// The headers by lower-case name.
    pub headers: BTreeMap<Box<str>, Box<str>>,
    /// The body, as text.
    pub body: Box<str>,
}

/// The last requests, oldest first.
#[derive(Debug, Default, Serialize)]
pub(crate) struct RequestLog {
    /// The requests.
    requests: VecDeque<SeenRequest>,
}

impl RequestLog {
    /// Adds a request.
    pub(crate) fn record(&mut self, req: &Request<Bytes>) {
        if self.requests.len() == MAX_REQUESTS {
            self.requests.pop_front();
        }

        self.requests.push_back(SeenRequest {
            method: req.method().as_str().into(),
            path: req.uri().path_and_query().map_or("", |path| path.as_str()).into(),
            headers: req
                .headers()
                .iter()
                .map(|(name, value)| {
                    (name.as_str().into(), String::from_utf8_lossy(value.as_bytes()).into())
                })
                .collect(),
            body: String::from_utf8_lossy(req.body()).into(),
        });
    }

    /// Returns the requests, oldest first.
    pub(crate) fn to_vec(&self) -> Vec<SeenRequest> {
        self.requests.iter().cloned().collect()
    }
}
