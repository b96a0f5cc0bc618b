//! Programs at their home: order, history, budget, and at most one run of what may not be
//! repeated.

use std::sync::Arc;

use camphorwalk_core::calls::{Reply, Request};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Digest;
use camphorwalk_core::ids::{
    AttemptId, Epoch, HostId, KeyId, PartitionId, ProgramId, TargetId, TenantId, Ticket,
};
use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowVersion};
use camphorwalk_core::time::Instant;
use std::time::Duration;

use crate::wire::{AttemptEnd, CallId, Dispatch, PlaceEnd, PlaceRequest, Verdict};

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
    /// This host no longer holds a partition.
    Lost {
        /// The partition.
        partition: PartitionId,
    },
    /// A request for a program whose home this host is.
    Request {
        /// Where the answer goes.
        ticket: Ticket,
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
        ticket: Ticket,
    },
    /// The answer to [`ProgramNext::Admit`].
    Verdict {
        /// The call.
        call: CallId,
        /// The answer.
        verdict: Verdict,
    },
    /// The answer to [`ProgramNext::Place`]: the call may go to this target.
    Placed {
        /// The call.
        call: CallId,
        /// The target.
        target: TargetId,
    },
    /// The answer to [`ProgramNext::Place`]: it cannot be served in time.
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
        end: AttemptEnd,
    },
    /// The platform answered [`ProgramNext::Platform`].
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
pub enum ProgramNext {
    /// Answer a request, once and for all.
    Answer {
        /// The request.
        ticket: Ticket,
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
    Vacate {
        /// The call.
        call: CallId,
        /// How the place was used.
        end: PlaceEnd,
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
    Over {
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
pub struct Programs {}

impl Programs {
    /// Makes the home of no partitions.
    pub fn new(_options: ProgramOptions) -> Self {
        Self {}
    }

    /// Takes in an event and appends what to do next to `out`.
    pub fn step(&mut self, _now: Instant, _event: ProgramEvent, _out: &mut Vec<ProgramNext>) {}

    /// Returns when [`ProgramEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        None
    }

    /// Returns the partitions that have calls under way.
    pub fn busy_partitions(&self) -> camphorwalk_core::hash::Set<PartitionId> {
        Default::default()
    }

    /// Returns the programs that are open here.
    pub fn open_programs(&self) -> impl Iterator<Item = ProgramId> + '_ {
        std::iter::empty()
    }
}
