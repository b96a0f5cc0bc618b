//! The queues of the pools that this host keeps: which call next, and at which target.

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{HostId, ProgramId, TargetId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use crate::wire::{Asker, PlaceEnd, PlaceRequest};

/// What an engine says of its load; it lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in its batch.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Tokens held in its cache.
    pub held: Tokens,
}

/// Something that happened, as far as queues mind.
#[derive(Clone, Debug)]
pub enum QueueEvent {
    /// This configuration is in force from now on.
    Config(Arc<Config>),
    /// A call asks for a place.
    Ask {
        /// Who asks.
        asker: Asker,
        /// For what.
        request: PlaceRequest,
    },
    /// A place is free again, or a question is withdrawn.
    Vacate {
        /// Who asked for it.
        asker: Asker,
        /// How the place was used.
        end: PlaceEnd,
    },
    /// A host is gone with all that it asked for.
    HostGone(HostId),
    /// An engine reported its load.
    Load {
        /// The target.
        target: TargetId,
        /// Its report.
        report: LoadReport,
    },
    /// An engine says, late and with gaps, that it dropped a program's prefix.
    Evicted {
        /// The target.
        target: TargetId,
        /// The program.
        program: ProgramId,
    },
    /// Time has passed; see [`Queues::wake_at`].
    Wake,
}

/// What to do next for a call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueNext {
    /// It may go to this target.
    Grant {
        /// Who asked.
        asker: Asker,
        /// The target.
        target: TargetId,
    },
    /// It cannot be served in time: it is told so at once.
    Refuse {
        /// Who asked.
        asker: Asker,
        /// When a later try can help.
        retry_after: Duration,
    },
}

/// Settings of [`Queues`].
#[derive(Clone, Debug)]
pub struct QueueOptions {
    /// The availability zone of this host: it places calls at this zone's targets first.
    pub zone: ZoneId,
}

/// The queues that this host keeps.
#[derive(Debug)]
pub struct Queues {}

impl Queues {
    /// Makes empty queues.
    pub fn new(_options: QueueOptions) -> Self {
        Self {}
    }

    /// Takes in an event and appends what to do next to `out`.
    pub fn step(&mut self, _now: Instant, _event: QueueEvent, _out: &mut Vec<QueueNext>) {}

    /// Returns when [`QueueEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        None
    }
}
