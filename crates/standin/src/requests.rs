//! Records the requests that a stand-in receives, so that tests can inspect them.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use http::Request;
use serde::{Deserialize, Serialize};

/// The maximum number of recorded requests. The oldest ones are dropped first.
const MAX_REQUESTS: usize = 4096;

/// A received request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenRequest {
    /// The HTTP method.
    pub method: Box<str>,
    /// The path including the query.
    pub path: Box<str>,
    /// The headers, by lower-case name.
    pub headers: BTreeMap<Box<str>, Box<str>>,
    /// The body, as text.
    pub body: Box<str>,
}

/// The most recent requests, oldest first.
#[derive(Debug, Default, Serialize)]
pub(crate) struct RequestLog {
    /// The requests.
    requests: VecDeque<SeenRequest>,
}

impl RequestLog {
    /// Adds a request, and drops the oldest one if the log is full.
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

    /// Returns a copy of the requests, oldest first.
    pub(crate) fn to_vec(&self) -> Vec<SeenRequest> {
        self.requests.iter().cloned().collect()
    }
}
