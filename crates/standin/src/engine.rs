//! The engine stand-in: simulates continuous batching, a bounded prefix cache, streams and
//! cancellation, and reports cache events and its load with a delay.

mod cache;
mod events;
mod generate;
mod orders;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use camphorwalk_core::hash::Map;
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

pub use cache::{Cache, CacheChange, Held, count_tokens};
pub use events::{Event, EventKind, Load};

use crate::requests::{RequestLog, SeenRequest};
use crate::server::{
    Answer, Server, Stopper, empty_response, error_response, json_response, parse_json,
};
use events::{EventLog, LoadLog};

/// The options of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The maximum number of requests that run at the same time. Further requests wait.
    pub batch: usize,
    /// The capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// The time between two output tokens.
    pub token_interval: Duration,
    /// The number of uncached prompt tokens that are processed per second. With 0, prompts take no
    /// time.
    pub prefill_tokens_per_second: u64,
    /// The delay after which a change of the load is visible to clients.
    pub load_lag: Duration,
    /// The delay after which a cache event is visible to clients.
    pub event_delay: Duration,
    /// Events whose number is a multiple of this are lost. With 0, no events are lost.
    pub event_loss: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// A text that crashes the engine when it runs a prompt that contains the text.
    pub crash_mark: Option<Box<str>>,
    /// The seed of the generated outputs, which also depend on the program and the prompt.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            batch: 8,
            cache_tokens: 65_536,
            token_interval: Duration::from_millis(2),
            prefill_tokens_per_second: 100_000,
            load_lag: Duration::from_millis(200),
            event_delay: Duration::from_millis(200),
            event_loss: 10,
            checks_fencing: true,
            crash_mark: None,
            seed: 1,
        }
    }
}

/// An engine stand-in that runs in this process. It stops when it is dropped.
#[derive(Debug)]
pub struct Engine {
    /// The HTTP server.
    server: Server,
    /// The state, which its request handlers share.
    state: Shared,
}

/// The state as request handlers share it.
pub(crate) type Shared = Arc<Mutex<State>>;

/// The state of an engine stand-in.
#[derive(Debug)]
pub(crate) struct State {
    /// The options that the stand-in was started with.
    options: EngineOptions,
    /// Stops the server.
    stopper: Stopper,
    /// The slots of the batch. They are assigned in the order of arrival.
    batch: Arc<Semaphore>,
    /// The number of requests in the batch.
    running: u32,
    /// The number of requests that wait for a slot in the batch.
    waiting: u32,
    /// The cancellation signal of each request, by the id of its attempt.
    attempts: Map<Box<str>, Arc<Notify>>,
    /// The prefix cache.
    cache: Cache,
    /// The cache events, visible with a delay.
    events: EventLog,
    /// The load, visible with a delay.
    loads: LoadLog,
    /// The state that orders have set.
    orders: orders::Orders,
    /// The received POST requests of the API.
    requests: RequestLog,
}

impl State {
    /// Creates the initial state.
    fn new(options: EngineOptions, stopper: Stopper) -> Self {
        let load = Load { cache_tokens: options.cache_tokens, ..Load::default() };

        Self {
            stopper,
            batch: Arc::new(Semaphore::new(options.batch)),
            running: 0,
            waiting: 0,
            attempts: Map::default(),
            cache: Cache::new(options.cache_tokens),
            events: EventLog::new(options.event_delay, options.event_loss),
            loads: LoadLog::new(Instant::now(), options.load_lag, load),
            orders: orders::Orders::default(),
            requests: RequestLog::default(),
            options,
        }
    }

    /// Returns the current load.
    fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting,
            held_tokens: self.cache.tokens(),
            cache_tokens: self.cache.capacity(),
        }
    }

    /// Records the current load. Clients see it with a delay.
    fn record_load(&mut self) {
        let load = self.load();
        self.loads.record(Instant::now(), load);
    }

    /// Records changes of the cache and the resulting load. Clients see them with a delay.
    fn record_changes(&mut self, changes: Vec<CacheChange>) {
        self.events.record(Instant::now(), changes);
        self.record_load();
    }
}

impl Engine {
    /// Starts an engine stand-in. Port 0 selects a free port.
    pub async fn start(listen: SocketAddr, options: EngineOptions) -> anyhow::Result<Self> {
        let stopper = Stopper::new();
        let state = Arc::new(Mutex::new(State::new(options, stopper.clone())));
        let shared = Arc::clone(&state);

        let handler = Arc::new(move |req| {
            let answer = handle(Arc::clone(&shared), req);
            Box::pin(answer) as futures::future::BoxFuture<'static, Answer>
        });
        let server = Server::start(listen, stopper, handler).await?;

        Ok(Self { server, state })
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes the listener and all connections, as a crash does. A new engine starts with an empty
    /// cache.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Waits until the engine has crashed or was stopped.
    pub async fn wait_closed(&self) {
        self.server.wait_closed().await;
    }

    /// Returns the current load, without the delay that clients see.
    pub fn load(&self) -> Load {
        lock(&self.state).load()
    }

    /// Returns the prefixes that the cache holds.
    pub fn held(&self) -> Vec<Held> {
        lock(&self.state).cache.held()
    }

    /// Returns the recorded requests, oldest first.
    pub fn requests(&self) -> Vec<SeenRequest> {
        lock(&self.state).requests.to_vec()
    }
}

/// Locks the state, even if a handler has panicked while it held the lock. The state may then be
/// inconsistent, which is acceptable in a stand-in.
pub(crate) fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Handles a request.
async fn handle(state: Shared, req: Request<Bytes>) -> Answer {
    let path = req.uri().path();

    // GET requests are not recorded: hosts poll often, and the log is bounded, so polls would
    // displace the requests that tests look for.
    if req.method() == Method::POST && path.starts_with("/v1/") {
        lock(&state).requests.record(&req);
    }

    match (req.method(), path) {
        (&Method::POST, "/v1/generate") => match parse_json(req.body()) {
            Ok(generate) => generate::generate(state, generate).await,
            Err(refusal) => refusal,
        },
        (&Method::POST, "/v1/cancel") => match parse_json(req.body()) {
            Ok(cancel) => cancel_attempt(&state, &cancel),
            Err(refusal) => refusal,
        },
        (&Method::POST, "/v1/orders") => match parse_json(req.body()) {
            Ok(order) => orders::execute(&state, order),
            Err(refusal) => refusal,
        },
        (&Method::GET, "/v1/load") => {
            let load = lock(&state).loads.visible(Instant::now());
            json_response(StatusCode::OK, &load)
        }
        (&Method::GET, "/v1/held") => {
            let programs = lock(&state).cache.held();
            json_response(StatusCode::OK, &HeldAnswer { programs })
        }
        (&Method::GET, "/v1/events") => list_events(&state, req.uri().query()),
        (&Method::GET, "/control/requests") => {
            json_response(StatusCode::OK, &lock(&state).requests)
        }
        (&Method::POST, "/control/crash") => {
            lock(&state).stopper.stop();
            empty_response(StatusCode::NO_CONTENT)
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

/// A request to cancel an attempt.
#[derive(Debug, Deserialize)]
struct CancelRequest {
    /// The id of the attempt.
    attempt: Box<str>,
}

/// The response to a cancellation.
#[derive(Debug, Serialize)]
struct CancelAnswer {
    /// Whether the attempt was waiting or running.
    cancelled: bool,
}

/// Cancels an attempt that waits or runs.
fn cancel_attempt(state: &Shared, req: &CancelRequest) -> Answer {
    let attempt = lock(state).attempts.remove(&req.attempt);
    let cancelled = attempt.is_some();

    if let Some(attempt) = attempt {
        attempt.notify_one();
    }

    json_response(StatusCode::OK, &CancelAnswer { cancelled })
}

/// The response with the contents of the cache.
#[derive(Debug, Serialize)]
struct HeldAnswer {
    /// The prefix held for each program.
    programs: Vec<Held>,
}

/// The response with cache events.
#[derive(Debug, Serialize)]
struct EventsAnswer {
    /// The events.
    events: Vec<Event>,
}

/// Returns the visible events with a number above the one in the query.
fn list_events(state: &Shared, query: Option<&str>) -> Answer {
    let number = query.unwrap_or("after=0").strip_prefix("after=").map(str::parse);

    match number {
        Some(Ok(number)) => {
            let events = lock(state).events.after(Instant::now(), number);
            json_response(StatusCode::OK, &EventsAnswer { events })
        }
        _ => error_response(StatusCode::BAD_REQUEST, "the query is after=NUMBER"),
    }
}
