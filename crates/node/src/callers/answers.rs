//! Converts replies to callers into HTTP responses.

use std::fmt;
use std::time::Duration;

use camphorwalk_core::calls::{CallOutcome, Code, CompletedCall, Refusal, Reply, Usage};
use dropshot::{Body, ErrorStatusCode, HttpError, HttpResponseError};
use http::{Response, StatusCode, header};
use schemars::JsonSchema;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::responses::json;

/// A request that did not get as far as the API: its path, query or body is malformed.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Malformed {
    /// What went wrong.
    #[schemars(with = "serde_json::Value")]
    error: Refusal,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.error.message)
    }
}

impl HttpResponseError for Malformed {
    fn status_code(&self) -> ErrorStatusCode {
        let status = StatusCode::from_u16(self.error.code.status()).ok();

        status
            .and_then(|status| ErrorStatusCode::from_status(status).ok())
            .unwrap_or(ErrorStatusCode::BAD_REQUEST)
    }
}

/// Part of dropshot's message for a body over the limit. Dropshot has no error code for it, so the
/// message is the only way to recognize the case.
const OVER_LIMIT: &str = "exceeded maximum size";

impl From<HttpError> for Malformed {
    fn from(e: HttpError) -> Self {
        let too_large = e.status_code.as_status() == StatusCode::PAYLOAD_TOO_LARGE
            || e.external_message.contains(OVER_LIMIT);
        let code = match e.status_code.as_status() {
            _ if too_large => Code::TooLarge,
            StatusCode::NOT_FOUND => Code::NotFound,
            _ => Code::BadRequest,
        };

        Self { error: Refusal::not_run(code, e.external_message) }
    }
}

/// The response body for a call that succeeded.
#[derive(Serialize)]
struct CalledBody<'a> {
    call: u32,
    output: &'a RawValue,
    usage: &'a Usage,
    stored: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    tail: Option<&'a str>,
}

/// The response body for the recorded outcome of a call.
#[derive(Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum OutcomeBody<'a> {
    Running,
    Done { answer: CalledBody<'a> },
    Failed { error: &'a Refusal },
}

/// One call in the response body for a program's history.
#[derive(Serialize)]
struct HistoryBody<'a> {
    call: u32,
    key: &'a str,
    target: &'a str,
    input: &'a RawValue,
    output: &'a RawValue,
    stored: bool,
}

/// Returns the HTTP response for a reply.
pub fn response(reply: &Reply) -> Response<Body> {
    match reply {
        Reply::Opened(opened) => json(StatusCode::CREATED, opened),
        Reply::Called(called) => json(StatusCode::OK, &called_body(called)),
        Reply::View(view) => json(StatusCode::OK, view),
        Reply::Outcome(outcome) => json(StatusCode::OK, &outcome_body(outcome)),
        Reply::History { calls } => {
            let calls: Vec<_> = calls
                .iter()
                .map(|c| HistoryBody {
                    call: c.call,
                    key: &c.key,
                    target: &c.target,
                    input: raw_json(&c.input),
                    output: raw_json(&c.output),
                    stored: c.stored,
                })
                .collect();
            json(StatusCode::OK, &serde_json::json!({ "calls": calls }))
        }
        Reply::Ended => json(StatusCode::OK, &serde_json::json!({ "state": "ended" })),
        Reply::Refused(refusal) => refused(refusal),
    }
}

/// Returns the HTTP response for a refusal, with `Retry-After` if the refusal has a delay.
pub fn refused(refusal: &Refusal) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = json(status, &error_json(refusal));

    if let Some(after) = refusal.retry_after {
        let seconds = header::HeaderValue::from(whole_seconds(after));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }

    response
}

/// Returns the JSON body for a refusal.
pub fn error_json(refusal: &Refusal) -> serde_json::Value {
    serde_json::json!({ "error": refusal })
}

/// Returns the JSON body for a call that succeeded.
pub fn called_json(called: &CompletedCall) -> String {
    serde_json::to_string(&called_body(called)).expect("a response body serializes to JSON")
}

fn called_body(called: &CompletedCall) -> CalledBody<'_> {
    CalledBody {
        call: called.call,
        output: raw_json(&called.output),
        usage: &called.usage,
        stored: called.stored,
        tail: called.tail.as_deref(),
    }
}

fn outcome_body(outcome: &CallOutcome) -> OutcomeBody<'_> {
    match outcome {
        CallOutcome::Running => OutcomeBody::Running,
        CallOutcome::Done(called) => OutcomeBody::Done { answer: called_body(called) },
        CallOutcome::Failed(error) => OutcomeBody::Failed { error },
    }
}

/// Returns the JSON that a stored text holds. All stored texts are valid JSON; `null` stands in for
/// one that is not.
fn raw_json(text: &str) -> &RawValue {
    serde_json::from_str(text).unwrap_or(RawValue::NULL)
}

/// Rounds a delay up to the whole seconds of `Retry-After`, so that callers do not retry too early.
fn whole_seconds(after: Duration) -> u64 {
    after.as_millis().div_ceil(1_000).max(1) as u64
}
