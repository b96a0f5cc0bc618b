//! A running entry host.

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

/// How often the platform's list of hosts is read: it lags by itself.
const HOST_LIST_PERIOD: Duration = Duration::from_secs(2);

/// How many messages of peers wait for the router.
const INBOUND_BUFFER: usize = 4_096;

/// How far a host is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has no configuration yet.
    Starting,
    /// It serves.
    Serving,
    /// It is leaving, and finishes what runs.
    Leaving,
    /// It has handed back all that it held.
    Left,
}

/// What the parts of a host share.
pub struct Shared {
    /// The host's name.
    pub name: Box<str>,
    /// The way to the control thread.
    pub control: Control,
    /// The open requests.
    pub streams: Streams,
    /// The keys in force.
    pub keys: RwLock<Keys>,
    /// What is measured.
    pub metrics: Metrics,
    /// What the settings allow at most.
    pub limits: crate::settings::Limits,
    /// The digest of the operators' key.
    pub operator_key: [u8; 32],
    /// How far the host is.
    pub phase: watch::Sender<Phase>,
    /// Operators who wait for an answer.
    pub operators: Mutex<Map<OperatorRequestId, oneshot::Sender<OperatorReply>>>,
    /// Counts the requests and the operators' questions.
    pub counter: std::sync::atomic::AtomicU64,
}

impl Shared {
    /// Says that the host is leaving, unless it has left already.
    pub fn begin_leaving(&self) {
        self.phase.send_if_modified(|phase| {
            let first = *phase < Phase::Leaving;
            if first {
                *phase = Phase::Leaving;
            }
            first
        });
    }

    /// Returns a number never used before on this run of the host.
    pub fn number(&self) -> u64 {
        self.counter.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
    }
}

/// A running entry host. It stops when it is dropped or has left.
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

        // Peers come first: the address that they listen on goes into the host's session.
        let (inbound_tx, inbound) = mpsc::channel(INBOUND_BUFFER);
        let options = PeerOptions::new(
            settings.peers,
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
            operators: Mutex::default(),
            counter: std::sync::atomic::AtomicU64::new(1),
        });
        let targets = make_targets(&shared, &peers, &settings.name);
        tokio::spawn(route_inbound(shared.clone(), inbound));
        tokio::spawn(list_hosts(shared.clone(), platform.clone()));
        let (watched, watched_rx) = watch::channel(Vec::new());
        tokio::spawn(crate::watch::run(shared.clone(), targets.clone(), watched_rx));
        let carrier = Carrier { shared: shared.clone(), peers, platform, targets, watched };
        tokio::spawn(carrier.run(actions));

        let callers = CallerServer::start(settings.callers, shared.clone())?;
        let operators = OperatorServer::start(settings.operators, shared.clone())?;

        Ok(Self { shared, callers, operators, peer_address, drain_delay: settings.drain_delay })
    }

    /// Returns where callers reach this host.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns where operators reach this host.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns where other hosts reach this host.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Waits until the host has reached a phase.
    pub async fn reached(&self, phase: Phase) {
        let mut rx = self.shared.phase.subscribe();

        // The sender lives in `self.shared`, so waiting cannot fail.
        let _ = rx.wait_for(|now| *now >= phase).await;
    }

    /// Leaves without cutting a request, and returns once all is handed back.
    ///
    /// Health says so at once; requests are taken on until the balancer has heard of it.
    pub async fn drain(&self) {
        self.shared.begin_leaving();
        tokio::time::sleep(self.drain_delay).await;
        self.shared.control.send(Event::Drain);
        self.reached(Phase::Left).await;

        // Requests that were passed on to other homes may still be open.
        while self.shared.streams.count() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Carries out the actions of the control thread.
struct Carrier {
    shared: Arc<Shared>,
    peers: Peers,
    platform: Client,
    targets: Targets,
    watched: watch::Sender<Vec<camphorwalk_core::ids::TargetId>>,
}

impl Carrier {
    async fn run(self, mut actions: mpsc::UnboundedReceiver<Action>) {
        while let Some(action) = actions.recv().await {
            self.carry_out(action);
        }
    }

    fn carry_out(&self, action: Action) {
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
                self.answer_operator(request_id, *reply)
            }
            Action::ShutdownReady => {
                tracing::info!("host: all is handed back");
                self.shared.phase.send_replace(Phase::Left);
            }
        }
    }

    fn send(&self, to: HostId, mut message: PeerMessage) {
        // Only the traffic side knows how much was streamed before an answer. One that is sent
        // again has the number already.
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
            // The last look before anything is sent: a key withdrawn meanwhile has no effect
            // at any target.
            let stands = read(&shared.keys).stands(dispatch.key);
            let outcome = if stands { targets.run(dispatch).await } else { key_withdrawn() };
            // A cancelled attempt may be answered to nobody: what was counted for the answer goes.
            if let (AttemptOutcome::Cancelled, Some(origin)) = (&outcome, stream) {
                shared.streams.take_sent(origin);
            }
            shared.metrics.attempts.with_label_values(&[end_label(&outcome)]).inc();
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
            .operators
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&request_id);

        if let Some(waiting) = waiting {
            // An operator that went away has no use for the answer.
            let _ = waiting.send(reply);
        }
    }
}

/// Sorts what peers send: streamed parts go straight on, the rest to the control thread.
async fn route_inbound(shared: Arc<Shared>, mut inbound: mpsc::Receiver<Inbound>) {
    while let Some(item) = inbound.recv().await {
        match item {
            Inbound::Message {
                message: PeerMessage { body: Some(Body::Chunk(chunk)) }, ..
            } => {
                pass_chunk(&shared.streams, chunk);
            }
            // The whole way of leaving starts with the health that the balancer sees, so the
            // control thread hears of it only after the balancer's delay.
            Inbound::Message { message: PeerMessage { body: Some(Body::Drain(_)) }, .. } => {
                shared.begin_leaving();
            }
            Inbound::Message { from, message } => {
                if let Some(Body::Answer(answer)) = &message.body {
                    shared.streams.expect(RequestId(answer.request), answer.chunks);
                }
                shared.control.send(Event::Peer { from, message });
            }
            Inbound::Up { name, zone, .. } => {
                tracing::info!("peer: {name} of zone {zone} is connected");
            }
            Inbound::Down { host } | Inbound::Broken { host } => {
                shared.control.send(Event::PeerDown(host));
            }
            Inbound::Unsent { to, message } => {
                shared.control.send(Event::SendFailed { to, message });
            }
        }
    }
}

/// Passes a part on without waiting: one slow caller must not hold up all others. If its
/// buffer is full the part is lost, and the caller's stream ends with an error.
fn pass_chunk(streams: &Streams, chunk: Chunk) {
    if let Some(parts) = streams.parts(RequestId(chunk.request)) {
        let _ = parts.try_send(Part { number: chunk.number, text: chunk.text });
    }
}

/// Tells the control thread of the platform's list of hosts, again and again.
async fn list_hosts(shared: Arc<Shared>, platform: Client) {
    loop {
        match platform.hosts().await {
            Ok(hosts) => shared.control.send(Event::HostList(hosts)),
            Err(e) => tracing::debug!("platform: no list of hosts: {e}"),
        }
        tokio::time::sleep(HOST_LIST_PERIOD).await;
    }
}

/// Makes the sender of attempts, with the way back for what they stream.
fn make_targets(shared: &Arc<Shared>, peers: &Peers, name: &str) -> Targets {
    let me = HostId::from_name(name);
    let (shared, peers) = (shared.clone(), peers.clone());

    Targets::new(Box::new(move |origin, number, text| {
        let (shared, peers) = (shared.clone(), peers.clone());
        Box::pin(async move {
            if origin.entry == me {
                shared.streams.expect(origin.request, number + 1);
                return match shared.streams.parts(origin.request) {
                    Some(parts) => parts.send(Part { number, text }).await.is_ok(),
                    None => false,
                };
            }
            shared.streams.note_sent(origin, number + 1);
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
    let carry_out = move |_: &_, action| {
        // The carrier ends only with the whole host.
        let _ = actions.send(action);
    };
    Control::start(options, metrics.events.clone(), carry_out)
        .map_err(|e| crate::errors::cannot_listen("the control thread", e))
}

fn platform_client(settings: &Settings, seed: u64, metrics: &Metrics) -> Result<Client> {
    let mut options = ClientOptions::new(settings.platform.address, &settings.zone);
    options.deadline = settings.platform.deadline;
    options.share.reads_per_second = settings.platform.reads_per_second;
    options.share.writes_per_second = settings.platform.writes_per_second;
    options.seed = seed;

    let client = Client::new(options)?;
    client.register(metrics.registry())?;

    Ok(client)
}

/// Makes the number of this run: seconds since 1970 above, random bits below, so that a
/// later run of a host has a higher one.
fn new_session() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();

    (since.as_secs() << 32) | u64::from(rand::rng().next_u32())
}

/// Returns the end of an attempt whose key was withdrawn before it was sent.
fn key_withdrawn() -> AttemptOutcome {
    AttemptOutcome::Refused { message: "its key was withdrawn".into() }
}

fn end_label(end: &AttemptOutcome) -> &'static str {
    match end {
        AttemptOutcome::Done { .. } => "done",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Refused { .. } => "refused",
        AttemptOutcome::Failed { .. } => "failed",
        AttemptOutcome::Lost { .. } => "lost",
        AttemptOutcome::Cancelled => "cancelled",
    }
}

/// Locks for reading. No code panics while it holds the lock for writing.
pub(crate) fn read<T>(lock: &RwLock<T>) -> std::sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

fn write<T>(lock: &RwLock<T>) -> std::sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}
