//! HTTP responses of the APIs for callers and operators.

use dropshot::Body;
use http::{Response, StatusCode, header};
use serde::Serialize;

/// Builds a response with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(body).expect("a response body serializes to JSON");

    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(body.into())
        .expect("a response with a valid status and a fixed header is valid")
}
