//! Sends attempts to targets, which are model engines and services, over HTTP.
//!
//! A request to a target never contains the caller's credentials: it is built from the [`Dispatch`]
//! of the program's home (the host that runs the program), never copied from the caller's request.

mod engine;
mod service;
mod sse;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use camphorwalk_core::config::{Config, Target, TargetKind};
use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::{AttemptId, ProgramId, RequestOrigin, TargetId};
use camphorwalk_policy::shared_types::{AttemptOutcome, AttemptPayload, Dispatch};
use futures::future::BoxFuture;
use http::{Request, Uri};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio_util::sync::CancellationToken;

/// How long connecting to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long one request for a target's load, events or held programs may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of programs for which the engines that served them are recorded. When it is
/// reached, all records are dropped; the scheduler's periodic comparison with the programs that
/// engines hold then frees what is left.
const MAX_SERVED_PROGRAMS: usize = 65_536;

/// The largest answer that is accepted from a target, in bytes. In a stream, this limits
/// each event.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Forwards a numbered part of a stream to the request that it belongs to, and returns whether that
/// succeeded.
pub type SendPart = dyn Fn(RequestOrigin, u32, String) -> BoxFuture<'static, bool> + Send + Sync;

/// The kind and address of a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetAddress {
    /// Engine or service.
    pub kind: TargetKind,
    /// The address to connect to.
    pub address: SocketAddr,
}

/// Sends attempts to targets. Clones share all state.
#[derive(Clone)]
pub struct Targets {
    shared: Arc<Shared>,
}

struct Shared {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: RwLock<Map<TargetId, TargetAddress>>,
    running: Mutex<Map<AttemptId, CancellationToken>>,
    /// For each program served by this host, the engines that may hold something for it.
    served: Mutex<Map<ProgramId, Set<TargetId>>>,
    send_part: Box<SendPart>,
}

impl Targets {
    /// Creates a sender without targets. [`Targets::adopt`] adds them.
    pub fn new(send_part: Box<SendPart>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);

        let shared = Shared {
            client,
            addresses: RwLock::default(),
            running: Mutex::default(),
            served: Mutex::default(),
            send_part,
        };

        Self { shared: Arc::new(shared) }
    }

    /// Replaces the known targets by those of a configuration.
    pub fn adopt(&self, config: &Config) {
        let address = |t: &Target| {
            (TargetId::from_name(&t.name), TargetAddress { kind: t.kind, address: t.address })
        };
        let addresses = config.targets.iter().map(address).collect();

        *self.shared.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Sends an attempt and waits for its outcome.
    pub async fn run(&self, dispatch: Dispatch) -> AttemptOutcome {
        let Some(target) = self.address(dispatch.target) else {
            let message = "it is not in the configuration of this host".into();
            return AttemptOutcome::Refused { message };
        };
        let cancel = CancellationToken::new();
        lock(&self.shared.running).insert(dispatch.attempt, cancel.clone());

        let attempt = dispatch.attempt;
        let outcome = self.run_cancellable(target, dispatch, &cancel).await;
        lock(&self.shared.running).remove(&attempt);

        outcome
    }

    async fn run_cancellable(
        &self,
        target: TargetAddress,
        dispatch: Dispatch,
        cancel: &CancellationToken,
    ) -> AttemptOutcome {
        let timeout = dispatch.timeout;
        let streamed = AtomicBool::new(false);
        let exchange = async {
            match &dispatch.payload {
                AttemptPayload::Generate { prompt, max_tokens } => {
                    self.record_served(dispatch.program, dispatch.target);
                    self.generate(target, &dispatch, prompt, *max_tokens, &streamed).await
                }
                AttemptPayload::Operation { operation, key, input } => {
                    self.run_operation(target, &dispatch, operation, key, input).await
                }
            }
        };

        // On cancellation or timeout the future is dropped, which closes the connection and so ends
        // the attempt at an engine.
        tokio::select! {
            outcome = exchange => outcome,
            () = cancel.cancelled() => AttemptOutcome::Cancelled,
            () = tokio::time::sleep(timeout) => AttemptOutcome::Lost {
                streamed: streamed.load(Ordering::Relaxed),
                crashed: false,
            },
        }
    }

    /// Cancels an attempt if it is still running.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(cancel) = lock(&self.shared.running).get(&attempt) {
            cancel.cancel();
        }
    }

    /// Orders all engines that served a program to free what they hold for it.
    pub async fn free(&self, program: ProgramId) {
        let served = lock(&self.shared.served).remove(&program).unwrap_or_default();

        for target in served {
            self.free_at(target, program).await;
        }
    }

    /// Orders one engine to free what it holds for a program.
    pub async fn free_at(&self, target: TargetId, program: ProgramId) {
        if let Some(target) = self.address(target) {
            self.send_free_order(target, program).await;
        }
    }

    /// Gets JSON from a target. Returns `None` if it does not answer in time or the answer does not
    /// have the expected form.
    pub(crate) async fn get_json<T: serde::de::DeserializeOwned>(
        &self,
        target: TargetId,
        path: &str,
    ) -> Option<T> {
        let target = self.address(target)?;
        let uri: Uri = format!("http://{}{path}", target.address).parse().ok()?;
        let request = async {
            let response = self.shared.client.get(uri).await.ok()?;
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await.ok()?;
            serde_json::from_slice(&body.to_bytes()).ok()
        };

        tokio::time::timeout(READ_TIMEOUT, request).await.ok()?
    }

    fn address(&self, target: TargetId) -> Option<TargetAddress> {
        let addresses = self.shared.addresses.read().unwrap_or_else(PoisonError::into_inner);

        addresses.get(&target).copied()
    }

    fn record_served(&self, program: ProgramId, target: TargetId) {
        let mut served = lock(&self.shared.served);
        if served.len() >= MAX_SERVED_PROGRAMS {
            served.clear();
        }
        served.entry(program).or_default().insert(target);
    }
}

/// Builds a POST request with a JSON body.
fn post(target: TargetAddress, path: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
    let uri: Uri = format!("http://{}{path}", target.address)
        .parse()
        .expect("an address and a fixed path form a valid URI");

    Request::post(uri)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("a request with a valid URI and a fixed header is valid")
}

/// Returns the outcome of an attempt whose request failed.
///
/// Only a failed connect proves that nothing was sent. After any later error the request may have
/// reached the target; reporting it as not sent could run it a second time.
fn send_failure(e: &hyper_util::client::legacy::Error) -> AttemptOutcome {
    if e.is_connect() {
        return AttemptOutcome::NotSent;
    }

    AttemptOutcome::Lost { streamed: false, crashed: true }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
