//! The limit of the calls that this host's queue may have in flight at one target.

use std::time::Duration;

use camphorwalk_core::time::Instant;

use super::LoadReport;

/// Load reports that arrive this soon after a reduction may describe the load before it.
const MIN_REDUCTION_INTERVAL: Duration = Duration::from_secs(2);

/// A limit of calls in flight that adapts to load reports.
///
/// Engines accept every request they receive, so calls that wait at an engine bypass the order of
/// this queue. A report of waiting calls reduces the window by a quarter, at most once in
/// [`MIN_REDUCTION_INTERVAL`] because reports are delayed. A report without waiting calls raises
/// it by one, up to the configured size.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    configured: u32,
    size: u32,
    last_reduction: Option<Instant>,
}

impl Window {
    /// Creates a window of the configured size.
    pub fn new(configured: u32) -> Self {
        Self { configured, size: configured, last_reduction: None }
    }

    /// Returns the current size. It is at least 1, unless the configured size is 0.
    pub fn size(&self) -> u32 {
        self.size
    }

    /// Returns the configured size.
    pub fn configured(&self) -> u32 {
        self.configured
    }

    /// Sets the configured size. If it changes, the window starts again at the new size.
    pub fn set_configured(&mut self, configured: u32) {
        if configured != self.configured {
            *self = Self::new(configured);
        }
    }

    /// Adapts the size to a load report that arrived now.
    pub fn adapt(&mut self, now: Instant, report: LoadReport) {
        if report.waiting == 0 {
            self.size = (self.size + 1).min(self.configured);
            return;
        }

        if self.last_reduction.is_some_and(|at| now.since(at) < MIN_REDUCTION_INTERVAL) {
            return;
        }

        self.size = (self.size - self.size.div_ceil(4)).max(1).min(self.configured);
        self.last_reduction = Some(now);
    }
}
