//! Starts an entry host, connects its parts and shuts it down.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, RequestId, RequestOrigin};
use camphorwalk_core::messages::forward::Chunk;
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_peer::{Inbound, PeerOptions, Peers, Secret};
use camphorwalk_policy::configs::OperatorRequestId;
use camphorwalk_policy::scheduler::{Action, Event, OperatorReply, SchedulerOptions};
use camphorwalk_policy::shared_types::AttemptOutcome;
use camphorwalk_store::{Client, ClientOptions};
use rand::RngCore as _;
use tokio::sync::{mpsc, oneshot, watch};

use crate::auth::Keys;
use crate::callers::CallerServer;
use crate::control::Control;
use crate::errors::Result;
use crate::metrics::Metrics;
use crate::operators::OperatorServer;
use crate::secrets::Secrets;
use crate::settings::Settings;
use crate::streams::{Part, Streams};
use crate::targets::Targets;

/// How often the platform's list of hosts is read. The list itself lags behind, so reading it more
/// often gains nothing.
const HOST_LIST_PERIOD: Duration = Duration::from_secs(2);

/// How many messages from peers may wait to be routed.
const INBOUND_BUFFER: usize = 4_096;

/// The stages of a host's life, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The host has no configuration yet.
    Starting,
    /// The host serves callers.
    Serving,
    /// The host is shutting down and finishes open work.
    Leaving,
    /// The host has released all its leases and ended its session, or the session expired. The
    /// process may exit.
    Left,
}

/// State shared by the servers, tasks and connections of a host.
pub struct Shared {
    /// The host's name.
    pub name: Box<str>,
    /// Sends events to the control thread.
    pub control: Control,
    /// The open requests of callers and the streams that belong to them.
    pub streams: Streams,
    /// The callers' keys that are currently valid.
    pub keys: RwLock<Keys>,
    /// The metrics of this host.
    pub metrics: Metrics,
    /// The limits from the settings.
    pub limits: crate::settings::Limits,
    /// The SHA-256 digest of the operators' key.
    pub operator_key: [u8; 32],
    /// The current phase; tasks can wait for a change.
    pub phase: watch::Sender<Phase>,
    /// Requests of operators that wait for the control thread's reply.
    pub operator_requests: Mutex<Map<OperatorRequestId, oneshot::Sender<OperatorReply>>>,
    /// The next number for a request of a caller or an operator.
    pub counter: std::sync::atomic::AtomicU64,
}

impl Shared {
    /// Moves the host to [`Phase::Leaving`], unless it is in that phase or has left already.
    pub fn begin_leaving(&self) {
        self.phase.send_if_modified(|phase| {
            let first = *phase < Phase::Leaving;
            if first {
                *phase = Phase::Leaving;
            }
            first
        });
    }

    /// Returns a request number that this process has not used before.
    pub fn next_request_number(&self) -> u64 {
        self.counter.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
    }
}

/// A running entry host. It stops when it is dropped or when [`Host::drain`] has completed.
pub struct Host {
    shared: Arc<Shared>,
    callers: CallerServer,
    operators: OperatorServer,
    peer_address: SocketAddr,
    drain_delay: Duration,
}

impl Host {
    /// Starts a host on the current tokio runtime.
    pub async fn start(settings: Settings, secrets: Secrets) -> Result<Self> {
        let secret = secrets.fleet;
        let metrics = Metrics::new()?;
        let session = new_session();

        // The peer listener starts first, because its address is published with the host's session.
        let (inbound_tx, inbound) = mpsc::channel(INBOUND_BUFFER);
        let options = PeerOptions::new(
            settings.peers_address,
            &settings.name,
            &settings.zone,
            session,
            Secret::new(secret),
        );
        let peers = Peers::start(options, inbound_tx).await?;
        peers.register(metrics.registry())?;
        let peer_address = peers.local_address();

        let platform = platform_client(&settings, session, &metrics)?;
        let (actions_tx, actions) = mpsc::unbounded_channel();
        let control =
            start_control(&settings, session, secret, peer_address, &metrics, actions_tx)?;

        let shared = Arc::new(Shared {
            name: settings.name.clone(),
            control,
            streams: Streams::default(),
            keys: RwLock::default(),
            metrics,
            limits: settings.limits,
            operator_key: secrets.operator_key_digest(),
            phase: watch::Sender::new(Phase::Starting),
            operator_requests: Mutex::default(),
            counter: std::sync::atomic::AtomicU64::new(1),
        });
        let targets = make_targets(&shared, &peers, &settings.name);
        tokio::spawn(route_inbound(shared.clone(), inbound));
        tokio::spawn(poll_hosts(shared.clone(), platform.clone()));
        let (watched, watched_rx) = watch::channel(Vec::new());
        tokio::spawn(crate::watch::run(shared.clone(), targets.clone(), watched_rx));
        let executor = ActionExecutor { shared: shared.clone(), peers, platform, targets, watched };
        tokio::spawn(executor.run(actions));

        let callers = CallerServer::start(settings.callers_address, shared.clone())?;
        let operators = OperatorServer::start(settings.operators_address, shared.clone())?;

        Ok(Self { shared, callers, operators, peer_address, drain_delay: settings.drain_delay })
    }

    /// Returns the address of the API for callers, with the port that was bound.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the API for operators, with the port that was bound.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address on which this host accepts connections from peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Waits until the host has reached a phase or a later one.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut rx = self.shared.phase.subscribe();

        // The sender lives in `self.shared`, so waiting cannot fail.
        let _ = rx.wait_for(|now| *now >= phase).await;
    }

    /// Shuts down gracefully, and returns once everything is handed over and no request is open.
    ///
    /// The readiness check fails at once. New requests are still accepted for `drain_delay`, so
    /// that the load balancer can notice the failing check before requests are refused.
    pub async fn drain(&self) {
        self.shared.begin_leaving();
        tokio::time::sleep(self.drain_delay).await;
        self.shared.control.send(Event::Drain);
        self.wait_for_phase(Phase::Left).await;

        // Requests forwarded to programs' homes on other hosts may still be open.
        while self.shared.streams.count() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Performs the I/O for the actions of the control thread.
struct ActionExecutor {
    shared: Arc<Shared>,
    peers: Peers,
    platform: Client,
    targets: Targets,
    watched: watch::Sender<Vec<camphorwalk_core::ids::TargetId>>,
}

impl ActionExecutor {
    async fn run(self, mut actions: mpsc::UnboundedReceiver<Action>) {
        while let Some(action) = actions.recv().await {
            self.execute(action);
        }
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Answer { request, reply } => self.shared.streams.answer(request, *reply),
            Action::Send { to, message } => self.send(to, message),
            Action::SetPeerAddress { host, address } => self.peers.set_address(host, address),
            Action::Platform { op, request } => {
                let (platform, control) = (self.platform.clone(), self.shared.control.clone());
                tokio::spawn(async move {
                    let reply = platform.run(request).await;
                    control.send(Event::Platform { op, reply });
                });
            }
            Action::Dispatch(dispatch) => self.dispatch(*dispatch),
            Action::Cancel(attempt) => self.targets.cancel(attempt),
            Action::FreeProgram(program) => {
                let targets = self.targets.clone();
                tokio::spawn(async move { targets.free(program).await });
            }
            Action::FreeProgramAt { target, program } => {
                let targets = self.targets.clone();
                tokio::spawn(async move { targets.free_at(target, program).await });
            }
            Action::WatchEngines(engines) => {
                self.watched.send_replace(engines);
            }
            Action::Adopted(config) => self.adopt(&config),
            Action::KeyWithdrawn(key) => {
                tracing::info!("config: key {key} withdrawn");
                write(&self.shared.keys).withdraw(key);
            }
            Action::OperatorAnswer { request_id, reply } => {
                self.answer_operator(request_id, *reply);
            }
            Action::ShutdownReady => {
                tracing::info!("host: all partitions and places are handed over");
                self.shared.phase.send_replace(Phase::Left);
            }
        }
    }

    fn send(&self, to: HostId, mut message: PeerMessage) {
        // The control thread does not see streamed parts, so their number is filled in here. An
        // answer that is sent again already has it, and `take_sent` then returns 0.
        if let Some(Body::Answer(answer)) = &mut message.body {
            let origin = RequestOrigin { entry: to, request: RequestId(answer.request) };
            answer.chunks = answer.chunks.max(self.shared.streams.take_sent(origin));
        }

        if !self.peers.send(to, message.clone()) {
            self.shared.control.send(Event::SendFailed { to, message });
        }
    }

    fn dispatch(&self, dispatch: camphorwalk_policy::shared_types::Dispatch) {
        let (attempt, stream) = (dispatch.attempt, dispatch.stream);
        let (targets, shared) = (self.targets.clone(), self.shared.clone());

        tokio::spawn(async move {
            // The key is checked again right before sending, so that no target receives an
            // attempt whose key was withdrawn after the request was admitted.
            let in_force = read(&shared.keys).is_in_force(dispatch.key);
            let outcome = if in_force { targets.run(dispatch).await } else { key_withdrawn() };
            // There may be no answer after a cancelled attempt, so its part count is removed here.
            if let (AttemptOutcome::Cancelled, Some(origin)) = (&outcome, stream) {
                shared.streams.take_sent(origin);
            }
            shared.metrics.attempts.with_label_values(&[outcome_label(&outcome)]).inc();
            shared.control.send(Event::AttemptEnded { attempt, outcome });
        });
    }

    fn adopt(&self, config: &camphorwalk_core::config::Config) {
        tracing::info!("config: version {} is in force", config.version.0);
        self.targets.adopt(config);
        write(&self.shared.keys).adopt(config);
        self.shared.phase.send_if_modified(|phase| {
            let first = *phase == Phase::Starting;
            if first {
                *phase = Phase::Serving;
            }
            first
        });
    }

    fn answer_operator(&self, request_id: OperatorRequestId, reply: OperatorReply) {
        let waiting = self
            .shared
            .operator_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&request_id);

        if let Some(waiting) = waiting {
            // Sending fails if the operator has disconnected, and the reply is then dropped.
            let _ = waiting.send(reply);
        }
    }
}

/// Routes messages from peers: streamed parts go directly to the open requests, other messages to
/// the control thread.
async fn route_inbound(shared: Arc<Shared>, mut inbound: mpsc::Receiver<Inbound>) {
    while let Some(item) = inbound.recv().await {
        match item {
            Inbound::Message {
                message: PeerMessage { body: Some(Body::Chunk(chunk)) }, ..
            } => {
                forward_chunk(&shared.streams, chunk);
            }
            // Shutdown starts with the readiness check that the load balancer sees. The control
            // thread gets `Event::Drain` only after `drain_delay`.
            Inbound::Message { message: PeerMessage { body: Some(Body::Drain(_)) }, .. } => {
                shared.begin_leaving();
            }
            Inbound::Message { from, message } => {
                if let Some(Body::Answer(answer)) = &message.body {
                    shared.streams.set_part_count(RequestId(answer.request), answer.chunks);
                }
                shared.control.send(Event::Peer { from, message });
            }
            Inbound::Up { name, zone, .. } => {
                tracing::info!("peer: {name} of zone {zone} is connected");
            }
            Inbound::Down { host } | Inbound::ConnectionLost { host } => {
                shared.control.send(Event::PeerDown(host));
            }
            Inbound::SendFailed { to, message } => {
                shared.control.send(Event::SendFailed { to, message });
            }
        }
    }
}

/// Forwards a streamed part without waiting, because one slow caller must not delay the messages
/// for all others. If the caller's buffer is full, the part is dropped and the caller's stream
/// ends with an error.
fn forward_chunk(streams: &Streams, chunk: Chunk) {
    if let Some(parts) = streams.parts(RequestId(chunk.request)) {
        let _ = parts.try_send(Part { number: chunk.number, text: chunk.text });
    }
}

/// Reads the platform's list of hosts periodically and sends it to the control thread.
async fn poll_hosts(shared: Arc<Shared>, platform: Client) {
    loop {
        match platform.hosts().await {
            Ok(hosts) => shared.control.send(Event::HostList(hosts)),
            Err(e) => tracing::debug!("platform: the list of hosts could not be read: {e}"),
        }
        tokio::time::sleep(HOST_LIST_PERIOD).await;
    }
}

/// Creates the sender of attempts. Streamed parts go to the request they belong to, on this host
/// or through the peer connection to the host that received the request.
fn make_targets(shared: &Arc<Shared>, peers: &Peers, name: &str) -> Targets {
    let me = HostId::from_name(name);
    let (shared, peers) = (shared.clone(), peers.clone());

    Targets::new(Box::new(move |origin, number, text| {
        let (shared, peers) = (shared.clone(), peers.clone());
        Box::pin(async move {
            if origin.entry == me {
                shared.streams.set_part_count(origin.request, number + 1);
                return match shared.streams.parts(origin.request) {
                    Some(parts) => parts.send(Part { number, text }).await.is_ok(),
                    None => false,
                };
            }
            shared.streams.record_sent(origin, number + 1);
            let chunk = Chunk { request: origin.request.0, number, text };
            peers.send(origin.entry, Body::Chunk(chunk).into())
        })
    }))
}

fn start_control(
    settings: &Settings,
    session: u64,
    secret: [u8; 32],
    peer_address: SocketAddr,
    metrics: &Metrics,
    actions: mpsc::UnboundedSender<Action>,
) -> Result<Control> {
    let options = SchedulerOptions {
        host: settings.name.clone(),
        zone: settings.zone.clone(),
        peer_address,
        session,
        seal_key: camphorwalk_core::hash::digest(&[b"seal", &secret]),
        times: settings.times,
        read_config: |bytes| camphorwalk_declare::unbundle(bytes).map_err(|e| e.to_string().into()),
        write_config: camphorwalk_declare::bundle,
    };
    let send_action = move |_: &_, action| {
        // Sending fails only after the executor has ended, which happens when the host shuts down.
        let _ = actions.send(action);
    };
    Control::start(options, metrics.events.clone(), send_action)
        .map_err(|e| crate::errors::cannot_start("the control thread", e))
}

fn platform_client(settings: &Settings, seed: u64, metrics: &Metrics) -> Result<Client> {
    let mut options = ClientOptions::new(settings.platform.address, &settings.zone);
    options.deadline = settings.platform.request_timeout;
    options.quota.reads_per_second = settings.platform.reads_per_second;
    options.quota.writes_per_second = settings.platform.writes_per_second;
    options.seed = seed;

    let client = Client::new(options)?;
    client.register(metrics.registry())?;

    Ok(client)
}

/// Generates the session number of this process: seconds since 1970 in the upper 32 bits, random
/// bits in the lower ones, so that a host has a higher number after each restart.
fn new_session() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();

    (since.as_secs() << 32) | u64::from(rand::rng().next_u32())
}

/// Returns the outcome of an attempt that was not sent because its key had been withdrawn.
fn key_withdrawn() -> AttemptOutcome {
    AttemptOutcome::Refused { message: "its key was withdrawn".into() }
}

fn outcome_label(outcome: &AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Done { .. } => "done",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Refused { .. } => "refused",
        AttemptOutcome::Failed { .. } => "failed",
        AttemptOutcome::Lost { .. } => "lost",
        AttemptOutcome::Cancelled => "cancelled",
    }
}

/// Locks for reading. A poisoned lock is used as it is, since no code panics while it holds the
/// lock for writing.
pub(crate) fn read<T>(lock: &RwLock<T>) -> std::sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

fn write<T>(lock: &RwLock<T>) -> std::sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}
