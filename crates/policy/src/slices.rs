//! Rates and bursts over the whole fleet, cut into slices that one host at a time uses.

mod bucket;
mod split;

use std::sync::Arc;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{HostId, TenantId, ZoneId};
use camphorwalk_core::messages::slices::SliceMessage;
use camphorwalk_core::time::Instant;

use crate::wire::Verdict;

pub use bucket::{Bucket, Share, TOKEN, Taken, take};
pub use split::{columns, rate_of, share, split};

/// A question whether a tenant may make one more call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TakeId(pub u64);

/// A column: the slice with this number of every tenant. The unit of ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ColumnId(pub u16);

/// A host as slices see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceHost {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Something that happened, as far as slices mind.
#[derive(Clone, Debug)]
pub enum SliceEvent {
    /// This configuration is in force from now on.
    Config(Arc<Config>),
    /// These hosts, this one included, are alive and can be reached, as far as it is known.
    Hosts(Vec<SliceHost>),
    /// This host owns a column until an instant of its own clock, unless renewed.
    ///
    /// The instant already leaves out the margin for drifting clocks. `fresh` says that the
    /// column came from another owner (or this host's own past): its slices begin at level
    /// zero and may still be lent out by the former owner for one more loan's lifetime.
    Owned {
        /// The column.
        column: ColumnId,
        /// Until when.
        until: Instant,
        /// Whether ownership is new, not a renewal.
        fresh: bool,
    },
    /// This host no longer owns a column.
    Lost {
        /// The column.
        column: ColumnId,
    },
    /// A call wants one token of its tenant.
    Take {
        /// The question.
        take: TakeId,
        /// The tenant.
        tenant: TenantId,
    },
    /// A message from the same part of another host.
    Message {
        /// The sender.
        from: HostId,
        /// What it says.
        message: SliceMessage,
    },
    /// Time has passed; see [`Slices::wake_at`].
    Wake,
}

/// What to do next for slices.
#[derive(Clone, Debug, PartialEq)]
pub enum SliceNext {
    /// The answer to a question. Each question is answered once, also when the tenant's
    /// pool host is silent.
    Verdict {
        /// The question.
        take: TakeId,
        /// The answer.
        verdict: Verdict,
    },
    /// Send a message to the same part of another host; it may be lost.
    Send {
        /// The receiver.
        to: HostId,
        /// What to say.
        message: SliceMessage,
    },
}

/// Settings of [`Slices`].
#[derive(Clone, Debug)]
pub struct SliceOptions {
    /// The host this runs on.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// A random number of this run of its process, as in gossip.
    pub session: u64,
}

/// The slices that this host owns or has borrowed.
#[derive(Debug)]
pub struct Slices {}

impl Slices {
    /// Makes a host with no slices.
    pub fn new(_options: SliceOptions) -> Self {
        Self {}
    }

    /// Takes in an event and appends what to do next to `out`.
    pub fn step(&mut self, _now: Instant, _event: SliceEvent, _out: &mut Vec<SliceNext>) {}

    /// Returns when [`SliceEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        None
    }
}
