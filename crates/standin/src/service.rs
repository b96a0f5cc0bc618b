//! The service stand-in. It runs operations without deduplicating repeated requests, and records
//! each run in a ledger.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::requests::{RequestLog, SeenRequest};
use crate::server::{
    Answer, Server, Stopper, empty_response, error_response, json_response, parse_json,
};

/// The options of a service stand-in.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceOptions {
    /// The duration of an operation.
    pub delay: Duration,
    /// The initial mode.
    pub mode: ServiceMode,
}

/// How requests are handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceMode {
    /// Operations run and are answered.
    #[default]
    Ok,
    /// Requests fail with 500, and their operations do not run.
    FailBefore,
    /// Operations run, and their requests then fail with 500.
    FailAfter,
    /// The service closes the connection, and operations do not run.
    DropBefore,
    /// Operations run, and the service then closes the connection without an answer.
    DropAfter,
    /// Like `Ok`. A test sets it together with a longer delay, to say why operations are slow.
    Slow,
    /// Requests are refused with 503, and their operations do not run.
    Refuse,
}

/// A run of an operation, as requested and as recorded in the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The name of the operation.
    pub operation: Box<str>,
    /// The idempotency key, which this service ignores.
    pub key: Box<str>,
    /// The program that the operation runs for.
    pub program: Box<str>,
    /// The number of the call in the program.
    pub call: u32,
    /// The input of the operation.
    pub input: serde_json::Value,
}

/// A service stand-in that runs in this process. It stops when it is dropped.
#[derive(Debug)]
pub struct Service {
    /// The HTTP server.
    server: Server,
    /// The state, which its request handlers share.
    state: Shared,
}

/// The state as request handlers share it.
type Shared = Arc<Mutex<State>>;

/// The state of a service stand-in.
#[derive(Debug)]
struct State {
    /// The duration of an operation.
    delay: Duration,
    /// How requests are handled.
    mode: ServiceMode,
    /// The ledger: all completed operations, in order.
    runs: Vec<Run>,
    /// The received API requests.
    requests: RequestLog,
}

impl Service {
    /// Starts a service stand-in. Port 0 selects a free port.
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

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes the listener and all connections. Operations that have started still complete.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Waits until the listener and all connections are closed.
    pub async fn wait_closed(&self) {
        self.server.wait_closed().await;
    }

    /// Sets how requests are handled from now on, and the duration of operations.
    pub fn set_mode(&self, mode: ServiceMode, delay: Duration) {
        let mut state = lock(&self.state);
        state.mode = mode;
        state.delay = delay;
    }

    /// Returns the ledger: all completed operations, in order.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// Returns the recorded requests, oldest first.
    pub fn requests(&self) -> Vec<SeenRequest> {
        lock(&self.state).requests.to_vec()
    }
}

/// Locks the state, even if a handler has panicked while it held the lock. The state may then be
/// inconsistent, which is acceptable in a stand-in.
fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The response with the ledger.
#[derive(Debug, Serialize)]
struct Ledger<'a> {
    /// All completed operations, in order.
    runs: &'a [Run],
}

/// A request to change the mode.
#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModeSetting {
    /// The new mode.
    mode: ServiceMode,
    /// The new duration of operations. If absent, it does not change.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "delay_ms", default)]
    delay: Option<Duration>,
}

/// Handles a request.
async fn handle(state: Shared, req: Request<Bytes>) -> Answer {
    let path = req.uri().path();

    if path.starts_with("/v1/") {
        lock(&state).requests.record(&req);
    }

    match (req.method(), path) {
        (&Method::POST, "/v1/run") => match parse_json(req.body()) {
            Ok(run) => run_operation(state, run).await,
            Err(refusal) => refusal,
        },
        (&Method::GET, "/ledger") => {
            json_response(StatusCode::OK, &Ledger { runs: &lock(&state).runs })
        }
        (&Method::GET, "/control/requests") => {
            json_response(StatusCode::OK, &lock(&state).requests)
        }
        (&Method::POST, "/control/mode") => match parse_json(req.body()) {
            Ok(setting) => change_mode(&state, &setting),
            Err(refusal) => refusal,
        },
        _ => error_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

/// Changes the mode, and the duration of operations if it is given.
fn change_mode(state: &Shared, setting: &ModeSetting) -> Answer {
    let mut state = lock(state);
    state.mode = setting.mode;

    if let Some(delay) = setting.delay {
        state.delay = delay;
    }

    empty_response(StatusCode::NO_CONTENT)
}

/// The response to a successful run.
#[derive(Debug, Serialize)]
struct RunAnswer {
    /// The output of the operation.
    output: RunOutput,
}

/// The output of an operation.
#[derive(Debug, Serialize)]
struct RunOutput {
    /// The name of the operation.
    operation: Box<str>,
    /// The number of the run in the ledger, starting at 1.
    run: usize,
}

/// The response to a failed run.
#[derive(Debug, Serialize)]
struct RunFault {
    /// A description of the error.
    error: &'static str,
    /// Whether the operation ran.
    ran: bool,
}

/// Handles a request to run an operation, according to the current mode.
async fn run_operation(state: Shared, run: Run) -> Answer {
    let mode = lock(&state).mode;
    let failed = |ran| RunFault { error: "the operation failed", ran };

    match mode {
        ServiceMode::Refuse => error_response(StatusCode::SERVICE_UNAVAILABLE, "refusing"),
        ServiceMode::FailBefore => json_response(StatusCode::INTERNAL_SERVER_ERROR, &failed(false)),
        ServiceMode::DropBefore => Answer::CloseConnection,
        ServiceMode::Ok | ServiceMode::Slow => match run_to_completion(state, run).await {
            Some(output) => json_response(StatusCode::OK, &RunAnswer { output }),
            None => Answer::CloseConnection,
        },
        ServiceMode::FailAfter => {
            run_to_completion(state, run).await;
            json_response(StatusCode::INTERNAL_SERVER_ERROR, &failed(true))
        }
        ServiceMode::DropAfter => {
            run_to_completion(state, run).await;
            Answer::CloseConnection
        }
    }
}

/// Runs an operation to completion, even if the caller disconnects. Returns `None` if its task
/// failed.
async fn run_to_completion(state: Shared, run: Run) -> Option<RunOutput> {
    let task = tokio::spawn(async move {
        let delay = lock(&state).delay;
        // Even a zero sleep would wait for the next timer tick, up to a millisecond.
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
