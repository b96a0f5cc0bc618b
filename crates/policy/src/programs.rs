//! Programs on their home host: call order, history, budget, and at-most-once execution of
//! calls that must not be repeated.
//!
//! Program ids are divided into partitions. The home host of a program is the host that holds
//! the lease of its partition; it records the program in the partition's journal, which the
//! next home host reads.

mod attempts;
mod budget;
mod calls;
mod checkpoint;
mod commits;
mod compaction;
mod config_index;
mod entries;
mod grant_release;
mod in_flight;
mod journal;
mod keys;
mod lifecycle;
mod open;
mod recovery;
mod refusals;
mod requests;
mod retry;
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
use self::compaction::{Compaction, DEFAULT_CHECKPOINT_THRESHOLD};
use self::config_index::ConfigIndex;
use self::journal::{JournalWriter, LeaseTerm};
use self::requests::IncomingRequest;
use self::retry::{RetryBudget, Suspects};
use self::state::{Call, Program, ProgramKey, ProgramState, Recovery};
use self::timers::{Timer, Timers};
use crate::shared_types::{AttemptOutcome, CallId, Dispatch, PlaceRelease, PlaceRequest, Verdict};

/// Identifies a platform operation whose reply [`Programs`] waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProgramOp(pub u64);

/// Input to the state machine of [`Programs`].
#[derive(Clone, Debug)]
pub enum ProgramEvent {
    /// A new configuration is in force.
    Config(Arc<Config>),
    /// This host acquired a partition's lease, or renewed it. After an acquisition it reads the
    /// partition's journal.
    Acquired {
        /// The leased partition.
        partition: PartitionId,
        /// The epoch of the lease; it increases with each new holder.
        epoch: Epoch,
        /// The version of the lease row; every journal write checks it.
        lease: RowVersion,
    },
    /// This host is about to release a partition. [`Programs`] journals the unspent part of each
    /// program family's budget grant as free; the partition is busy until those entries are
    /// durable.
    ReleaseGrants {
        /// The partition to be released.
        partition: PartitionId,
    },
    /// This host no longer holds a partition's lease.
    Lost {
        /// The partition that was lost.
        partition: PartitionId,
    },
    /// A caller sent a request for a program whose home may be this host.
    Request {
        /// Identifies the request in the answer.
        origin: RequestOrigin,
        /// The tenant that the API key belongs to.
        tenant: TenantId,
        /// The API key that the caller sent.
        key: KeyId,
        /// The request itself.
        request: Request,
    },
    /// A caller disconnected before it was answered.
    CallerGone {
        /// Identifies the caller's request.
        origin: RequestOrigin,
    },
    /// The result of [`ProgramAction::Admit`].
    Verdict {
        /// The call that asked for admission.
        call: CallId,
        /// Whether the tenant's rate admits the call.
        verdict: Verdict,
    },
    /// The result of [`ProgramAction::Place`]: the call has a place at this target.
    Placed {
        /// The call that was waiting for a place.
        call: CallId,
        /// The target where the call has a place.
        target: TargetId,
    },
    /// The result of [`ProgramAction::Place`]: the queue refused the call, because it is full or no
    /// target can serve the call in time.
    Unplaced {
        /// The call that was waiting for a place.
        call: CallId,
        /// How long to wait before a retry can succeed.
        retry_after: Duration,
    },
    /// An attempt at a target ended.
    Ended {
        /// The attempt that ended.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The reply to [`ProgramAction::Platform`].
    Platform {
        /// The operation that completed.
        op: ProgramOp,
        /// The platform's reply.
        reply: PlatformReply,
    },
    /// An API key was withdrawn. [`Programs`] refuses the callers that use it.
    KeyWithdrawn(KeyId),
    /// This host or another one quarantined the request with this digest because it crashes
    /// targets.
    Quarantined(Digest),
    /// A timer is due; see [`Programs::wake_at`].
    Wake,
}

/// An action that the caller of [`Programs::step`] must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ProgramAction {
    /// Answer a request; each request is answered exactly once.
    Answer {
        /// Identifies the request.
        origin: RequestOrigin,
        /// The answer to send.
        reply: Reply,
    },
    /// Check the tenant's rate for one more call; the result comes back as `Verdict`.
    Admit {
        /// The call to admit.
        call: CallId,
        /// The tenant whose rate applies.
        tenant: TenantId,
    },
    /// Request a place, the right to have one call in flight at a target, from the pool's queue.
    Place {
        /// The call that needs a place.
        call: CallId,
        /// The requirements of the call.
        request: PlaceRequest,
    },
    /// Release a place, or withdraw the request for one. Emitted exactly once for each `Place`
    /// that is not answered by `Unplaced`.
    ReleasePlace {
        /// The call that held or requested the place.
        call: CallId,
        /// How the place was used.
        release: PlaceRelease,
    },
    /// Send an attempt to a target.
    Dispatch(Dispatch),
    /// Cancel an attempt. Its end is still reported as [`ProgramEvent::Ended`].
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Run an operation on the platform.
    Platform {
        /// The number that the reply must carry.
        op: ProgramOp,
        /// The operation to run.
        request: PlatformOp,
    },
    /// A program ended. Engines can free what they hold for it.
    ProgramEnded {
        /// The program that ended.
        program: ProgramId,
    },
    /// Announce to all hosts that the request with this digest crashes targets.
    Quarantine {
        /// The digest of the request; see `request_digest` in the `retry` module.
        digest: Digest,
    },
    /// The platform rejected a journal write because another host took the partition's lease.
    /// This host is no longer the partition's home, even if the lease looks valid by its own
    /// clock.
    Fenced {
        /// The partition that was lost.
        partition: PartitionId,
        /// The epoch of the lease that this host held.
        epoch: Epoch,
    },
}

/// Settings of [`Programs`].
#[derive(Clone, Debug)]
pub struct ProgramOptions {
    /// The host that this state machine runs on.
    pub host: HostId,
    /// The number that identifies this run of the process; attempt ids contain it.
    pub session: u64,
    /// The fleet-wide secret that seals turns which are not stored yet.
    pub seal_key: [u8; 32],
    /// The minimum time between two transactions, in which journal entries are collected.
    pub commit_interval: Duration,
}

/// State machine of all programs whose home is this host.
#[derive(Debug)]
pub struct Programs {
    /// The settings passed to [`Programs::new`].
    options: ProgramOptions,
    /// The configuration in force, once one has arrived.
    cfg: Option<ConfigIndex>,
    /// Partitions whose journal was read completely; requests for them are served.
    terms: BTreeMap<PartitionId, LeaseTerm>,
    /// Partitions whose journal is being read.
    recovering: BTreeMap<PartitionId, Recovery>,
    /// Reads in progress, each with its partition and lease term.
    reads: Map<ProgramOp, (PartitionId, u64)>,
    /// Writes of checkpoint objects in progress, each with its partition.
    object_writes: Map<ProgramOp, PartitionId>,
    /// Partitions that are about to be released: their unspent grants are journaled as free
    /// whenever the partition is idle.
    releasing_grants: BTreeSet<PartitionId>,
    /// Journal growth and checkpoint state of each partition.
    compactions: BTreeMap<PartitionId, Compaction>,
    /// Journal bytes after which a partition gets a new checkpoint.
    checkpoint_threshold: usize,
    /// The commit in progress.
    commit_op: Option<ProgramOp>,
    /// All programs, including orphans: programs whose partition this host lost while one of
    /// their calls was running.
    programs: SlotMap<ProgramKey, Program>,
    /// Programs by id, excluding orphans.
    index: BTreeMap<ProgramId, ProgramKey>,
    /// Budget accounts, one for each family of programs.
    accounts: SlotMap<AccountKey, Account>,
    /// Calls in progress.
    calls: SlotMap<CallId, Call>,
    /// The call of each attempt that was sent and has not ended.
    attempts: Map<AttemptId, CallId>,
    /// The call that each caller is waiting for.
    calls_by_origin: Map<RequestOrigin, CallId>,
    /// Journal entries that are not durable yet.
    journal: JournalWriter,
    /// Pending timers.
    timers: Timers,
    /// Limits retries to a fraction of first attempts.
    retries: RetryBudget,
    /// Requests that may have crashed targets, and those that are quarantined.
    suspects: Suspects,
    /// The id of the most recent lease term.
    last_term: u64,
    /// The number of the most recent platform operation.
    last_op: u64,
    /// The number of the most recent attempt.
    last_attempt: u64,
}

/// Context of one step.
struct StepContext<'a> {
    /// The current time.
    now: Instant,
    /// Receives the actions to carry out.
    out: &'a mut Vec<ProgramAction>,
}

impl Programs {
    /// Creates a state machine that is home of no partitions.
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
            journal: JournalWriter::new(options.session, options.commit_interval),
            options,
            cfg: None,
            terms: BTreeMap::new(),
            recovering: BTreeMap::new(),
            reads: Map::default(),
            object_writes: Map::default(),
            releasing_grants: BTreeSet::new(),
            compactions: BTreeMap::new(),
            checkpoint_threshold: DEFAULT_CHECKPOINT_THRESHOLD,
            commit_op: None,
            programs: SlotMap::with_key(),
            index: BTreeMap::new(),
            accounts: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            attempts: Map::default(),
            calls_by_origin: Map::default(),
            timers: Timers::default(),
            retries: RetryBudget::new(),
            suspects: Suspects::default(),
            last_term: 0,
            last_op: 0,
            last_attempt: 0,
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
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
    /// let origin = RequestOrigin { entry: HostId::from_name("a1"), request: RequestId(1) };
    /// let event = ProgramEvent::Request {
    ///     origin,
    ///     tenant: TenantId::from_name("inkwick"),
    ///     key: KeyId::from_name("front-desk"),
    ///     request: Request::View { program: ProgramId(7) },
    /// };
    /// let mut out = Vec::new();
    /// Programs::new(options).step(Instant::from_millis(5), event, &mut out);
    ///
    /// // This host is not the home of any partition yet.
    /// assert!(matches!(out[..], [ProgramAction::Answer { .. }]));
    /// ```
    pub fn step(&mut self, now: Instant, event: ProgramEvent, out: &mut Vec<ProgramAction>) {
        let cx = &mut StepContext { now, out };

        // Timers run before the event. A host that was paused past a deadline must not act on
        // an older event as if there were time left: it could send a call whose caller was
        // already refused.
        self.run_timers(cx);

        match event {
            ProgramEvent::Config(cfg) => {
                self.cfg = Some(ConfigIndex::new(cfg));
                self.start_unblocked_reads(cx);
            }
            ProgramEvent::Acquired { partition, epoch, lease } => {
                self.lease_acquired(cx, partition, epoch, lease);
            }
            ProgramEvent::ReleaseGrants { partition } => self.start_grant_release(partition),
            ProgramEvent::Lost { partition } => self.partition_lost(cx, partition),
            ProgramEvent::Request { origin, tenant, key, request } => {
                self.request(cx, IncomingRequest { origin, tenant, key, request });
            }
            ProgramEvent::CallerGone { origin } => self.caller_gone(cx, origin),
            ProgramEvent::Verdict { call, verdict } => self.on_admission(cx, call, verdict),
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

        self.release_idle_grants();
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

    /// Returns the partitions that have calls in progress or entries that are not durable yet.
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

    /// Returns whether any call is in progress on this host.
    pub fn has_calls(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Returns whether a program is open, or `None` if this host is not its home or has not
    /// finished reading the journal of its partition.
    pub fn is_open(&self, program: ProgramId) -> Option<bool> {
        let partition = self.cfg.as_ref()?.partition(program);
        self.terms.get(&partition)?;
        let open = |key: &ProgramKey| self.programs[*key].state == ProgramState::Open;

        Some(self.index.get(&program).is_some_and(open))
    }

    /// Returns the programs that are open on this host.
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

    /// Emits the answer to a request.
    fn answer(&mut self, cx: &mut StepContext<'_>, origin: RequestOrigin, reply: Reply) {
        self.calls_by_origin.remove(&origin);
        cx.out.push(ProgramAction::Answer { origin, reply });
    }

    /// Answers a request with a refusal.
    fn refuse(&mut self, cx: &mut StepContext<'_>, origin: RequestOrigin, refusal: Refusal) {
        self.answer(cx, origin, Reply::Refused(refusal));
    }

    /// Starts a platform operation and returns its number.
    fn platform(&mut self, cx: &mut StepContext<'_>, request: PlatformOp) -> ProgramOp {
        self.last_op += 1;
        let op = ProgramOp(self.last_op);
        cx.out.push(ProgramAction::Platform { op, request });

        op
    }

    /// Handles all timers that are due.
    fn run_timers(&mut self, cx: &mut StepContext<'_>) {
        while let Some(timer) = self.timers.take_due(cx.now) {
            match timer {
                Timer::Call(call) => self.stage_timed_out(cx, call),
                Timer::Program(program) => self.program_due(cx, program),
                Timer::Partition(partition) => self.recovery_due(cx, partition),
            }
        }
    }
}
