//! The token bucket of one tenant at this host.

use std::collections::VecDeque;
use std::time::Duration;

use camphorwalk_core::time::Instant;

use super::projection::{Projection, ProjectionState};
use super::silent_hosts::SilentHosts;
use super::unknown_hosts::UnknownHosts;
use super::usage::Usage;
use super::{ReservedShare, TenantStatus, UNKNOWN_LEVEL};

/// How long samples of the demand are kept: the time until a host is known to be silent, plus one
/// tick. The share of a silent host is computed from the sample taken at its last status update.
const SAMPLES_KEPT: Duration = Duration::from_secs(1);

/// The fraction of the burst that a new process starts with, until it receives another host's
/// level. With a full burst, a fleet that restarts could admit the burst twice within one window.
const INITIAL_LEVEL: f64 = 0.3;

/// How long a new process adopts a lower level from other hosts, and does not report its own level.
///
/// A level that was adopted already contains calls that are reported to the adopting host a moment
/// later and charged again. If new processes adopted each other's levels, these charges and their
/// estimates for unknown hosts would add up with each status update. For the same reason the period
/// is short.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// The fraction of the burst that new programs may not use. If one call of a running program is
/// refused, the whole program fails and its work is lost; a new program has lost nothing yet.
const RUNNING_PROGRAMS_RESERVE: f64 = 0.35;

/// The fraction of what a new program's first call leaves of a full bucket, up to which tokens may be
/// reserved by a projection. A tenant whose programs request more than its rate could otherwise start
/// none at all.
const MAX_PROJECTED_RESERVE: f64 = 0.75;

/// The fraction of the rate by which a bucket refills at least, for the time that a refused program
/// is told to wait. Running programs end within a few seconds, whatever they use now.
const MIN_PROJECTED_REFILL: f64 = 0.25;

/// The time constant of the demand average. A program's calls come in bursts of about a second; an
/// average that followed them would give a silent host the share of its last burst for a whole
/// partition.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// A tenant's demand is sent again when it has changed by this fraction, and by at least this many
/// calls per second. The other hosts use the demand only for estimates: the reserve for status
/// updates in transit, and the shares of silent hosts.
const DEMAND_CHANGE: f64 = 0.1;
const MIN_DEMAND_CHANGE: f64 = 0.3;

/// The reserved share is sent again when it has changed by this fraction of the rate.
const RESERVED_CHANGE: f64 = 0.01;

/// The known state of a tenant at one point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) at: Instant,
    /// The demand at all hosts, in calls per second.
    pub(super) demand: f64,
    /// The number of calls known to have been admitted, here or elsewhere.
    pub(super) spent: f64,
}

/// The token bucket of one tenant at this host.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) rate: f64,
    pub(super) burst: f64,
    /// The tokens in the bucket; negative if other hosts admitted calls before their status updates
    /// arrived.
    pub(super) level: f64,
    pub(super) at: Instant,
    /// Until when a lower level of another host replaces this one.
    pub(super) startup_until: Instant,
    /// Whether a host that has determined its level has reported it since the start.
    pub(super) is_confirmed: bool,
    pub(super) admitted: u64,
    /// The number of programs started here, if new programs are admitted by a projection.
    pub(super) programs: u64,
    /// The demand of running programs; `None` if it is not projected.
    pub(super) projection: Option<Projection>,
    /// The number of calls since the last tick.
    pub(super) arrived: u32,
    /// The smoothed demand at this host, in calls per second.
    pub(super) demand: f64,
    /// The demand at the other hosts, in calls per second.
    pub(super) others_demand: f64,
    /// The sum of the demands that counted hosts reported (see [`HostReport::is_counted`]), in calls
    /// per second.
    pub(super) reported_demand: f64,
    /// No share that another host reserves for silent hosts is valid at or after this time.
    pub(super) peers_reserved_until: Instant,
    /// The hosts that are silent, or were when the tenant's calls there were last reported.
    pub(super) silent: SilentHosts,
    /// The calls estimated for hosts that have not reported their calls to this process.
    pub(super) unknown: UnknownHosts,
    /// The number of calls admitted here, plus those that other hosts reported.
    pub(super) spent: f64,
    /// The average of these calls per second.
    pub(super) usage: Usage,
    /// Recent samples, reaching back to the last status update of a host that is only now found
    /// silent.
    pub(super) samples: VecDeque<Sample>,
    /// The share reserved for silent hosts, as sent to the other hosts.
    pub(super) reserved: ReservedShare,
    /// The fraction of the rate that is charged for hosts that are not live.
    pub(super) non_live_share: f64,
    /// Whether a live host charges such a fraction and needs this host's level to correct its
    /// estimate.
    pub(super) peers_need_level: bool,
    /// The last status update sent to the other hosts.
    pub(super) last_sent: Option<TenantStatus>,
}

impl Account {
    /// Returns the bucket of a tenant in a process that has just started, or of a new tenant.
    pub(super) fn new(now: Instant, rate: f64, burst: f64, projects: bool) -> Self {
        Self {
            rate,
            burst,
            level: burst * INITIAL_LEVEL,
            at: now,
            startup_until: now + STARTUP_PERIOD,
            is_confirmed: false,
            admitted: 0,
            programs: 0,
            projection: projects.then(Projection::default),
            arrived: 0,
            demand: 0.0,
            others_demand: 0.0,
            reported_demand: 0.0,
            peers_reserved_until: Instant(0),
            silent: SilentHosts::default(),
            unknown: UnknownHosts::default(),
            spent: 0.0,
            usage: Usage::default(),
            samples: VecDeque::new(),
            reserved: ReservedShare::default(),
            non_live_share: 0.0,
            peers_need_level: false,
            last_sent: None,
        }
    }

    pub(super) fn status(&self) -> TenantStatus {
        let Self { admitted, programs, demand, reserved, .. } = *self;
        let level = if self.has_level() { self.level } else { UNKNOWN_LEVEL };
        let is_level_exact = self.is_level_exact();

        TenantStatus { admitted, programs, demand, level, reserved, is_level_exact }
    }

    /// Returns whether to send a status update: the values that other hosts use have changed, or
    /// other hosts need this host's level to correct their estimates.
    pub(super) fn has_update(&self) -> bool {
        let Some(last) = self.last_sent else { return self.admitted > 0 || self.arrived > 0 };
        let demand_change = (last.demand * DEMAND_CHANGE).max(MIN_DEMAND_CHANGE);
        let reserved_change = (self.reserved.share - last.reserved.share).abs();

        (self.peers_need_level && self.is_level_exact())
            || self.admitted != last.admitted
            || (self.demand - last.demand).abs() > demand_change
            || reserved_change > RESERVED_CHANGE
    }

    /// Records a sample of the current state, for hosts that turn out to have gone silent at this
    /// time.
    pub(super) fn record_sample(&mut self, now: Instant) {
        let demand = self.demand + self.others_demand;
        self.samples.push_back(Sample { at: now, demand, spent: self.spent });

        while self.samples.get(1).is_some_and(|second| now.since(second.at) > SAMPLES_KEPT) {
            self.samples.pop_front();
        }
    }

    /// Returns the first sample taken at or after a time, or the current state if there is none.
    pub(super) fn sample_at(&self, at: Instant) -> Sample {
        let now =
            Sample { at: self.at, demand: self.demand + self.others_demand, spent: self.spent };

        self.samples.iter().find(|sample| sample.at >= at).copied().unwrap_or(now)
    }

    /// Records until when another host reserves a share for silent hosts.
    pub(super) fn expect_reserved_until(&mut self, until: Instant) {
        self.peers_reserved_until = self.peers_reserved_until.max(until);
    }

    /// Returns whether the level contains only reported calls and no estimates.
    pub(super) fn is_level_exact(&self) -> bool {
        self.non_live_share <= 0.0
    }

    /// Returns whether the process has started so recently that it adopts the levels of others.
    pub(super) fn is_starting(&self, now: Instant) -> bool {
        now < self.startup_until
    }

    /// Returns whether other hosts may use the level. At first it rests on [`INITIAL_LEVEL`], unless
    /// a host that has determined its level was heard: if all hosts restart one after the other
    /// within [`STARTUP_PERIOD`], new processes pass on what was used before. A level with estimates
    /// is not passed on, since those of several new processes would add up.
    fn has_level(&self) -> bool {
        !self.is_starting(self.at) || (self.is_confirmed && self.is_level_exact())
    }

    /// Applies the first status update of a host that had not reported its calls to this process.
    /// `part` is the host's fraction of such hosts. Returns the number of calls to charge for it; a
    /// negative number corrects an estimate.
    pub(super) fn charge_first_update(
        &mut self,
        now: Instant,
        status: &TenantStatus,
        part: f64,
    ) -> f64 {
        let estimated = self.unknown.take(part);
        if status.level < UNKNOWN_LEVEL {
            // The calls that the host counts may have been admitted before this process started.
            // The level includes the recent ones: as an estimate, or because a new process adopts
            // the host's level.
            return 0.0;
        }

        // All calls that a new process counts are recent.
        let unexpected = status.admitted as f64 - estimated;
        match self.is_starting(now) {
            true => unexpected,
            // An earlier process of the host, which was never heard, may have admitted calls too.
            false => unexpected.max(0.0),
        }
    }

    /// Returns the capacity of the bucket.
    pub(super) fn capacity(&self) -> f64 {
        self.burst.max(1.0)
    }

    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.at).as_secs_f64();

        self.level = (self.level + elapsed * self.rate).min(self.capacity());
        self.unknown.limit(self.capacity() - self.level);
        self.at = self.at.max(now);
    }

    pub(super) fn smooth(&mut self, elapsed: Duration) {
        let current = f64::from(std::mem::take(&mut self.arrived)) / elapsed.as_secs_f64();
        let weight = 1.0 - (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();

        self.demand += (current - self.demand) * weight;
    }

    /// Returns the number of tokens that must remain after a call is admitted.
    ///
    /// Other hosts may have admitted calls whose status updates are still in transit. Without this
    /// reserve, a tenant that sends many times its rate would exceed it, each time the bucket runs
    /// empty, by the calls that arrive within the delay of the updates. The demand counts for at most twice
    /// the rate, since the other hosts refuse what exceeds that.
    pub(super) fn headroom(&self, is_new: bool, update_delay: Duration) -> f64 {
        let others = self.others_demand.min(2.0 * self.rate);
        let in_transit = (others * update_delay.as_secs_f64()).min(self.capacity() / 4.0);

        match (is_new, self.project(self.at)) {
            (false, _) => in_transit,
            (true, None) => in_transit.max(self.capacity() * RUNNING_PROGRAMS_RESERVE),
            (true, Some(projection)) => {
                let most = (self.capacity() - 1.0) * MAX_PROJECTED_RESERVE;
                (in_transit + projection.reserve).min(most).max(in_transit)
            }
        }
    }

    /// Returns the projection for one more program, if new programs are admitted by it. What is
    /// charged for hosts that are not live is not available to the programs of the others.
    pub(super) fn project(&self, now: Instant) -> Option<ProjectionState> {
        let rate = self.rate * (1.0 - self.non_live_share);

        self.projection.map(|projection| projection.project(now, rate))
    }

    /// Counts calls that were admitted and programs that were started, here or at another host.
    pub(super) fn count(&mut self, now: Instant, calls: f64, programs: Option<f64>) {
        self.spent += calls;
        if let Some(projection) = &mut self.projection {
            projection.count(now, calls, programs);
        }
    }

    /// Returns the time until the level is `needed`. Projected demand delays new programs, as the
    /// bucket refills only by what running ones leave.
    pub(super) fn time_until_level(&self, needed: f64, is_new: bool) -> Duration {
        let projection = self.project(self.at).filter(|_| is_new);
        let used = projection.map_or(0.0, |projection| projection.demand);
        let refill = (self.rate - used).max(self.rate * MIN_PROJECTED_REFILL);
        let seconds = (needed - self.level) / refill.max(1e-3);

        Duration::from_secs_f64(seconds.clamp(0.01, 60.0))
    }
}
