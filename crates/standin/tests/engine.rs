//! The engine stand-in: batching, cancellation, its cache, and its delayed events and load.

mod support;

use std::time::Duration;

use camphorwalk_standin::{Engine, EngineOptions};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use support::{any_port, get, post, send, wait_until};

/// A duration that no test lasts.
const FOREVER: Duration = Duration::from_secs(3600);

/// Returns options without delays and lost events.
fn without_delays() -> EngineOptions {
    EngineOptions {
        token_interval: Duration::ZERO,
        prefill_tokens_per_second: 0,
        load_lag: Duration::ZERO,
        event_delay: Duration::ZERO,
        event_loss: 0,
        ..EngineOptions::default()
    }
}

/// Starts an engine stand-in.
async fn engine(options: EngineOptions) -> Engine {
    Engine::start(any_port(), options).await.unwrap()
}

/// Returns a request to generate at most four tokens.
fn generate(attempt: &str, program: &str, prompt: &[&str]) -> Value {
    json!({"attempt": attempt, "program": program, "prompt": prompt, "max_tokens": 4})
}

/// Sends a request to generate in a background task. The attempt id is also the program's name.
fn spawn(engine: &Engine, attempt: &str) -> JoinHandle<(StatusCode, Value)> {
    let (address, body) = (engine.address(), generate(attempt, attempt, &["measure"]));

    tokio::spawn(async move { post(address, "/v1/generate", body).await })
}

/// Returns the numbers of running and waiting requests.
fn load(engine: &Engine) -> (u32, u32) {
    let load = engine.load();

    (load.running, load.waiting)
}

#[tokio::test]
async fn a_stream_gives_the_tokens_of_the_whole_answer() {
    let engine = engine(without_delays()).await;
    let address = engine.address();
    let mut request = generate("a1", "p1", &["one", "two"]);

    let (_, whole) = post(address, "/v1/generate", request.clone()).await;
    request["stream"] = json!(true);
    let (_, stream) =
        send(address, Method::POST, "/v1/generate", request.to_string()).await.unwrap();

    let stream = String::from_utf8(stream.to_vec()).unwrap();
    let (tokens, done) = stream.split_once("event: done\ndata: ").unwrap();
    let done: Value = serde_json::from_str(done).unwrap();
    let texts = tokens.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let texts = texts.map(|data| serde_json::from_str::<Value>(data).unwrap());
    let joined: String = texts.map(|data| data["text"].as_str().unwrap().to_owned()).collect();
    assert_eq!(done["output"], whole["output"]);
    assert_eq!(joined, whole["output"].as_str().unwrap());
    assert_eq!(whole["usage"]["cached_tokens"], 0);
    assert_eq!(done["usage"]["cached_tokens"], 2);
}

#[tokio::test]
async fn more_requests_than_the_batch_wait() {
    let engine =
        engine(EngineOptions { batch: 1, token_interval: FOREVER, ..without_delays() }).await;
    let address = engine.address();

    let first = spawn(&engine, "a1");
    wait_until(|| load(&engine) == (1, 0)).await;
    let second = spawn(&engine, "a2");
    wait_until(|| load(&engine) == (1, 1)).await;
    let cancelled = post(address, "/v1/cancel", json!({"attempt": "a1"})).await;
    wait_until(|| load(&engine) == (1, 0)).await;
    let again = post(address, "/v1/cancel", json!({"attempt": "a1"})).await;

    assert_eq!(cancelled.1, json!({"cancelled": true}));
    assert_eq!(again.1, json!({"cancelled": false}));
    assert_eq!(first.await.unwrap().0, StatusCode::CONFLICT);
    assert!(!second.is_finished());
}

/// One caller closes its connection while its request waits, and another while its request runs.
/// The engine must drop both, so that abandoned requests do not occupy the batch.
#[tokio::test]
async fn closing_the_connection_cancels() {
    let engine =
        engine(EngineOptions { batch: 1, token_interval: FOREVER, ..without_delays() }).await;
    let running = spawn(&engine, "a1");
    wait_until(|| load(&engine) == (1, 0)).await;
    let waiting = spawn(&engine, "a2");
    wait_until(|| load(&engine) == (1, 1)).await;

    waiting.abort();
    wait_until(|| load(&engine) == (1, 0)).await;
    running.abort();

    wait_until(|| load(&engine) == (0, 0)).await;
}

#[tokio::test]
async fn load_and_events_are_delayed() {
    let late = EngineOptions { load_lag: FOREVER, event_delay: FOREVER, ..without_delays() };
    let engine = engine(late).await;
    let address = engine.address();

    post(address, "/v1/generate", generate("a1", "p1", &["measure"])).await;

    let held = json!({"programs": [{"program": "p1", "tokens": 2}]});
    assert_eq!(get(address, "/v1/held").await, held);
    assert_eq!(get(address, "/v1/load").await["held_tokens"], 0);
    assert_eq!(get(address, "/v1/events?after=0").await, json!({"events": []}));
}

#[tokio::test]
async fn lost_events_leave_gaps_in_the_numbers() {
    let engine = engine(EngineOptions { event_loss: 2, ..without_delays() }).await;
    let address = engine.address();

    for program in ["p1", "p2", "p3", "p4", "p5"] {
        post(address, "/v1/generate", generate(program, program, &["measure"])).await;
    }

    let event = |number, program| json!({"number": number, "kind": "held", "program": program, "tokens": 2});
    let events = get(address, "/v1/events?after=1").await;
    assert_eq!(events, json!({"events": [event(3, "p3"), event(5, "p5")]}));
}

#[tokio::test]
async fn an_order_with_an_old_fence_is_refused_by_those_that_check() {
    let checks = engine(without_delays()).await;
    let ignores = engine(EngineOptions { checks_fencing: false, ..without_delays() }).await;
    let load = |fence| json!({"order": "load", "model": "m", "fence": fence});
    let mut seen = Vec::new();

    for engine in [&checks, &ignores] {
        post(engine.address(), "/v1/orders", load(5)).await;
        seen.push(post(engine.address(), "/v1/orders", load(4)).await.0);
    }

    assert_eq!(seen, [StatusCode::CONFLICT, StatusCode::OK]);
}

#[tokio::test]
async fn a_program_is_freed_once_no_request_runs_on_it() {
    let engine = engine(EngineOptions { token_interval: FOREVER, ..without_delays() }).await;
    let address = engine.address();
    let free = json!({"order": "free", "program": "a1", "fence": 1});
    let _running = spawn(&engine, "a1");
    wait_until(|| !engine.held().is_empty()).await;

    let busy = post(address, "/v1/orders", free.clone()).await;
    post(address, "/v1/cancel", json!({"attempt": "a1"})).await;
    wait_until(|| load(&engine) == (0, 0)).await;
    let idle = post(address, "/v1/orders", free).await;

    assert_eq!(busy.1, json!({"done": false}));
    assert_eq!(idle.1, json!({"done": true}));
    assert!(engine.held().is_empty());
}

/// A request crashes the engine. All connections must close without an answer, and new connections
/// must be refused. A new engine at the same address must start with an empty cache.
#[tokio::test]
async fn a_crash_closes_all_connections() {
    let mark = EngineOptions { crash_mark: Some("boom".into()), ..without_delays() };
    let slow = EngineOptions { token_interval: FOREVER, ..mark.clone() };
    let engine = engine(slow).await;
    let address = engine.address();
    let other = spawn(&engine, "a1");
    wait_until(|| load(&engine) == (1, 0)).await;

    let body = generate("a2", "p2", &["a boom b"]).to_string();
    let crashed = send(address, Method::POST, "/v1/generate", body.clone()).await;
    engine.wait_closed().await;
    let refused = send(address, Method::POST, "/v1/generate", body).await;
    let restarted = Engine::start(address, mark).await.unwrap();

    assert_eq!(crashed, None);
    assert_eq!(refused, None);
    assert!(other.await.is_err());
    assert!(restarted.held().is_empty());
}
