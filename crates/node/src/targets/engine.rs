//! Runs model turns at engines.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use camphorwalk_core::calls::Usage;
use camphorwalk_core::ids::{ProgramId, RequestOrigin};
use camphorwalk_policy::shared_types::{AttemptOutcome, Dispatch};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::sse::{StreamEvent, StreamReader};
use super::{MAX_ANSWER_BYTES, TargetAddress, Targets, post, send_failure};

/// The body of a request to generate text.
#[derive(Serialize)]
struct Generate<'a> {
    attempt: String,
    program: ProgramId,
    prompt: &'a [Arc<str>],
    max_tokens: u32,
    stream: bool,
}

/// The last event of an engine's answer.
#[derive(Deserialize)]
struct Generated {
    output: serde_json::Value,
    usage: Usage,
}

/// An event with a part of the generated text.
#[derive(Deserialize)]
struct Text {
    text: String,
}

/// The body of an order to free what an engine holds for a program.
#[derive(Serialize)]
struct FreeOrder {
    order: &'static str,
    program: ProgramId,
    fence: u64,
}

impl Targets {
    /// Runs a model turn. The engine always streams, so that a broken connection is noticed early.
    /// Parts are forwarded only if the caller asked for a stream.
    pub(super) async fn generate(
        &self,
        target: TargetAddress,
        dispatch: &Dispatch,
        prompt: &[Arc<str>],
        max_tokens: u32,
        streamed: &AtomicBool,
    ) -> AttemptOutcome {
        let body = Generate {
            attempt: dispatch.attempt.to_string(),
            program: dispatch.program,
            prompt,
            max_tokens,
            stream: true,
        };
        let body = serde_json::to_vec(&body).expect("a request serializes to JSON");

        let response = match self.shared.client.request(post(target, "/v1/generate", body)).await {
            Ok(response) => response,
            Err(e) => return send_failure(&e),
        };
        if !response.status().is_success() {
            return AttemptOutcome::Refused { message: response.status().to_string().into() };
        }

        self.read_stream(response.into_body(), dispatch.stream, streamed).await
    }

    async fn read_stream(
        &self,
        mut body: Incoming,
        stream: Option<RequestOrigin>,
        streamed: &AtomicBool,
    ) -> AttemptOutcome {
        let mut reader = StreamReader::default();
        let mut parts = 0;
        let lost = |parts| AttemptOutcome::Lost { streamed: parts > 0, crashed: true };

        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return lost(parts);
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };

            reader.push(data);
            while let Some(event) = reader.next_event() {
                if event.name == "done" {
                    return parse_done(&event);
                }
                let Some(origin) = stream else {
                    continue;
                };
                let Ok(Text { text }) = serde_json::from_str(&event.data) else {
                    return AttemptOutcome::Failed { message: "a malformed part".into() };
                };
                streamed.store(true, Ordering::Relaxed);
                if !(self.shared.send_part)(origin, parts, text).await {
                    // The host that writes the caller's stream counts the parts and ends the
                    // stream with an error if one is missing.
                    tracing::debug!("target: a streamed part could not be forwarded");
                }
                parts += 1;
            }
            if reader.buffered_bytes() > MAX_ANSWER_BYTES {
                return AttemptOutcome::Failed { message: "the answer is too large".into() };
            }
        }

        // Without the `done` event the answer is incomplete, even if the text looks complete.
        lost(parts)
    }

    /// Orders an engine to free what it holds for a program.
    pub(super) async fn send_free_order(&self, target: TargetAddress, program: ProgramId) {
        let order = FreeOrder { order: "free", program, fence: 0 };
        let body = serde_json::to_vec(&order).expect("an order serializes to JSON");

        if let Err(e) = self.shared.client.request(post(target, "/v1/orders", body)).await {
            tracing::warn!("target: the order to free program {program} was not delivered: {e}");
        }
    }
}

fn parse_done(event: &StreamEvent) -> AttemptOutcome {
    match serde_json::from_str::<Generated>(&event.data) {
        Ok(generated) => AttemptOutcome::Done {
            output: generated.output.to_string().into(),
            usage: generated.usage,
        },
        Err(_) => AttemptOutcome::Failed { message: "a malformed end of the answer".into() },
    }
}
