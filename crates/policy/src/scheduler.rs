//! The complete control state of one host, driven event by event.
//!
//! [`Scheduler`] combines the controllers: it routes each event to the right controller and turns
//! each resulting action into an event for another controller or into an [`Action`] for the
//! runtime. It does no I/O and reads no clock, so many schedulers can run against each other in
//! virtual time.
//!
//! The entry host of a request is the host that the caller is connected to. The home of a program
//! is the host that holds the lease of the program's partition and runs its calls. The entry host
//! forwards each request to the program's home.

mod controllers;
mod extension;
mod gossip;
mod operators;
mod place_requests;
mod requests;
mod sweep;
mod unsent_answers;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::calls::{Reply, Request};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::{Digest, Map, Set};
use camphorwalk_core::ids::{
    AttemptId, HostId, KeyId, ProgramId, RequestId, TargetId, TenantId, ZoneId,
};
use camphorwalk_core::messages::PeerMessage;
use camphorwalk_core::platform::{HostListing, PlatformOp, PlatformReply};
use camphorwalk_core::time::Instant;

use crate::configs::{
    ConfigOp, ConfigOptions, Configs, OperatorRequestId, ReadConfig, WriteConfig,
};
use crate::host_state::HostState;
use crate::leases::{LeaseOp, LeaseOptions, Leases};
use crate::membership::{Membership, MembershipOptions};
use crate::programs::{ProgramOp, ProgramOptions, Programs};
use crate::queue::{LoadReport, QueueOptions, Queues};
use crate::shared_types::{AttemptOutcome, CallId, Dispatch};
use crate::slices::{SliceOptions, Slices, TakeId};

use self::controllers::ControllerEvent;
pub use self::operators::{HostStatus, OperatorReply, OperatorRequest, Status};
use self::place_requests::PlaceRequests;
use self::unsent_answers::UnsentAnswer;

/// A platform operation, and the controller that requested it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OpId {
    /// Requested by the lease controller, [`Leases`].
    Lease(LeaseOp),
    /// Requested by the configuration controller, [`Configs`].
    Config(ConfigOp),
    /// Requested by the programs controller, [`Programs`].
    Program(ProgramOp),
}

/// An input of [`Scheduler::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request to this host, with a key that was found valid.
    ///
    /// If the request opens a program and is not repeatable, the scheduler assigns the program id.
    Request {
        /// The request's id, never used before on this host.
        request: RequestId,
        /// The tenant of the key.
        tenant: TenantId,
        /// The key.
        key: KeyId,
        /// The content of the request.
        body: Request,
    },
    /// The caller of a request has disconnected.
    CallerGone(RequestId),
    /// A message from another host.
    Peer {
        /// The sender.
        from: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// The runtime could not queue a message for sending, so the message was not sent.
    SendFailed {
        /// The recipient.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// The connection to a host broke; the last messages may be lost.
    PeerDown(HostId),
    /// The platform answered an operation.
    Platform {
        /// The operation.
        op: OpId,
        /// The answer.
        reply: PlatformReply,
    },
    /// The platform's list of hosts, which lags behind the actual state.
    HostList(Vec<HostListing>),
    /// An attempt ended at its target.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A target reported its load.
    Load {
        /// The target.
        target: TargetId,
        /// The report.
        report: LoadReport,
    },
    /// A target reported that it evicted a program's prefix from its cache.
    Evicted {
        /// The target.
        target: TargetId,
        /// The program.
        program: ProgramId,
    },
    /// A target listed the programs for which it holds cached data.
    HeldPrograms {
        /// The target.
        target: TargetId,
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// An operator sent a request.
    Operator {
        /// The id of the operator's request.
        request_id: OperatorRequestId,
        /// The content of the request.
        request: OperatorRequest,
    },
    /// This host has to leave: it releases each of its leases as soon as the lease is not in use.
    Drain,
    /// The time returned by [`Scheduler::wake_at`] was reached.
    Wake,
}

/// An action that [`Scheduler::step`] asks the runtime to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a caller of this host.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        reply: Box<Reply>,
    },
    /// Send a message to another host.
    Send {
        /// The recipient.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// The address of another host is new or has changed.
    SetPeerAddress {
        /// The host.
        host: HostId,
        /// The address where it listens for peers.
        address: SocketAddr,
    },
    /// Run an operation on the platform.
    Platform {
        /// The operation's id, to be returned in [`Event::Platform`].
        op: OpId,
        /// The operation.
        request: PlatformOp,
    },
    /// Send an attempt to a target.
    Dispatch(Box<Dispatch>),
    /// Cancel an attempt; the runtime still reports how it ended.
    Cancel(AttemptId),
    /// Have the engines that served an ended program free what they hold for it.
    FreeProgram(ProgramId),
    /// Have one engine free what it holds for an ended program.
    FreeProgramAt {
        /// The engine.
        target: TargetId,
        /// The program.
        program: ProgramId,
    },
    /// Watch the load and the cache of exactly these engines.
    WatchEngines(Vec<TargetId>),
    /// This configuration is in force from now on.
    Adopted(Arc<Config>),
    /// This key is withdrawn from now on.
    KeyWithdrawn(KeyId),
    /// Answer an operator.
    OperatorAnswer {
        /// The id of the operator's request.
        request_id: OperatorRequestId,
        /// The answer.
        reply: Box<OperatorReply>,
    },
    /// This host has released all its leases, or its session has expired; the process may exit.
    ShutdownReady,
}

/// Settings of a [`Scheduler`].
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// The host's name.
    pub host: Box<str>,
    /// Its availability zone's name.
    pub zone: Box<str>,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// The number of this run of the process: seconds since 1970 in the upper half, so that a later
    /// run has a higher number, and random bits in the lower half.
    pub session: u64,
    /// The fleet's secret for sealing the turns that answers carry to callers before the platform
    /// has stored them.
    pub seal_key: [u8; 32],
    /// The intervals and timeouts of the host.
    pub times: SchedulerTimes,
    /// Parses and validates a configuration.
    pub read_config: ReadConfig,
    /// Serializes a configuration.
    pub write_config: WriteConfig,
}

/// The intervals and timeouts of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerTimes {
    /// The time after which a session expires if it is not renewed.
    pub session_lifetime: Duration,
    /// The interval between renewals of the session.
    pub session_renewal: Duration,
    /// The interval between reads of the lease and session tables.
    pub lease_poll: Duration,
    /// The interval between reads of the configuration's pointer row.
    pub config_poll: Duration,
    /// The interval between rounds of gossip.
    pub gossip_period: Duration,
    /// The suspicion timeout: a host without a new heartbeat for longer is considered silent.
    pub suspect_after: Duration,
    /// The interval between writes of the journal, during which entries are batched. It bounds this
    /// host's writes per second; an entry after an idle time is written at once.
    pub commit_interval: Duration,
}

impl Default for SchedulerTimes {
    /// Returns values that suit a fleet of about a dozen hosts.
    fn default() -> Self {
        Self {
            session_lifetime: Duration::from_secs(6),
            session_renewal: Duration::from_secs(2),
            lease_poll: Duration::from_secs(1),
            config_poll: Duration::from_secs(2),
            gossip_period: Duration::from_millis(500),
            suspect_after: Duration::from_millis(2_500),
            commit_interval: Duration::from_millis(30),
        }
    }
}

/// The number of peers that a host sends gossip to in each round.
const GOSSIP_FANOUT: usize = 3;

/// The control state of one host.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::scheduler::{Action, Event, Scheduler, SchedulerOptions, SchedulerTimes};
///
/// let mut scheduler = Scheduler::new(SchedulerOptions {
///     host: "a1".into(),
///     zone: "a".into(),
///     peer_address: "127.0.0.1:7000".parse().unwrap(),
///     session: 1,
///     seal_key: [0; 32],
///     times: SchedulerTimes::default(),
///     read_config: |_| Err("no configuration in this example".into()),
///     write_config: |_| Box::default(),
/// });
///
/// // A new host first asks the platform for the other hosts and the configuration in force.
/// let mut actions = Vec::new();
/// scheduler.step(Instant::from_millis(0), Event::Wake, &mut actions);
/// assert!(actions.iter().any(|action| matches!(action, Action::Platform { .. })));
/// assert!(scheduler.wake_at() > Instant::from_millis(0));
/// ```
#[derive(Debug)]
pub struct Scheduler {
    state: HostState,
    leases: Leases,
    configs: Configs,
    membership: Membership,
    programs: Programs,
    queues: Queues,
    slices: Slices,
    /// Unanswered requests of this host's callers, and the host that is to answer each.
    waiting_requests: Map<RequestId, WaitingRequest>,
    /// Answers that could not be sent and will be sent again.
    unsent_answers: Vec<UnsentAnswer>,
    /// Requests for places, sent to the hosts that run the queues.
    place_requests: PlaceRequests,
    /// Requests for a token of a tenant's rate, with the call that needs it.
    takes: Map<TakeId, CallId>,
    next_take: u64,
    /// Digests of requests that crash targets.
    quarantined: Set<Digest>,
    /// The engines whose load and cache this host watches.
    watched: Vec<TargetId>,
    /// For each engine, the position in its list of programs where the next check continues.
    sweep_positions: Map<TargetId, usize>,
    /// The number of programs opened here, used to generate ids.
    opened_programs: u64,
    session: u64,
    events: VecDeque<ControllerEvent>,
    /// For each host that promised not to end any session, the instant from which the promise
    /// counts, by this host's clock.
    promises: Map<HostId, Instant>,
    /// When the ownership of columns is next extended.
    next_extension: Instant,
    /// The number of gossip messages sent.
    gossip_count: usize,
    /// When each peer was last sent the whole configuration.
    config_sent_at: Map<HostId, Instant>,
    /// When the configuration in force was adopted.
    adopted_at: Instant,
}

/// An unanswered request of a caller.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    /// The host that it was forwarded to, or this host.
    home: HostId,
    /// Whether it may have taken effect if that host's answer is lost.
    may_run: bool,
    /// Whether it is a call: an earlier submission with the same idempotency key may have run.
    is_call: bool,
}

/// The maximum time between two wake-ups, so that silent hosts are noticed.
const MAX_SLEEP: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Creates the state of a host that has no configuration and knows no other hosts.
    pub fn new(options: SchedulerOptions) -> Self {
        let times = options.times;
        let me = HostId::from_name(&options.host);
        let zone = ZoneId::from_name(&options.zone);

        Self {
            state: HostState::new(&options.host, &options.zone),
            leases: Leases::new(LeaseOptions {
                host: options.host.clone(),
                zone: options.zone.clone(),
                peer_address: options.peer_address,
                session: options.session,
                lifetime: times.session_lifetime,
                renewal_interval: times.session_renewal,
                poll_interval: times.lease_poll,
            }),
            configs: Configs::new(ConfigOptions {
                read: options.read_config,
                write: options.write_config,
                poll_interval: times.config_poll,
            }),
            membership: Membership::new(MembershipOptions {
                name: options.host,
                zone: options.zone,
                peer_address: options.peer_address,
                session: options.session,
                gossip_interval: times.gossip_period,
                fanout: GOSSIP_FANOUT,
                suspect_after: times.suspect_after,
            }),
            programs: Programs::new(ProgramOptions {
                host: me,
                session: options.session,
                seal_key: options.seal_key,
                commit_interval: times.commit_interval,
            }),
            queues: Queues::new(QueueOptions { zone }),
            slices: Slices::new(SliceOptions {
                host: me,
                zone,
                session: options.session,
                times: Default::default(),
            }),
            waiting_requests: Map::default(),
            unsent_answers: Vec::new(),
            place_requests: PlaceRequests::default(),
            takes: Map::default(),
            next_take: 0,
            quarantined: Set::default(),
            watched: Vec::new(),
            sweep_positions: Map::default(),
            opened_programs: 0,
            session: options.session,
            events: VecDeque::new(),
            promises: Map::default(),
            next_extension: Instant::default(),
            gossip_count: 0,
            config_sent_at: Map::default(),
            adopted_at: Instant::default(),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.route_event(now, event, out);
        self.wake_controllers(now, out);
        self.run_controllers(now, out);
    }

    /// Returns when the next [`Event::Wake`] is due if no other event arrives earlier.
    pub fn wake_at(&self) -> Instant {
        let wakes = [
            self.leases.wake_at(),
            self.configs.wake_at(),
            Some(self.membership.wake_at()),
            self.programs.wake_at(),
            self.queues.wake_at(),
            self.slices.wake_at(),
            self.place_requests.wake_at(),
            self.next_resend(),
        ];

        wakes.into_iter().flatten().min().expect("membership always has a next time")
    }

    /// Returns the maximum time that a runtime should sleep.
    pub const fn max_sleep() -> Duration {
        MAX_SLEEP
    }

    /// Returns whether this host can serve: it has a configuration and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.state.config.is_some() && !self.state.leaving
    }

    /// Returns the state that the controllers share.
    pub fn state(&self) -> &HostState {
        &self.state
    }
}
