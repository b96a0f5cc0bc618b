//! What is due when.

use std::collections::BTreeSet;

use camphorwalk_core::ids::PartitionId;
use camphorwalk_core::time::Instant;

use super::state::ProgramKey;
use crate::shared_types::CallId;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A call's stage takes too long.
    Call(CallId),
    /// A program's deadline, or the end of its memory.
    Program(ProgramKey),
    /// A partition's journal is to be read on, or its requests have waited long enough.
    Partition(PartitionId),
}

/// The timers, the earliest first. One that no longer applies does nothing when it is due.
#[derive(Debug, Default)]
pub(super) struct Timers {
    /// The timers.
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

    /// Takes the next timer that is due.
    pub fn take_due(&mut self, now: Instant) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }

        self.due.pop_first().map(|(_, timer)| timer)
    }
}
