//! Runs a request of the engine stand-in: waits for a slot in the batch, processes the prompt, then
//! generates one token after another.

use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use camphorwalk_core::hash::stable_hash;
use futures::{Stream, StreamExt as _};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::Instant;

use super::cache::count_tokens;
use super::{Shared, lock};
use crate::server::{Answer, error_response, json_response};

/// The words that outputs are made of. Each is one token long.
const WORDS: [&str; 16] = [
    "ash ", "elm ", "fir ", "oak ", "yew ", "bay ", "box ", "fig ", "hop ", "ivy ", "nut ", "pea ",
    "rye ", "sap ", "bud ", "pod ",
];

/// A request to generate.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct GenerateRequest {
    /// The id of the attempt, by which it can be cancelled.
    attempt: Box<str>,
    /// The program, whose prefix is cached.
    program: Box<str>,
    /// The parts of the prompt.
    prompt: Vec<Box<str>>,
    /// The maximum number of tokens to generate.
    max_tokens: u32,
    /// Whether each token is sent as it is generated.
    #[serde(default)]
    stream: bool,
}

/// A token event of a stream.
#[derive(Debug, Serialize)]
struct Token {
    /// The text of the token.
    text: &'static str,
}

/// The response, or the last event of a stream.
#[derive(Debug, Serialize)]
struct Done {
    /// The complete output.
    output: String,
    /// The token counts.
    usage: Usage,
}

/// The token counts of a request.
#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    /// The number of tokens in the prompt.
    prompt_tokens: u64,
    /// The number of prompt tokens that were in the cache.
    cached_tokens: u64,
    /// The number of generated tokens.
    output_tokens: u64,
}

/// A step of a generated answer.
enum Step {
    /// A token was generated.
    Token(&'static str),
    /// The answer is complete. A cancelled request never yields this step.
    Done(Done),
}

/// Handles a request to generate.
pub(crate) async fn generate(state: Shared, req: GenerateRequest) -> Answer {
    let stream = req.stream;
    let steps = run(state, req);

    if stream {
        return events(steps);
    }

    let mut steps = std::pin::pin!(steps);

    while let Some(step) = steps.next().await {
        if let Step::Done(done) = step {
            return json_response(StatusCode::OK, &done);
        }
    }

    error_response(StatusCode::CONFLICT, "cancelled")
}

/// Creates a response that streams these steps as server-sent events.
fn events(steps: impl Stream<Item = Step> + Send + 'static) -> Answer {
    let frames = steps.map(|step| Ok(Frame::data(event(&step))));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);

    Answer::Reply(Box::new(response))
}

/// Formats a step as a server-sent event.
fn event(step: &Step) -> Bytes {
    let text = match step {
        Step::Token(text) => format!("data: {}\n\n", to_json(&Token { text })),
        Step::Done(done) => format!("event: done\ndata: {}\n\n", to_json(done)),
    };

    text.into()
}

/// Converts a value to JSON text. This cannot fail for the types of this module.
fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Runs a request. Dropping the returned stream cancels the request. The server drops the stream
/// when the connection closes.
fn run(state: Shared, req: GenerateRequest) -> impl Stream<Item = Step> + Send + 'static {
    // The request is created outside of the stream, so that the request counts as waiting before
    // the stream is first polled.
    let mut request = ActiveRequest::enter(state, &req);

    stream! {
        if !request.admit().await {
            return;
        }

        if request.crashes(&req.prompt) {
            request.crash().await;
        }

        let cached_tokens = request.begin(&req.prompt);
        let prompt_tokens = req.prompt.iter().map(|part| count_tokens(part)).sum();
        let mut next_at = Instant::now() + request.prefill_time(prompt_tokens - cached_tokens);

        if !request.sleep_until(next_at).await {
            return;
        }

        let words = request.words(&req);
        let interval = lock(&request.state).options.token_interval;
        let mut output = String::new();

        for word in &words {
            next_at += interval;

            if !request.sleep_until(next_at).await {
                return;
            }

            output.push_str(word);
            yield Step::Token(word);
        }

        let output_tokens = words.len() as u64;
        drop(request);
        yield Step::Done(Done { output, usage: Usage { prompt_tokens, cached_tokens, output_tokens } });
    }
}

/// A request that waits or runs in the engine. Dropping it ends the request and frees its slot in
/// the batch.
struct ActiveRequest {
    /// The state of the engine.
    state: Shared,
    /// The id of the attempt.
    attempt: Box<str>,
    /// The program.
    program: Box<str>,
    /// Notified when the attempt is cancelled.
    cancelled: Arc<Notify>,
    /// The slot in the batch, once the request is admitted.
    permit: Option<OwnedSemaphorePermit>,
    /// Whether the request has begun in the cache, so that it must be ended there.
    in_cache: bool,
}

impl ActiveRequest {
    /// Registers a request as waiting.
    fn enter(state: Shared, req: &GenerateRequest) -> Self {
        let cancelled = Arc::new(Notify::new());

        {
            let mut engine = lock(&state);
            engine.attempts.insert(req.attempt.clone(), Arc::clone(&cancelled));
            engine.waiting += 1;
            engine.record_load();
        }

        Self {
            state,
            attempt: req.attempt.clone(),
            program: req.program.clone(),
            cancelled,
            permit: None,
            in_cache: false,
        }
    }

    /// Waits for a slot in the batch. Returns false if the request was cancelled.
    async fn admit(&mut self) -> bool {
        let batch = Arc::clone(&lock(&self.state).batch);

        let permit = tokio::select! {
            biased;
            () = self.cancelled.notified() => return false,
            permit = batch.acquire_owned() => permit,
        };

        // The semaphore is never closed.
        self.permit = permit.ok();
        let mut engine = lock(&self.state);
        engine.waiting -= 1;
        engine.running += 1;
        engine.record_load();

        true
    }

    /// Returns whether this prompt crashes the engine.
    fn crashes(&self, prompt: &[Box<str>]) -> bool {
        let engine = lock(&self.state);
        let mark = engine.options.crash_mark.as_deref();

        mark.is_some_and(|mark| prompt.iter().any(|part| part.contains(mark)))
    }

    /// Crashes the engine. Never returns: stopping the server aborts this task.
    async fn crash(&self) {
        lock(&self.state).stopper.stop();
        std::future::pending().await
    }

    /// Begins the request in the cache. Returns the number of prompt tokens that were already
    /// cached.
    fn begin(&mut self, prompt: &[Box<str>]) -> u64 {
        let mut engine = lock(&self.state);
        let (cached, changes) = engine.cache.begin(&self.program, prompt);
        engine.record_changes(changes);
        self.in_cache = true;

        cached
    }

    /// Returns the time to process this many prompt tokens.
    fn prefill_time(&self, tokens: u64) -> Duration {
        match lock(&self.state).options.prefill_tokens_per_second {
            0 => Duration::ZERO,
            rate => Duration::from_micros(tokens.saturating_mul(1_000_000) / rate),
        }
    }

    /// Sleeps. Returns false if the request was cancelled in the meantime.
    async fn sleep_until(&self, until: Instant) -> bool {
        tokio::select! {
            biased;
            () = self.cancelled.notified() => false,
            () = tokio::time::sleep_until(until) => true,
        }
    }

    /// Returns the words of the output. They depend only on the seed, the program, the prompt and
    /// `max_tokens`. The output is at least half as long as the request allows.
    fn words(&self, req: &GenerateRequest) -> Vec<&'static str> {
        let seed = lock(&self.state).options.seed.to_be_bytes();
        let mut parts: Vec<&[u8]> = vec![&seed, req.program.as_bytes()];
        parts.extend(req.prompt.iter().map(|part| part.as_bytes()));
        let hash = stable_hash(&parts);

        let max_words = u64::from(req.max_tokens.max(1));
        let count = max_words - hash % max_words.div_ceil(2);

        (0..count).map(|i| word(hash, i)).collect()
    }
}

/// Returns the word at this index of the output with this hash.
fn word(hash: u64, index: u64) -> &'static str {
    let draw = stable_hash(&[&hash.to_be_bytes(), &index.to_be_bytes()]);

    WORDS[draw as usize % WORDS.len()]
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut engine = lock(&self.state);

        if self.permit.take().is_some() {
            engine.running -= 1;
        } else {
            engine.waiting -= 1;
        }

        // The entry may belong to a later request with the same attempt id, which must stay
        // cancellable.
        if engine.attempts.get(&self.attempt).is_some_and(|own| Arc::ptr_eq(own, &self.cancelled)) {
            engine.attempts.remove(&self.attempt);
        }

        if self.in_cache {
            let changes = engine.cache.end(&self.program);
            engine.record_changes(changes);
        }

        engine.record_load();
    }
}
