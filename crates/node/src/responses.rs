//! HTTP answers of both APIs.

use dropshot::Body;
use http::{Response, StatusCode, header};
use serde::Serialize;

/// Makes an answer with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(body).expect("an answer is plain data");

    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(body.into())
        .expect("a status and a fixed header make an answer")
}
