//! The service stand-in: runs operations, never de-duplicates, and keeps a ledger of what
//! ran.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::requests::{RequestLog, SeenRequest};
use crate::server::{Answer, Server, Stopper, empty, fault, json, parse};

/// What a service stand-in starts with.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceOptions {
    /// How long an operation takes to run.
    pub delay: Duration,
    /// How requests are treated at first.
    pub mode: ServiceMode,
}

/// How requests are treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceMode {
    /// They run and are answered.
    #[default]
    Ok,
    /// They fail with 500 and do not run.
    FailBefore,
    /// They run, then fail with 500.
    FailAfter,
    /// The connection is closed, and they do not run.
    DropBefore,
    /// They run, then the connection is closed.
    DropAfter,
    /// Like `Ok`; for setting a longer delay.
    Slow,
    /// They are refused with 503 and do not run.
    Refuse,
}

/// A run of an operation, as asked for and as the ledger tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The operation.
    pub operation: Box<str>,
    /// The idempotency key, which this service does not heed.
    pub key: Box<str>,
    /// The program that it runs for.
    pub program: Box<str>,
    /// The number of the call in the program.
    pub call: u32,
    /// What it was given.
    pub input: serde_json::Value,
}

/// A service stand-in that runs in this process.
#[derive(Debug)]
pub struct Service {
    /// Its listener.
    server: Server,
    /// What it holds.
    state: Shared,
}

/// The state as handlers share it.
type Shared = Arc<Mutex<State>>;

/// What a service stand-in holds.
#[derive(Debug)]
struct State {
    /// How long an operation takes to run.
    delay: Duration,
    /// How requests are treated.
    mode: ServiceMode,
    /// What ran, in order.
    runs: Vec<Run>,
    /// What it was sent.
    requests: RequestLog,
}

impl Service {
    /// Starts a service stand-in; port 0 takes any free port.
    pub async fn start(listen: SocketAddr, options: ServiceOptions) -> anyhow::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            delay: options.delay,
            mode: options.mode,
            runs: Vec::new(),
            requests: RequestLog::default(),
        }));
        let shared = Arc::clone(&state);

        let handler = Arc::new(move |req| {
            let answer = handle(Arc::clone(&shared), req);
            Box::pin(answer) as futures::future::BoxFuture<'static, Answer>
        });
        let server = Server::start(listen, Stopper::new(), handler).await?;

        Ok(Self { server, state })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes the listener and all connections. Operations under way still run.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Returns when the listener is closed.
    pub async fn closed(&self) {
        self.server.closed().await;
    }

    /// Sets how requests are treated from now on, and how long an operation takes.
    pub fn set_mode(&self, mode: ServiceMode, delay: Duration) {
        let mut state = lock(&self.state);
        state.mode = mode;
        state.delay = delay;
    }

    /// Returns what ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// Returns what it was sent, oldest first.
    pub fn requests(&self) -> Vec<SeenRequest> {
        lock(&self.state).requests.to_vec()
    }
}

/// Locks the state; a handler that panicked leaves it usable for a fake.
fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The ledger as answered.
#[derive(Debug, Serialize)]
struct Ledger<'a> {
    /// What ran, in order.
    runs: &'a [Run],
}

/// A change of mode.
#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModeSetting {
    /// The new mode.
    mode: ServiceMode,
    /// How long an operation takes from now on; as before if left out.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "delay_ms", default)]
    delay: Option<Duration>,
}

/// Answers a request.
async fn handle(state: Shared, req: Request<Bytes>) -> Answer {
    let path = req.uri().path();

    if path.starts_with("/v1/") {
        lock(&state).requests.record(&req);
    }

    match (req.method(), path) {
        (&Method::POST, "/v1/run") => match parse(req.body()) {
            Ok(run) => run_operation(state, run).await,
            Err(refusal) => refusal,
        },
        (&Method::GET, "/ledger") => json(StatusCode::OK, &Ledger { runs: &lock(&state).runs }),
        (&Method::GET, "/control/requests") => json(StatusCode::OK, &lock(&state).requests),
        (&Method::POST, "/control/mode") => match parse(req.body()) {
            Ok(setting) => change_mode(&state, &setting),
            Err(refusal) => refusal,
        },
        _ => fault(StatusCode::NOT_FOUND, "no such call"),
    }
}

/// Makes a change of mode.
fn change_mode(state: &Shared, setting: &ModeSetting) -> Answer {
    let mut state = lock(state);
    state.mode = setting.mode;

    if let Some(delay) = setting.delay {
        state.delay = delay;
    }

    empty(StatusCode::NO_CONTENT)
}

/// The answer to a run.
#[derive(Debug, Serialize)]
struct RunAnswer {
    /// What the operation returned.
    output: RunOutput,
}

/// What an operation returns.
#[derive(Debug, Serialize)]
struct RunOutput {
    /// The operation.
    operation: Box<str>,
    /// The number of the run in the ledger; the first is 1.
    run: usize,
}

/// The answer to a run that failed.
#[derive(Debug, Serialize)]
struct RunFault {
    /// The fault, for a human reader.
    error: &'static str,
    /// Whether the operation ran.
    ran: bool,
}

/// Runs an operation as the mode says, and answers.
async fn run_operation(state: Shared, run: Run) -> Answer {
    let mode = lock(&state).mode;
    let failed = |ran| RunFault { error: "the operation failed", ran };

    match mode {
        ServiceMode::Refuse => fault(StatusCode::SERVICE_UNAVAILABLE, "refusing"),
        ServiceMode::FailBefore => json(StatusCode::INTERNAL_SERVER_ERROR, &failed(false)),
        ServiceMode::DropBefore => Answer::Broken,
        ServiceMode::Ok | ServiceMode::Slow => match run_to_end(state, run).await {
            Some(output) => json(StatusCode::OK, &RunAnswer { output }),
            None => Answer::Broken,
        },
        ServiceMode::FailAfter => {
            run_to_end(state, run).await;
            json(StatusCode::INTERNAL_SERVER_ERROR, &failed(true))
        }
        ServiceMode::DropAfter => {
            run_to_end(state, run).await;
            Answer::Broken
        }
    }
}

/// Runs an operation to its end, also if the caller has gone by then.
async fn run_to_end(state: Shared, run: Run) -> Option<RunOutput> {
    let task = tokio::spawn(async move {
        let delay = lock(&state).delay;
        // Even a sleep of nothing would take a tick of the timer, a millisecond.
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }

        let operation = run.operation.clone();
        let mut state = lock(&state);
        state.runs.push(run);

        RunOutput { operation, run: state.runs.len() }
    });

    task.await.ok()
}
