//! Model turns at an engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use camphorwalk_core::calls::Usage;
use camphorwalk_core::ids::{ProgramId, RequestOrigin};
use camphorwalk_policy::shared_types::{AttemptOutcome, Dispatch};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::sse::{StreamEvent, StreamReader};
use super::{LARGEST_ANSWER, TargetAddress, Targets, post, sending_failed};

/// A request to an engine.
#[derive(Serialize)]
struct Generate<'a> {
    attempt: String,
    program: ProgramId,
    prompt: &'a [Arc<str>],
    max_tokens: u32,
    stream: bool,
}

/// The end of an engine's answer.
#[derive(Deserialize)]
struct Generated {
    output: serde_json::Value,
    usage: Usage,
}

/// A part of an engine's stream.
#[derive(Deserialize)]
struct Text {
    text: String,
}

/// An order to free what is held for a program.
#[derive(Serialize)]
struct FreeOrder {
    order: &'static str,
    program: ProgramId,
    fence: u64,
}

impl Targets {
    /// Runs a model turn. The engine always streams, so that a broken answer is noticed
    /// early; parts go on only if the caller asked for them.
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
        let body = serde_json::to_vec(&body).expect("a request is plain data");

        let response = match self.shared.client.request(post(target, "/v1/generate", body)).await {
            Ok(response) => response,
            Err(e) => return sending_failed(&e),
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
                    return done(&event);
                }
                let Some(origin) = stream else {
                    continue;
                };
                let Ok(Text { text }) = serde_json::from_str(&event.data) else {
                    return AttemptOutcome::Failed { message: "a malformed part".into() };
                };
                streamed.store(true, Ordering::Relaxed);
                if !(self.shared.send_part)(origin, parts, text).await {
                    // The caller's end counts the parts, so a lost one is noticed there.
                    tracing::debug!("target: a part could not be passed on");
                }
                parts += 1;
            }
            if reader.pending() > LARGEST_ANSWER {
                return AttemptOutcome::Failed { message: "the answer is too large".into() };
            }
        }

        // An answer without its end mark is not whole, however well it reads.
        lost(parts)
    }

    /// Has an engine free what it holds for a program.
    pub(super) async fn order_free(&self, target: TargetAddress, program: ProgramId) {
        let order = FreeOrder { order: "free", program, fence: 0 };
        let body = serde_json::to_vec(&order).expect("an order is plain data");

        if let Err(e) = self.shared.client.request(post(target, "/v1/orders", body)).await {
            tracing::warn!("target: order to free {program} not delivered: {e}");
        }
    }
}

fn done(event: &StreamEvent) -> AttemptOutcome {
    match serde_json::from_str::<Generated>(&event.data) {
        Ok(end) => AttemptOutcome::Done { output: end.output.to_string().into(), usage: end.usage },
        Err(_) => AttemptOutcome::Failed { message: "a malformed end of the answer".into() },
    }
}
