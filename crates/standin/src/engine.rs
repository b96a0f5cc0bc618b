//! The engine stand-in: continuous batching, a bounded prefix cache, streams, cancelling,
//! late events and lagging load.

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

pub use cache::{Cache, CacheChange, Held, tokens_of};
pub use events::{Event, EventKind, Load};

use crate::requests::{RequestLog, SeenRequest};
use crate::server::{Answer, Server, Stopper, empty, fault, json, parse};
use events::{EventLog, LoadLog};

/// What an engine stand-in starts with.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The most requests that run at once; more wait.
    pub batch: usize,
    /// The most tokens that stay in the prefix cache.
    pub cache_tokens: u64,
    /// The time between two tokens of an output.
    pub token_interval: Duration,
    /// How many tokens of a prompt that are not cached are read a second; 0 for at once.
    pub prefill_tokens_per_second: u64,
    /// How late load is told.
    pub load_lag: Duration,
    /// How late a change of the cache is told.
    pub event_delay: Duration,
    /// Every event whose number is a multiple of this is lost; none if zero.
    pub event_loss: u64,
    /// Whether an order with an old fence is refused.
    pub checks_fencing: bool,
    /// A text that brings the engine down when it runs a prompt with it.
    pub crash_mark: Option<Box<str>>,
    /// What outputs are drawn from, besides the prompt.
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

/// An engine stand-in that runs in this process.
#[derive(Debug)]
pub struct Engine {
    /// Its listener.
    server: Server,
    /// What it holds.
    state: Shared,
}

/// The state as handlers share it.
pub(crate) type Shared = Arc<Mutex<State>>;

/// What an engine stand-in holds.
#[derive(Debug)]
pub(crate) struct State {
    /// How it behaves.
    options: EngineOptions,
    /// Ends the server.
    stopper: Stopper,
    /// The places in the batch, given in the order of asking.
    batch: Arc<Semaphore>,
    /// Requests in the batch.
    running: u32,
    /// Requests that wait for the batch.
    waiting: u32,
    /// How to cancel each request.
    attempts: Map<Box<str>, Arc<Notify>>,
    /// The prefix cache.
    cache: Cache,
    /// The changes of the cache, told late.
    events: EventLog,
    /// The load, told late.
    loads: LoadLog,
    /// What orders have set.
    orders: orders::Orders,
    /// What it was sent.
    requests: RequestLog,
}

impl State {
    /// Makes the state of an engine that has just started.
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

    /// Returns the load now.
    fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting,
            held_tokens: self.cache.tokens(),
            cache_tokens: self.cache.capacity(),
        }
    }

    /// Notes the load, to be told later.
    fn record_load(&mut self) {
        let load = self.load();
        self.loads.record(Instant::now(), load);
    }

    /// Notes changes of the cache, to be told later.
    fn record_changes(&mut self, changes: Vec<CacheChange>) {
        self.events.record(Instant::now(), changes);
        self.record_load();
    }
}

impl Engine {
    /// Starts an engine stand-in; port 0 takes any free port.
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

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes the listener and all connections, as a crash does. The cache is lost with it.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Returns when the engine has crashed or was stopped.
    pub async fn closed(&self) {
        self.server.closed().await;
    }

    /// Returns the load as it is now, without the lag.
    pub fn load(&self) -> Load {
        lock(&self.state).load()
    }

    /// Returns what the cache holds now.
    pub fn held(&self) -> Vec<Held> {
        lock(&self.state).cache.held()
    }

    /// Returns what it was sent, oldest first.
    pub fn requests(&self) -> Vec<SeenRequest> {
        lock(&self.state).requests.to_vec()
    }
}

/// Locks the state; a handler that panicked leaves it usable for a fake.
pub(crate) fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers a request.
async fn handle(state: Shared, req: Request<Bytes>) -> Answer {
    let path = req.uri().path();

    // Polling would push out the requests that tests look for.
    if req.method() == Method::POST && path.starts_with("/v1/") {
        lock(&state).requests.record(&req);
    }

    match (req.method(), path) {
        (&Method::POST, "/v1/generate") => match parse(req.body()) {
            Ok(generate) => generate::generate(state, generate).await,
            Err(refusal) => refusal,
        },
        (&Method::POST, "/v1/cancel") => match parse(req.body()) {
            Ok(cancel) => cancel_attempt(&state, &cancel),
            Err(refusal) => refusal,
        },
        (&Method::POST, "/v1/orders") => match parse(req.body()) {
            Ok(order) => orders::obey(&state, order),
            Err(refusal) => refusal,
        },
        (&Method::GET, "/v1/load") => {
            let load = lock(&state).loads.shown(Instant::now());
            json(StatusCode::OK, &load)
        }
        (&Method::GET, "/v1/held") => {
            let programs = lock(&state).cache.held();
            json(StatusCode::OK, &HeldAnswer { programs })
        }
        (&Method::GET, "/v1/events") => list_events(&state, req.uri().query()),
        (&Method::GET, "/control/requests") => json(StatusCode::OK, &lock(&state).requests),
        (&Method::POST, "/control/crash") => {
            lock(&state).stopper.stop();
            empty(StatusCode::NO_CONTENT)
        }
        _ => fault(StatusCode::NOT_FOUND, "no such call"),
    }
}

/// A request to cancel an attempt.
#[derive(Debug, Deserialize)]
struct CancelRequest {
    /// The attempt.
    attempt: Box<str>,
}

/// The answer to cancelling.
#[derive(Debug, Serialize)]
struct CancelAnswer {
    /// Whether the attempt was there to be cancelled.
    cancelled: bool,
}

/// Cancels an attempt.
fn cancel_attempt(state: &Shared, req: &CancelRequest) -> Answer {
    let attempt = lock(state).attempts.remove(&req.attempt);
    let cancelled = attempt.is_some();

    if let Some(attempt) = attempt {
        attempt.notify_one();
    }

    json(StatusCode::OK, &CancelAnswer { cancelled })
}

/// What the cache holds, as answered.
#[derive(Debug, Serialize)]
struct HeldAnswer {
    /// The programs.
    programs: Vec<Held>,
}

/// Events as answered.
#[derive(Debug, Serialize)]
struct EventsAnswer {
    /// The events.
    events: Vec<Event>,
}

/// Lists the events after the number in the query.
fn list_events(state: &Shared, query: Option<&str>) -> Answer {
    let number = query.unwrap_or("after=0").strip_prefix("after=").map(str::parse);

    match number {
        Some(Ok(number)) => {
            let events = lock(state).events.after(Instant::now(), number);
            json(StatusCode::OK, &EventsAnswer { events })
        }
        _ => fault(StatusCode::BAD_REQUEST, "the query is after=NUMBER"),
    }
}
