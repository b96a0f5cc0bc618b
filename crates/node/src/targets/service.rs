//! Operations of a plain service.

use camphorwalk_core::calls::Usage;
use camphorwalk_core::ids::ProgramId;
use camphorwalk_policy::shared_types::{AttemptOutcome, Dispatch};
use http::StatusCode;
use http_body_util::{BodyExt as _, Limited};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{LARGEST_ANSWER, TargetAddress, Targets, post, sending_failed};

/// A request to a service.
#[derive(Serialize)]
struct Run<'a> {
    operation: &'a str,
    key: &'a str,
    program: ProgramId,
    call: u32,
    input: &'a RawValue,
}

/// A service's answer.
#[derive(Deserialize)]
struct Output {
    output: serde_json::Value,
}

/// A service's failure.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Failure {
    error: Box<str>,
    ran: Option<bool>,
}

impl Targets {
    /// Runs an operation.
    pub(super) async fn operate(
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
            .expect("a request is plain data");

        let response = match self.shared.client.request(post(target, "/v1/run", body)).await {
            Ok(response) => response,
            Err(e) => return sending_failed(&e),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), LARGEST_ANSWER);
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

    // Only the service itself can say that it did not run the operation.
    let failure: Failure = serde_json::from_slice(body).unwrap_or_default();
    if status == StatusCode::SERVICE_UNAVAILABLE || failure.ran == Some(false) {
        return AttemptOutcome::Refused { message: failure.error };
    }

    AttemptOutcome::Failed { message: failure.error }
}
