//! Samples the log lines of calls when there are too many to log all.

use std::cell::Cell;
use std::time::Duration;

use camphorwalk_core::hash::stable_hash;
use camphorwalk_core::time::Instant;

use crate::clock;

/// If more lines than this are selected in a period, half as many calls are selected in the next
/// one, so it is about the maximum number of lines a second about successful calls. A line costs
/// about as much as sending a small message. At this rate logging stays below a hundredth of a
/// host's work at its usual load.
const MAX_LINES: u32 = 150;

/// The interval over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// The highest sampling level: one call in two to the power of the level is logged.
const MAX_LEVEL: u32 = 10;

/// Samples whole calls: at one level, either all lines of a call are logged or none, and all hosts
/// select the same calls. Failures are always logged.
pub(crate) struct LogSampler {
    /// One call in two to the power of this is logged.
    level: Cell<u32>,
    period_began: Cell<Instant>,
    /// The number of lines selected in the current period.
    lines: Cell<u32>,
    /// The number of lines skipped since the start of the process.
    skipped: Cell<u64>,
}

impl LogSampler {
    /// Creates a sampler that selects all calls.
    pub(crate) fn new() -> Self {
        Self {
            level: Cell::new(0),
            period_began: Cell::new(clock::now()),
            lines: Cell::new(0),
            skipped: Cell::new(0),
        }
    }

    /// Counts a line of a call, and returns whether to log it. Also adjusts the sampling level if a
    /// period has ended. Must be called once for each line.
    pub(crate) fn count_and_select(&self, request_id: &str) -> bool {
        self.end_period_if_over();
        let mask = (1u64 << self.level.get()) - 1;
        let is_selected = stable_hash(&[request_id.as_bytes()]) & mask == 0;

        match is_selected {
            true => self.lines.set(self.lines.get() + 1),
            false => self.skipped.set(self.skipped.get() + 1),
        }
        is_selected
    }

    /// If the current period has ended, sets the level for the next one by the number of lines.
    fn end_period_if_over(&self) {
        let now = clock::now();
        if now.since(self.period_began.get()) < PERIOD {
            return;
        }

        let lines = self.lines.replace(0);
        let level = self.level.get();
        let next = match lines {
            lines if lines > MAX_LINES => (level + 1).min(MAX_LEVEL),
            lines if lines < MAX_LINES / 4 => level.saturating_sub(1),
            _ => level,
        };
        self.period_began.set(now);
        self.level.set(next);

        if next != level {
            let one_in = 1u64 << next;
            tracing::info!(one_in, passed_over = self.skipped.get(), "log: calls sampled");
        }
    }
}
