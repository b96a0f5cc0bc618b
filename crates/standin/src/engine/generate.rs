//! How the engine stand-in runs a request: waits for the batch, reads the prompt, then
//! generates one token after the other.

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

use super::cache::tokens_of;
use super::{Shared, lock};
use crate::server::{Answer, fault, json};

/// The texts that outputs are made of; each is one token long.
const WORDS: [&str; 16] = [
    "ash ", "elm ", "fir ", "oak ", "yew ", "bay ", "box ", "fig ", "hop ", "ivy ", "nut ", "pea ",
    "rye ", "sap ", "bud ", "pod ",
];

/// A request to generate.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct GenerateRequest {
    /// The attempt, by which it can be cancelled.
    attempt: Box<str>,
    /// The program, by which its prefix is cached.
    program: Box<str>,
    /// The parts of the prompt.
    prompt: Vec<Box<str>>,
    /// The most tokens to generate.
    max_tokens: u32,
    /// Whether each token is sent as it is generated.
    #[serde(default)]
    stream: bool,
}

/// A token, as streamed.
#[derive(Debug, Serialize)]
struct Token {
    /// Its text.
    text: &'static str,
}

/// The end of an answer.
#[derive(Debug, Serialize)]
struct Done {
    /// All that was generated.
    output: String,
    /// The tokens it took.
    usage: Usage,
}

/// The tokens that a request took.
#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    /// Tokens of the prompt.
    prompt_tokens: u64,
    /// Tokens of the prompt that were in the cache.
    cached_tokens: u64,
    /// Tokens generated.
    output_tokens: u64,
}

/// A step of an answer.
enum Step {
    /// A token.
    Token(&'static str),
    /// The end. An answer that is cut short has none.
    Done(Done),
}

/// Answers a request to generate.
pub(crate) async fn generate(state: Shared, req: GenerateRequest) -> Answer {
    let stream = req.stream;
    let steps = run(state, req);

    if stream {
        return events(steps);
    }

    let mut steps = std::pin::pin!(steps);

    while let Some(step) = steps.next().await {
        if let Step::Done(done) = step {
            return json(StatusCode::OK, &done);
        }
    }

    fault(StatusCode::CONFLICT, "cancelled")
}

/// Makes the answer that streams these steps as server-sent events.
fn events(steps: impl Stream<Item = Step> + Send + 'static) -> Answer {
    let frames = steps.map(|step| Ok(Frame::data(event(&step))));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);

    Answer::Reply(Box::new(response))
}

/// Writes a step as a server-sent event.
fn event(step: &Step) -> Bytes {
    let text = match step {
        Step::Token(text) => format!("data: {}\n\n", to_json(&Token { text })),
        Step::Done(done) => format!("event: done\ndata: {}\n\n", to_json(done)),
    };

    text.into()
}

/// Writes a value as JSON text; the types of this module cannot fail to be written.
fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Runs a request. Dropping the stream, as a closed connection does, cancels it.
fn run(state: Shared, req: GenerateRequest) -> impl Stream<Item = Step> + Send + 'static {
    // Made here and not in the stream, so that the request counts as waiting at once.
    let mut slot = Slot::enter(state, &req);

    stream! {
        if !slot.admit().await {
            return;
        }

        if slot.crashes(&req.prompt) {
            slot.crash().await;
        }

        let cached_tokens = slot.begin(&req.prompt);
        let prompt_tokens = req.prompt.iter().map(|part| tokens_of(part)).sum();
        let mut clock = Instant::now() + slot.prefill(prompt_tokens - cached_tokens);

        if !slot.sleep_until(clock).await {
            return;
        }

        let words = slot.words(&req);
        let interval = lock(&slot.state).options.token_interval;
        let mut output = String::new();

        for word in &words {
            clock += interval;

            if !slot.sleep_until(clock).await {
                return;
            }

            output.push_str(word);
            yield Step::Token(word);
        }

        let output_tokens = words.len() as u64;
        drop(slot);
        yield Step::Done(Done { output, usage: Usage { prompt_tokens, cached_tokens, output_tokens } });
    }
}

/// A request's place in the engine, given back when dropped.
struct Slot {
    /// The engine.
    state: Shared,
    /// The attempt.
    attempt: Box<str>,
    /// The program.
    program: Box<str>,
    /// Told when the attempt is cancelled.
    cancelled: Arc<Notify>,
    /// The place in the batch, once admitted.
    permit: Option<OwnedSemaphorePermit>,
    /// Whether the cache was told that the request runs.
    begun: bool,
}

impl Slot {
    /// Takes a request in; it waits from now on.
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
            begun: false,
        }
    }

    /// Waits for a place in the batch; returns false if cancelled.
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

    /// Tells whether this prompt brings the engine down.
    fn crashes(&self, prompt: &[Box<str>]) -> bool {
        let engine = lock(&self.state);
        let mark = engine.options.crash_mark.as_deref();

        mark.is_some_and(|mark| prompt.iter().any(|part| part.contains(mark)))
    }

    /// Brings the engine down; never returns.
    async fn crash(&self) {
        lock(&self.state).stopper.stop();
        std::future::pending().await
    }

    /// Tells the cache that the request runs; returns the tokens that were there already.
    fn begin(&mut self, prompt: &[Box<str>]) -> u64 {
        let mut engine = lock(&self.state);
        let (cached, changes) = engine.cache.begin(&self.program, prompt);
        engine.record_changes(changes);
        self.begun = true;

        cached
    }

    /// Returns how long it takes to read this many tokens of a prompt.
    fn prefill(&self, tokens: u64) -> Duration {
        match lock(&self.state).options.prefill_tokens_per_second {
            0 => Duration::ZERO,
            rate => Duration::from_micros(tokens.saturating_mul(1_000_000) / rate),
        }
    }

    /// Sleeps; returns false if cancelled.
    async fn sleep_until(&self, until: Instant) -> bool {
        tokio::select! {
            biased;
            () = self.cancelled.notified() => false,
            () = tokio::time::sleep_until(until) => true,
        }
    }

    /// Returns the output: the same for the same seed and prompt, at least half as long as
    /// the request allows.
    fn words(&self, req: &GenerateRequest) -> Vec<&'static str> {
        let seed = lock(&self.state).options.seed.to_be_bytes();
        let mut parts: Vec<&[u8]> = vec![&seed, req.program.as_bytes()];
        parts.extend(req.prompt.iter().map(|part| part.as_bytes()));
        let hash = stable_hash(&parts);

        let longest = u64::from(req.max_tokens.max(1));
        let count = longest - hash % longest.div_ceil(2);

        (0..count).map(|i| word(hash, i)).collect()
    }
}

/// Returns the word at this place of the output with this hash.
fn word(hash: u64, place: u64) -> &'static str {
    let draw = stable_hash(&[&hash.to_be_bytes(), &place.to_be_bytes()]);

    WORDS[draw as usize % WORDS.len()]
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut engine = lock(&self.state);

        if self.permit.take().is_some() {
            engine.running -= 1;
        } else {
            engine.waiting -= 1;
        }

        // A later request may have come with the same attempt; its entry stays.
        if engine.attempts.get(&self.attempt).is_some_and(|own| Arc::ptr_eq(own, &self.cancelled)) {
            engine.attempts.remove(&self.attempt);
        }

        if self.begun {
            let changes = engine.cache.end(&self.program);
            engine.record_changes(changes);
        }

        engine.record_load();
    }
}
