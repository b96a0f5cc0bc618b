//! Runs operations at services.

use camphorwalk_core::calls::Usage;
use camphorwalk_core::ids::ProgramId;
use camphorwalk_policy::shared_types::{AttemptOutcome, Dispatch};
use http::StatusCode;
use http_body_util::{BodyExt as _, Limited};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{MAX_ANSWER_BYTES, TargetAddress, Targets, post, send_failure};

/// The body of a request to run an operation.
#[derive(Serialize)]
struct Run<'a> {
    operation: &'a str,
    key: &'a str,
    program: ProgramId,
    call: u32,
    input: &'a RawValue,
}

/// The body of an answer with status 2xx.
#[derive(Deserialize)]
struct Output {
    output: serde_json::Value,
}

/// The body of an answer with any other status.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Failure {
    error: Box<str>,
    ran: Option<bool>,
}

impl Targets {
    /// Runs an operation of a service.
    pub(super) async fn run_operation(
        &self,
        target: TargetAddress,
        dispatch: &Dispatch,
        operation: &str,
        key: &str,
        input: &str,
    ) -> AttemptOutcome {
        let Ok(input) = serde_json::from_str::<&RawValue>(input) else {
            return AttemptOutcome::Refused { message: "the input is not JSON".into() };
        };
        let (program, call) = (dispatch.program, dispatch.number);
        let body = serde_json::to_vec(&Run { operation, key, program, call, input })
            .expect("a request serializes to JSON");

        let response = match self.shared.client.request(post(target, "/v1/run", body)).await {
            Ok(response) => response,
            Err(e) => return send_failure(&e),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let Ok(body) = body.collect().await else {
            return AttemptOutcome::Lost { streamed: false, crashed: true };
        };

        read_answer(status, &body.to_bytes())
    }
}

fn read_answer(status: StatusCode, body: &[u8]) -> AttemptOutcome {
    if status.is_success() {
        return match serde_json::from_slice::<Output>(body) {
            Ok(Output { output }) => {
                AttemptOutcome::Done { output: output.to_string().into(), usage: Usage::default() }
            }
            Err(_) => AttemptOutcome::Failed { message: "a malformed answer".into() },
        };
    }

    // Only the service itself can say that it did not run the operation, by status 503 or
    // `ran: false`. After any other failure the operation may have run.
    let failure: Failure = serde_json::from_slice(body).unwrap_or_default();
    if status == StatusCode::SERVICE_UNAVAILABLE || failure.ran == Some(false) {
        return AttemptOutcome::Refused { message: failure.error };
    }

    AttemptOutcome::Failed { message: failure.error }
}
