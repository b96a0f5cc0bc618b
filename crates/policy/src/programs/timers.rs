//! Timers of the programs' state machine.

use std::collections::BTreeSet;

use camphorwalk_core::ids::PartitionId;
use camphorwalk_core::time::Instant;

use super::state::ProgramKey;
use crate::shared_types::CallId;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A call has been in its stage for too long.
    Call(CallId),
    /// A program has reached its deadline, or the end of its retention.
    Program(ProgramKey),
    /// A partition's recovery must be retried, or its parked requests have waited too long.
    Partition(PartitionId),
}

/// Pending timers in order of time. Timers are never cancelled: one that no longer applies is
/// ignored when it fires.
#[derive(Debug, Default)]
pub(super) struct Timers {
    /// The time and purpose of each timer.
    due: BTreeSet<(Instant, Timer)>,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        self.due.insert((at, timer));
    }

    /// Returns when the next timer is due.
    pub fn next_at(&self) -> Option<Instant> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that is due.
    pub fn take_due(&mut self, now: Instant) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }

        self.due.pop_first().map(|(_, timer)| timer)
    }
}
