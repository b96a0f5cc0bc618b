//! A common interface to all measured policies.

use camphorwalk_core::ids::{TargetId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::queue::{QueueAction, QueueEvent, QueueOptions, Queues};
use serde::Serialize;

use crate::baseline::{Fifo, TargetSelection};
use crate::fleet::ZONE;

/// A scheduling policy that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// First in, first out; each target in turn.
    FifoRoundRobin,
    /// First in, first out; the target with the fewest calls in flight.
    FifoLeastLoaded,
    /// The queues of camphorwalk.
    Camphorwalk,
}

impl Policy {
    /// All policies, baselines first.
    pub const ALL: [Self; 3] = [Self::FifoRoundRobin, Self::FifoLeastLoaded, Self::Camphorwalk];

    /// Returns the policy's name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::FifoRoundRobin => "fifo, round robin",
            Self::FifoLeastLoaded => "fifo, least loaded",
            Self::Camphorwalk => "camphorwalk",
        }
    }
}

/// The queue of a policy.
pub enum Scheduler {
    /// The queues of camphorwalk.
    Queues(Box<Queues>),
    /// A baseline.
    Fifo(Fifo),
}

impl Scheduler {
    /// Creates a policy's queue in front of these targets.
    pub fn new(policy: Policy, window: u32, targets: &[TargetId]) -> Self {
        let fifo = |selection| Self::Fifo(Fifo::new(selection, window, targets));

        match policy {
            Policy::FifoRoundRobin => fifo(TargetSelection::RoundRobin),
            Policy::FifoLeastLoaded => fifo(TargetSelection::LeastLoaded),
            Policy::Camphorwalk => {
                let options = QueueOptions { zone: ZoneId::from_name(ZONE) };
                Self::Queues(Box::new(Queues::new(options)))
            }
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, event: QueueEvent, out: &mut Vec<QueueAction>) {
        match self {
            Self::Queues(queues) => queues.step(now, event, out),
            Self::Fifo(fifo) => fifo.step(&event, out),
        }
    }

    /// Returns when the next wake-up is due; `None` if none is needed.
    pub fn wake_at(&self) -> Option<Instant> {
        match self {
            Self::Queues(queues) => queues.wake_at(),
            Self::Fifo(_) => None,
        }
    }
}
