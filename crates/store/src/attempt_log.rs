//! Summarizes attempts in one log line a second, so that a platform that rejects requests cannot
//! flood the log.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use crate::limits::Access;
use crate::transport::{Attempt, Rejection};

/// The time that one summary covers.
const PERIOD: Duration = Duration::from_secs(1);

/// How an attempt ended, for the summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AttemptEnd {
    /// The platform answered.
    Answered,
    /// The response was lost.
    Lost,
    /// The request was not executed.
    Rejected(Rejection),
    /// No attempt was made because the host's quota was used up.
    OverQuota,
}

impl AttemptEnd {
    /// Returns how an attempt ended.
    pub(crate) fn of(attempt: &Attempt) -> Self {
        match attempt {
            Attempt::Answered { .. } => Self::Answered,
            Attempt::Lost { .. } => Self::Lost,
            Attempt::NotExecuted(rejection) => Self::Rejected(*rejection),
        }
    }

    /// Returns the word that metrics and logs use.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Lost => "lost",
            Self::Rejected(Rejection::NotSent) => "not_sent",
            Self::Rejected(Rejection::Unavailable) => "unavailable",
            Self::Rejected(Rejection::RateLimited) => "rate_limited",
            Self::OverQuota => "over_quota",
        }
    }
}

/// Counts attempts by table and end until they are logged.
#[derive(Debug)]
pub(crate) struct AttemptLog {
    began: Instant,
    counts: BTreeMap<(Access, Box<str>, AttemptEnd), u32>,
}

impl AttemptLog {
    /// Creates a log whose first period begins at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self { began: now, counts: BTreeMap::new() }
    }

    /// Counts an attempt on a table. Returns the summary of the period if it is over and not all of
    /// its attempts were answered.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        access: Access,
        table: &str,
        end: AttemptEnd,
    ) -> Option<String> {
        let is_over = now.saturating_duration_since(self.began) >= PERIOD;
        let ended = if is_over { std::mem::take(&mut self.counts) } else { BTreeMap::new() };
        if is_over {
            self.began = now;
        }
        *self.counts.entry((access, table.into(), end)).or_default() += 1;

        let all_answered = ended.keys().all(|(.., end)| *end == AttemptEnd::Answered);
        (!all_answered).then(|| summary(&ended))
    }
}

/// Returns a text like `write turns answered 12, write turns rate_limited 3`.
fn summary(counts: &BTreeMap<(Access, Box<str>, AttemptEnd), u32>) -> String {
    let mut text = String::new();
    for ((access, table, end), count) in counts {
        let separator = if text.is_empty() { "" } else { ", " };
        // Writing to a string cannot fail.
        let _ = write!(text, "{separator}{} {table} {} {count}", access.name(), end.name());
    }

    text
}
