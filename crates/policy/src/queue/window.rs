//! The number of calls that may be in flight at one target.

use std::time::Duration;

use camphorwalk_core::time::Instant;

use super::LoadReport;

/// After a cut, reports this young still tell of the time before it.
const CUT_INTERVAL: Duration = Duration::from_secs(2);

/// A bounded window, adapted to load reports.
///
/// Engines admit whatever they are sent, so calls that wait there escape the order kept
/// here. A report of waiting calls cuts the window by a quarter, at most once in
/// [`CUT_INTERVAL`], since reports lag; one without widens it by one, up to the declared size.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    declared: u32,
    size: u32,
    last_cut: Option<Instant>,
}

impl Window {
    /// Makes a window of the declared size.
    pub fn new(declared: u32) -> Self {
        Self { declared, size: declared, last_cut: None }
    }

    /// Returns its size now: at least 1, unless none is declared.
    pub fn size(&self) -> u32 {
        self.size
    }

    /// Returns its declared size.
    pub fn declared(&self) -> u32 {
        self.declared
    }

    /// Takes over a newly declared size.
    pub fn declare(&mut self, declared: u32) {
        if declared != self.declared {
            *self = Self::new(declared);
        }
    }

    /// Takes in a report that arrived now.
    pub fn adapt(&mut self, now: Instant, report: LoadReport) {
        if report.waiting == 0 {
            self.size = (self.size + 1).min(self.declared);
            return;
        }

        if self.last_cut.is_some_and(|at| now.since(at) < CUT_INTERVAL) {
            return;
        }

        self.size = (self.size - self.size.div_ceil(4)).max(1).min(self.declared);
        self.last_cut = Some(now);
    }
}
