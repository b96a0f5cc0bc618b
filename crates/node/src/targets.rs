//! Attempts at targets: model engines and plain services, by HTTP.
//!
//! A request to a target carries nothing of the caller's credentials: it is built here, from
//! what the home decided, and never copied from what the caller sent.

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

/// How long a connection to a target may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a reading of a target's load or cache may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The most programs whose engines are remembered; what is forgotten is freed by the sweep.
const MOST_SERVED: usize = 65_536;

/// The largest answer of a target that is read, in bytes.
const LARGEST_ANSWER: usize = 16 << 20;

/// Takes a part of a stream on towards its caller; returns whether it could.
pub type SendPart = dyn Fn(RequestOrigin, u32, String) -> BoxFuture<'static, bool> + Send + Sync;

/// Where a target is.
#[derive(Clone, Copy, Debug)]
pub struct TargetAddress {
    /// What it is.
    pub kind: TargetKind,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Sends attempts to targets. Clones share everything.
#[derive(Clone)]
pub struct Targets {
    shared: Arc<Shared>,
}

struct Shared {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: RwLock<Map<TargetId, TargetAddress>>,
    running: Mutex<Map<AttemptId, CancellationToken>>,
    /// The engines that may hold something for a program that was served from here.
    served: Mutex<Map<ProgramId, Set<TargetId>>>,
    send_part: Box<SendPart>,
}

impl Targets {
    /// Makes a sender that knows of no target.
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

    /// Takes over the targets of a configuration.
    pub fn adopt(&self, config: &Config) {
        let address = |t: &Target| {
            (TargetId::from_name(&t.name), TargetAddress { kind: t.kind, address: t.address })
        };
        let addresses = config.targets.iter().map(address).collect();

        *self.shared.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Runs an attempt to its end.
    pub async fn run(&self, dispatch: Dispatch) -> AttemptOutcome {
        let Some(target) = self.address(dispatch.target) else {
            let message = "it is not in the configuration of this host".into();
            return AttemptOutcome::Refused { message };
        };
        let cancel = CancellationToken::new();
        lock(&self.shared.running).insert(dispatch.attempt, cancel.clone());

        let attempt = dispatch.attempt;
        let end = self.run_until(target, dispatch, &cancel).await;
        lock(&self.shared.running).remove(&attempt);

        end
    }

    async fn run_until(
        &self,
        target: TargetAddress,
        dispatch: Dispatch,
        cancel: &CancellationToken,
    ) -> AttemptOutcome {
        let timeout = dispatch.timeout;
        let streamed = AtomicBool::new(false);
        let work = async {
            match &dispatch.payload {
                AttemptPayload::Generate { prompt, max_tokens } => {
                    self.note_served(dispatch.program, dispatch.target);
                    self.generate(target, &dispatch, prompt, *max_tokens, &streamed).await
                }
                AttemptPayload::Operation { operation, key, input } => {
                    self.operate(target, &dispatch, operation, key, input).await
                }
            }
        };

        // Dropping the work closes its connection, which ends it at an engine.
        tokio::select! {
            end = work => end,
            () = cancel.cancelled() => AttemptOutcome::Cancelled,
            () = tokio::time::sleep(timeout) => AttemptOutcome::Lost {
                streamed: streamed.load(Ordering::Relaxed),
                crashed: false,
            },
        }
    }

    /// Cancels an attempt, if it still runs.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(cancel) = lock(&self.shared.running).get(&attempt) {
            cancel.cancel();
        }
    }

    /// Has the engines that served a program free what they hold for it.
    pub async fn free(&self, program: ProgramId) {
        let served = lock(&self.shared.served).remove(&program).unwrap_or_default();

        for target in served {
            self.free_at(target, program).await;
        }
    }

    /// Has one engine free what it holds for a program.
    pub async fn free_at(&self, target: TargetId, program: ProgramId) {
        if let Some(target) = self.address(target) {
            self.order_free(target, program).await;
        }
    }

    /// Gets JSON from a target; `None` if it does not answer, or not with that.
    pub(crate) async fn get_json<T: serde::de::DeserializeOwned>(
        &self,
        target: TargetId,
        path: &str,
    ) -> Option<T> {
        let target = self.address(target)?;
        let uri: Uri = format!("http://{}{path}", target.address).parse().ok()?;
        let reading = async {
            let response = self.shared.client.get(uri).await.ok()?;
            let body = Limited::new(response.into_body(), LARGEST_ANSWER).collect().await.ok()?;
            serde_json::from_slice(&body.to_bytes()).ok()
        };

        tokio::time::timeout(READ_TIMEOUT, reading).await.ok()?
    }

    fn address(&self, target: TargetId) -> Option<TargetAddress> {
        let addresses = self.shared.addresses.read().unwrap_or_else(PoisonError::into_inner);

        addresses.get(&target).copied()
    }

    fn note_served(&self, program: ProgramId, target: TargetId) {
        let mut served = lock(&self.shared.served);
        if served.len() >= MOST_SERVED {
            served.clear();
        }
        served.entry(program).or_default().insert(target);
    }
}

/// Makes a request with a JSON body.
fn post(target: TargetAddress, path: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
    let uri: Uri = format!("http://{}{path}", target.address)
        .parse()
        .expect("an address and a fixed path make a URI");

    Request::post(uri)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("a URI and a fixed header make a request")
}

/// Returns what a failed sending means.
///
/// Only a connection that was never made proves that nothing was sent. Anything later may
/// have reached the target: told as "not sent" it could be run a second time.
fn sending_failed(e: &hyper_util::client::legacy::Error) -> AttemptOutcome {
    if e.is_connect() {
        return AttemptOutcome::NotSent;
    }

    AttemptOutcome::Lost { streamed: false, crashed: true }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
