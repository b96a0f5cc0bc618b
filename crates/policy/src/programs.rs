//! Programs at their home: order, history, budget, and at most one run of what may not be
//! repeated.

mod answers;
mod attempts;
mod budget;
mod calls;
mod checkpoint;
mod commits;
mod compaction;
mod entries;
mod flight;
mod journal;
mod keys;
mod lifecycle;
mod lookup;
mod open;
mod recovery;
mod requests;
mod retry;
mod settle;
mod state;
mod steps;
mod tail;
mod timers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::calls::{Refusal, Reply, Request};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::{Digest, Map, Set};
use camphorwalk_core::ids::{
    AttemptId, Epoch, HostId, KeyId, PartitionId, ProgramId, RequestOrigin, TargetId, TenantId,
};
use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowVersion};
use camphorwalk_core::time::Instant;
use slotmap::SlotMap;

use self::budget::{Account, AccountKey};
use self::compaction::{CHECKPOINT_BYTES, Compaction};
use self::journal::{Journal, Tenure};
use self::lookup::Lookup;
use self::requests::Asked;
use self::retry::{RetryBudget, Suspects};
use self::state::{Call, Program, ProgramKey, ProgramState, Recovering};
use self::timers::{Timer, Timers};
use crate::shared_types::{AttemptOutcome, CallId, Dispatch, PlaceRelease, PlaceRequest, Verdict};

/// A platform operation that the programs wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProgramOp(pub u64);

/// Something that happened, as far as programs mind.
#[derive(Clone, Debug)]
pub enum ProgramEvent {
    /// This configuration is in force from now on.
    Config(Arc<Config>),
    /// This host now holds a partition's lease: its journal is to be read.
    Acquired {
        /// The partition.
        partition: PartitionId,
        /// The epoch of the lease.
        epoch: Epoch,
        /// The version of the lease row, which every journal write checks.
        lease: RowVersion,
    },
    /// A partition is about to be given back: what its families were granted and have not
    /// spent is to be journaled as free. It is busy until that is durable.
    ReleaseGrants {
        /// The partition.
        partition: PartitionId,
    },
    /// This host no longer holds a partition.
    Lost {
        /// The partition.
        partition: PartitionId,
    },
    /// A request for a program whose home this host is.
    Request {
        /// Where the answer goes.
        ticket: RequestOrigin,
        /// The tenant whose key came with it.
        tenant: TenantId,
        /// That key.
        key: KeyId,
        /// What it asks.
        request: Request,
    },
    /// The caller of a request is gone.
    CallerGone {
        /// The request.
        ticket: RequestOrigin,
    },
    /// The answer to [`ProgramAction::Admit`].
    Verdict {
        /// The call.
        call: CallId,
        /// The answer.
        verdict: Verdict,
    },
    /// The answer to [`ProgramAction::Place`]: the call may go to this target.
    Placed {
        /// The call.
        call: CallId,
        /// The target.
        target: TargetId,
    },
    /// The answer to [`ProgramAction::Place`]: it cannot be served in time.
    Unplaced {
        /// The call.
        call: CallId,
        /// When a later try can help.
        retry_after: Duration,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// The platform answered [`ProgramAction::Platform`].
    Platform {
        /// The operation.
        op: ProgramOp,
        /// The answer.
        reply: PlatformReply,
    },
    /// A key was withdrawn: its calls that wait or stream are ended.
    KeyWithdrawn(KeyId),
    /// Another host found that the request with this digest crashes targets.
    Quarantined(Digest),
    /// Time has passed; see [`Programs::wake_at`].
    Wake,
}

/// What to do next for a program.
#[derive(Clone, Debug, PartialEq)]
pub enum ProgramAction {
    /// Answer a request, once and for all.
    Answer {
        /// The request.
        ticket: RequestOrigin,
        /// The answer.
        reply: Reply,
    },
    /// Ask whether the tenant may make one more call.
    Admit {
        /// The call.
        call: CallId,
        /// The tenant.
        tenant: TenantId,
    },
    /// Ask the pool's queue for a place at a target.
    Place {
        /// The call.
        call: CallId,
        /// What it asks.
        request: PlaceRequest,
    },
    /// Give a place back, or withdraw the question for one. Said once for each `Place`
    /// that was not answered by `Unplaced`.
    ReleasePlace {
        /// The call.
        call: CallId,
        /// How the place was used.
        end: PlaceRelease,
    },
    /// Send an attempt to a target.
    Dispatch(Dispatch),
    /// Cancel an attempt; its end is still told.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Run an operation on the platform.
    Platform {
        /// The number to answer with.
        op: ProgramOp,
        /// The operation.
        request: PlatformOp,
    },
    /// A program is over: what engines hold for it is to be freed.
    ProgramEnded {
        /// The program.
        program: ProgramId,
    },
    /// Tell every host that the request with this digest crashes targets.
    Quarantine {
        /// The digest of the request.
        digest: Digest,
    },
    /// The platform refused a journal write because another host took the partition's
    /// lease: this host is not its home any more, whatever its own clock says.
    Fenced {
        /// The partition.
        partition: PartitionId,
        /// The epoch that this host held.
        epoch: Epoch,
    },
}

/// Settings of [`Programs`].
#[derive(Clone, Debug)]
pub struct ProgramOptions {
    /// The host this runs on.
    pub host: HostId,
    /// A random number of this run of the process; attempts are numbered within it.
    pub session: u64,
    /// The fleet's secret that seals turns which are not stored yet.
    pub seal_key: [u8; 32],
    /// How long entries gather before they are written together.
    pub commit_interval: Duration,
}

/// The programs whose home this host is.
#[derive(Debug)]
pub struct Programs {
    /// The settings.
    options: ProgramOptions,
    /// The configuration in force, once there is one.
    cfg: Option<Lookup>,
    /// The partitions whose journal is read.
    tenures: BTreeMap<PartitionId, Tenure>,
    /// The partitions whose journal is being read.
    recovering: BTreeMap<PartitionId, Recovering>,
    /// The reads under way.
    scans: Map<ProgramOp, (PartitionId, u64)>,
    /// The objects being written.
    puts: Map<ProgramOp, PartitionId>,
    /// The partitions whose grants are journaled as free whenever nothing is under way.
    settling: BTreeSet<PartitionId>,
    /// How the journals have grown.
    compactions: BTreeMap<PartitionId, Compaction>,
    /// The bytes of journal rows after which a checkpoint is made.
    checkpoint_bytes: usize,
    /// The write under way.
    writing: Option<ProgramOp>,
    /// The programs, orphans included.
    programs: SlotMap<ProgramKey, Program>,
    /// The programs by id, without orphans.
    index: BTreeMap<ProgramId, ProgramKey>,
    /// The budgets.
    accounts: SlotMap<AccountKey, Account>,
    /// The calls under way.
    calls: SlotMap<CallId, Call>,
    /// The call of each attempt that was sent.
    attempts: Map<AttemptId, CallId>,
    /// The call that each caller waits for.
    tickets: Map<RequestOrigin, CallId>,
    /// Entries on their way to the platform.
    journal: Journal,
    /// What is due when.
    timers: Timers,
    /// The retries that may be made.
    retries: RetryBudget,
    /// The requests that crash targets.
    suspects: Suspects,
    /// The number of the last tenure of a partition.
    last_tenure: u64,
    /// The number of the last platform operation.
    last_op: u64,
    /// The number of the last attempt.
    last_attempt: u64,
}

/// What a step reads and writes besides the state.
struct Cx<'a> {
    /// The time of the step.
    now: Instant,
    /// What to do next.
    out: &'a mut Vec<ProgramAction>,
}

impl Programs {
    /// Makes the home of no partitions.
    ///
    /// ```
    /// use camphorwalk_core::ids::HostId;
    /// use camphorwalk_policy::programs::{ProgramOptions, Programs};
    ///
    /// let options = ProgramOptions {
    ///     host: HostId::from_name("a1"),
    ///     session: 1,
    ///     seal_key: [7; 32],
    ///     commit_interval: std::time::Duration::from_millis(10),
    /// };
    /// assert_eq!(Programs::new(options).open_programs().count(), 0);
    /// ```
    pub fn new(options: ProgramOptions) -> Self {
        Self {
            journal: Journal::new(options.session, options.commit_interval),
            options,
            cfg: None,
            tenures: BTreeMap::new(),
            recovering: BTreeMap::new(),
            scans: Map::default(),
            puts: Map::default(),
            settling: BTreeSet::new(),
            compactions: BTreeMap::new(),
            checkpoint_bytes: CHECKPOINT_BYTES,
            writing: None,
            programs: SlotMap::with_key(),
            index: BTreeMap::new(),
            accounts: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            attempts: Map::default(),
            tickets: Map::default(),
            timers: Timers::default(),
            retries: RetryBudget::new(),
            suspects: Suspects::default(),
            last_tenure: 0,
            last_op: 0,
            last_attempt: 0,
        }
    }

    /// Takes in an event and appends what to do next to `out`.
    ///
    /// ```
    /// # use camphorwalk_core::ids::HostId;
    /// # use camphorwalk_policy::programs::{ProgramOptions, Programs};
    /// # let options = ProgramOptions {
    /// #     host: HostId::from_name("a1"),
    /// #     session: 1,
    /// #     seal_key: [7; 32],
    /// #     commit_interval: std::time::Duration::from_millis(10),
    /// # };
    /// use camphorwalk_core::calls::Request;
    /// use camphorwalk_core::ids::{KeyId, ProgramId, RequestId, TenantId, RequestOrigin};
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::programs::{ProgramEvent, ProgramAction};
    ///
    /// let ticket = RequestOrigin { entry: HostId::from_name("a1"), request: RequestId(1) };
    /// let event = ProgramEvent::Request {
    ///     ticket,
    ///     tenant: TenantId::from_name("inkwick"),
    ///     key: KeyId::from_name("front-desk"),
    ///     request: Request::View { program: ProgramId(7) },
    /// };
    /// let mut out = Vec::new();
    /// Programs::new(options).step(Instant::from_millis(5), event, &mut out);
    ///
    /// // This host is home of nothing yet.
    /// assert!(matches!(out[..], [ProgramAction::Answer { .. }]));
    /// ```
    pub fn step(&mut self, now: Instant, event: ProgramEvent, out: &mut Vec<ProgramAction>) {
        let cx = &mut Cx { now, out };

        // First: a host that was paused past a deadline must not act on an older event as if
        // there were time left, for example send a call whose caller was promised an answer.
        self.run_timers(cx);

        match event {
            ProgramEvent::Config(cfg) => {
                self.cfg = Some(Lookup::new(cfg));
                self.read_unblocked(cx);
            }
            ProgramEvent::Acquired { partition, epoch, lease } => {
                self.acquired(cx, partition, epoch, lease);
            }
            ProgramEvent::ReleaseGrants { partition } => self.settle_partition(partition),
            ProgramEvent::Lost { partition } => self.lost(cx, partition),
            ProgramEvent::Request { ticket, tenant, key, request } => {
                self.request(cx, Asked { ticket, tenant, key, request });
            }
            ProgramEvent::CallerGone { ticket } => self.caller_gone(cx, ticket),
            ProgramEvent::Verdict { call, verdict } => self.on_verdict(cx, call, verdict),
            ProgramEvent::Placed { call, target } => self.on_placed(cx, call, target),
            ProgramEvent::Unplaced { call, retry_after } => {
                self.on_unplaced(cx, call, retry_after);
            }
            ProgramEvent::Ended { attempt, outcome } => self.on_ended(cx, attempt, outcome),
            ProgramEvent::Platform { op, reply } => self.on_platform(cx, op, reply),
            ProgramEvent::KeyWithdrawn(key) => self.key_withdrawn(cx, key),
            ProgramEvent::Quarantined(digest) => self.suspects.quarantine(digest),
            ProgramEvent::Wake => {}
        }

        self.settle_idle();
        self.flush(cx);
    }

    /// Returns when [`ProgramEvent::Wake`] is due.
    ///
    /// ```
    /// # use camphorwalk_core::ids::HostId;
    /// # use camphorwalk_policy::programs::{ProgramOptions, Programs};
    /// # let options = ProgramOptions {
    /// #     host: HostId::from_name("a1"),
    /// #     session: 1,
    /// #     seal_key: [7; 32],
    /// #     commit_interval: std::time::Duration::from_millis(10),
    /// # };
    /// assert_eq!(Programs::new(options).wake_at(), None);
    /// ```
    pub fn wake_at(&self) -> Option<Instant> {
        [self.timers.next_at(), self.journal.wake_at()].into_iter().flatten().min()
    }

    /// Returns the partitions that have calls under way, or entries on the way to the
    /// platform.
    ///
    /// ```
    /// # use camphorwalk_core::ids::HostId;
    /// # use camphorwalk_policy::programs::{ProgramOptions, Programs};
    /// # let options = ProgramOptions {
    /// #     host: HostId::from_name("a1"),
    /// #     session: 1,
    /// #     seal_key: [7; 32],
    /// #     commit_interval: std::time::Duration::from_millis(10),
    /// # };
    /// assert!(Programs::new(options).busy_partitions().is_empty());
    /// ```
    pub fn busy_partitions(&self) -> Set<PartitionId> {
        let calls = self.calls.values().map(|call| self.programs[call.program].partition);

        calls.chain(self.journal.partitions()).collect()
    }

    /// Returns whether any call is under way here.
    pub fn has_calls(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Returns whether a program is open, or `None` if this host is not its home or has not
    /// read its journal to the end.
    pub fn is_open(&self, program: ProgramId) -> Option<bool> {
        let partition = self.cfg.as_ref()?.partition(program);
        self.tenures.get(&partition)?;
        let open = |key: &ProgramKey| self.programs[*key].state == ProgramState::Open;

        Some(self.index.get(&program).is_some_and(open))
    }

    /// Returns the programs that are open here.
    ///
    /// ```
    /// # use camphorwalk_core::ids::HostId;
    /// # use camphorwalk_policy::programs::{ProgramOptions, Programs};
    /// # let options = ProgramOptions {
    /// #     host: HostId::from_name("a1"),
    /// #     session: 1,
    /// #     seal_key: [7; 32],
    /// #     commit_interval: std::time::Duration::from_millis(10),
    /// # };
    /// assert_eq!(Programs::new(options).open_programs().next(), None);
    /// ```
    pub fn open_programs(&self) -> impl Iterator<Item = ProgramId> + '_ {
        self.index
            .iter()
            .filter(|(_, key)| self.programs[**key].state == ProgramState::Open)
            .map(|(id, _)| *id)
    }

    /// Answers a request.
    fn answer(&mut self, cx: &mut Cx<'_>, ticket: RequestOrigin, reply: Reply) {
        self.tickets.remove(&ticket);
        cx.out.push(ProgramAction::Answer { ticket, reply });
    }

    /// Refuses a request.
    fn refuse(&mut self, cx: &mut Cx<'_>, ticket: RequestOrigin, refusal: Refusal) {
        self.answer(cx, ticket, Reply::Refused(refusal));
    }

    /// Runs an operation on the platform and returns its number.
    fn platform(&mut self, cx: &mut Cx<'_>, request: PlatformOp) -> ProgramOp {
        self.last_op += 1;
        let op = ProgramOp(self.last_op);
        cx.out.push(ProgramAction::Platform { op, request });

        op
    }

    /// Runs what is due.
    fn run_timers(&mut self, cx: &mut Cx<'_>) {
        while let Some(timer) = self.timers.take_due(cx.now) {
            match timer {
                Timer::Call(call) => self.stage_timed_out(cx, call),
                Timer::Program(program) => self.program_due(cx, program),
                Timer::Partition(partition) => self.recovery_due(cx, partition),
            }
        }
    }
}
