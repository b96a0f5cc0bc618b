//! One host's whole control state, driven event by event.
//!
//! [`Scheduler`] composes the controllers: it hands each event to the one it is for, and
//! turns what a controller wants next into an event for another or an [`Action`] for the
//! runtime. It does no I/O and reads no clock, so a bench can run many of them against each
//! other in virtual time.

mod asks;
mod entry;
mod extension;
mod gossip;
mod late;
mod operators;
mod sweep;
mod work;

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

use self::asks::Asks;
use self::late::LateAnswer;
pub use self::operators::{HostStatus, OperatorReply, OperatorRequest, Status};
use self::work::Work;

/// A platform operation that some controller waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OpId {
    /// The leases wait for it.
    Lease(LeaseOp),
    /// The configuration waits for it.
    Config(ConfigOp),
    /// The programs wait for it.
    Program(ProgramOp),
}

/// Something that happened to this host.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller of this host asks something, with a key that was found good.
    ///
    /// An opening that is not repeatable gets its program id here.
    Request {
        /// The request, by a number never used before on this host.
        request: RequestId,
        /// The tenant of the key.
        tenant: TenantId,
        /// The key.
        key: KeyId,
        /// What is asked.
        body: Request,
    },
    /// The caller of a request is gone.
    CallerGone(RequestId),
    /// A message from another host.
    Peer {
        /// The sender.
        from: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// A message could not even be queued for sending.
    SendFailed {
        /// The receiver.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// The connection to a host broke: what was sent last may be lost.
    PeerDown(HostId),
    /// The platform answered.
    Platform {
        /// The operation.
        op: OpId,
        /// The answer.
        reply: PlatformReply,
    },
    /// The platform's lagging list of hosts.
    HostList(Vec<HostListing>),
    /// An attempt ended at its target.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// A target reported its load.
    Load {
        /// The target.
        target: TargetId,
        /// The report.
        report: LoadReport,
    },
    /// A target reported that it dropped a program's prefix.
    Evicted {
        /// The target.
        target: TargetId,
        /// The program.
        program: ProgramId,
    },
    /// A target said which programs it holds something for.
    HeldPrograms {
        /// The target.
        target: TargetId,
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// An operator asks something.
    Operator {
        /// The question.
        request_id: OperatorRequestId,
        /// What is asked.
        request: OperatorRequest,
    },
    /// This host is to leave: it hands back what it holds as soon as that is idle.
    Drain,
    /// Time has passed; see [`Scheduler::wake_at`].
    Wake,
}

/// What the runtime is to do.
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
        /// The receiver.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// Another host is reached here from now on.
    SetPeerAddress {
        /// The host.
        host: HostId,
        /// Where it listens for peers.
        address: SocketAddr,
    },
    /// Run an operation on the platform.
    Platform {
        /// The number to answer with.
        op: OpId,
        /// The operation.
        request: PlatformOp,
    },
    /// Send an attempt to a target.
    Dispatch(Box<Dispatch>),
    /// Cancel an attempt; its end is still to be told.
    Cancel(AttemptId),
    /// Have engines free what they hold for a program that is over.
    FreeProgram(ProgramId),
    /// Have one engine free what it holds for a program that is over.
    FreeProgramAt {
        /// The engine.
        target: TargetId,
        /// The program.
        program: ProgramId,
    },
    /// Watch the load and the cache of these engines, and of no others.
    WatchEngines(Vec<TargetId>),
    /// This configuration is in force from now on.
    Adopted(Arc<Config>),
    /// This key is withdrawn from now on.
    KeyWithdrawn(KeyId),
    /// Answer an operator.
    OperatorAnswer {
        /// The question.
        request_id: OperatorRequestId,
        /// The answer.
        reply: Box<OperatorReply>,
    },
    /// All is handed back; the process may exit.
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
    /// The number of this run of the process: seconds since 1970 in the upper half, so that
    /// a later run has a higher one, random bits in the lower.
    pub session: u64,
    /// The fleet's secret that seals turns which are not stored yet.
    pub seal_key: [u8; 32],
    /// The times it works with.
    pub times: SchedulerTimes,
    /// Reads and checks a configuration.
    pub read_config: ReadConfig,
    /// Writes a configuration.
    pub write_config: WriteConfig,
}

/// The times that a host works with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerTimes {
    /// The lifetime of a session that is not renewed.
    pub session_lifetime: Duration,
    /// How often a session is renewed.
    pub session_renewal: Duration,
    /// How often the tables of leases are read.
    pub lease_poll: Duration,
    /// How often the configuration's pointer row is read.
    pub config_poll: Duration,
    /// How often a host gossips.
    pub gossip_period: Duration,
    /// How long a host may be silent before it counts as gone.
    pub suspect_after: Duration,
    /// The time from one write of the journal to the next, in which entries gather. It bounds
    /// this host's writes a second; an entry after an idle time is written at once.
    pub commit_interval: Duration,
}

impl Default for SchedulerTimes {
    /// Returns times that suit a dozen hosts.
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

/// The number of peers that a host gossips with in each period.
const GOSSIP_FANOUT: usize = 3;

/// The whole control state of one host.
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
/// // A host that starts first asks the platform who else is there and what is in force.
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
    /// Requests of this host's callers that are not answered yet, and who answers them.
    waiting: Map<RequestId, Waiting>,
    /// Answers that could not be sent yet.
    late: Vec<LateAnswer>,
    /// Questions to the hosts that keep queues.
    asks: Asks,
    /// Questions for a token, by the call that asks.
    takes: Map<TakeId, CallId>,
    next_take: u64,
    /// Digests of requests that bring targets down.
    quarantined: Set<Digest>,
    /// The engines that this host watches.
    watched: Vec<TargetId>,
    /// How far the last look at each engine's list of programs came.
    held_turns: Map<TargetId, usize>,
    /// Counts the programs that were opened here, for their ids.
    opened: u64,
    session: u64,
    work: VecDeque<Work>,
    /// Since when each host's promise to end no session counts, by this host's clock.
    promises: Map<HostId, Instant>,
    /// When columns are to be extended next.
    next_extension: Instant,
    /// Counts the messages of gossip.
    gossiped: usize,
    /// When each peer was last sent the whole configuration.
    sent_config: Map<HostId, Instant>,
    /// When the configuration in force was adopted.
    adopted_at: Instant,
}

/// A caller's request that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// The host that it was passed on to.
    home: HostId,
    /// Whether it may have run if that host's answer is lost.
    may_run: bool,
    /// Whether it is a call, so that an earlier submission of its key may have run.
    is_call: bool,
}

/// The longest time between two wakes, so that silence of others is noticed.
const LONGEST_SLEEP: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Makes a host that knows of nothing yet.
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
                renewal: times.session_renewal,
                poll: times.lease_poll,
            }),
            configs: Configs::new(ConfigOptions {
                read: options.read_config,
                write: options.write_config,
                poll: times.config_poll,
            }),
            membership: Membership::new(MembershipOptions {
                name: options.host,
                zone: options.zone,
                peer_address: options.peer_address,
                session: options.session,
                period: times.gossip_period,
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
            waiting: Map::default(),
            late: Vec::new(),
            asks: Asks::default(),
            takes: Map::default(),
            next_take: 0,
            quarantined: Set::default(),
            watched: Vec::new(),
            held_turns: Map::default(),
            opened: 0,
            session: options.session,
            work: VecDeque::new(),
            promises: Map::default(),
            next_extension: Instant::default(),
            gossiped: 0,
            sent_config: Map::default(),
            adopted_at: Instant::default(),
        }
    }

    /// Takes in an event and appends what is to be done to `out`.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.take_in(now, event, out);
        self.wake_controllers(now, out);
        self.finish_work(now, out);
    }

    /// Returns when [`Event::Wake`] is due, should nothing else happen before.
    pub fn wake_at(&self) -> Instant {
        let wakes = [
            self.leases.wake_at(),
            self.configs.wake_at(),
            Some(self.membership.wake_at()),
            self.programs.wake_at(),
            self.queues.wake_at(),
            self.slices.wake_at(),
            self.asks.wake_at(),
            self.late_at(),
        ];

        wakes.into_iter().flatten().min().expect("membership always has a next time")
    }

    /// Returns the longest time that a runtime should sleep.
    pub const fn max_sleep() -> Duration {
        LONGEST_SLEEP
    }

    /// Returns whether this host has a configuration and so can serve.
    pub fn is_ready(&self) -> bool {
        self.state.config.is_some() && !self.state.leaving
    }

    /// Returns what the controllers know together.
    pub fn state(&self) -> &HostState {
        &self.state
    }
}
