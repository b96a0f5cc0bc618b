//! Admission control for new programs.
//!
//! Addresses a load in which more programs want to start than targets can finish in time, most of
//! them of one tenant or of a kind of lower priority. By their rank alone, the tenant that sends
//! most starts also gets most places, and as many programs start as the slots hold, whether they
//! finish in time or not.
//!
//! The limits of a new program's rank are therefore reduced by two terms: its tenant's excess over
//! the tenant's share of the fleet, while tenants within their share are refused, and the lateness
//! of the programs that run. A refused program is told when the host expects to have room for it,
//! and precedes others if it returns then.

mod changes;
mod lateness;
mod refused;
mod returns;

use std::time::Duration;

use camphorwalk_core::time::Instant;

use crate::entry::placement::StartLimits;
use crate::entry::rates::TenantUse;

use self::lateness::Lateness;
use self::returns::Returns;

pub use self::changes::AdmissionChanges;
pub use self::lateness::{LatenessChange, TurnCounts};
pub use self::refused::{ProgramHash, RefusedProgram};
pub use self::returns::{Arrival, Refusal};

/// The largest excess: a tenant that uses everything leaves this fraction of the slots to the
/// programs of others. A larger one would make no difference, as it would take the limit on the
/// service of most ranks below [`LOWEST_LIMIT`].
const MAX_EXCESS: f64 = 0.4;

/// The lowest limit, as a fraction of the slots. At this load, calls hardly delay each other, so that
/// callers gain nothing from the refusal of a program.
const LOWEST_LIMIT: f64 = 0.4;

/// How long after a tenant within its share was refused the excess of others counts. Callers return
/// within a second of a refusal, so that a tenant that is still short of room is refused again in
/// this time; and capacity that nobody else wants must not lie idle for longer than it takes to
/// reclaim it.
const RECLAIM_TIME: Duration = Duration::from_secs(2);

/// By how much less lateness reduces the limits of a program that returns as told than those of
/// others. Its caller has used one of its two or three attempts, so that a further refusal would
/// often be the end of the program.
const WAITED_BONUS: f64 = 0.05;

/// Why the limits of a new program are lower than those of its rank.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitTerms {
    /// The tenant's excess, as a fraction of the slots.
    pub excess: f64,
    /// The reduction because running programs are late, as a fraction of the slots.
    pub lateness: f64,
    /// Whether the program returns at the time that it was told.
    pub has_waited: bool,
}

impl LimitTerms {
    /// Returns the limits of a program of a rank.
    ///
    /// ```
    /// use camphorwalk_policy::entry::admission::LimitTerms;
    /// use camphorwalk_policy::entry::placement::StartLimits;
    /// let reduced = LimitTerms { excess: 0.1, ..LimitTerms::default() };
    /// assert_eq!(LimitTerms::default().limits(1), StartLimits::of_rank(1));
    /// assert!(reduced.limits(1).service < StartLimits::of_rank(1).service);
    /// ```
    pub fn limits(self, rank: u32) -> StartLimits {
        let StartLimits { target, service } = StartLimits::of_rank(rank);
        let bonus = if self.has_waited { WAITED_BONUS } else { 0.0 };
        let reduce = |limit: f64| {
            let lowest = LOWEST_LIMIT.min(limit);
            // The bonus does not offset the excess: a tenant far beyond its share has many programs
            // that return, which would take the room of others.
            let highest = (limit - self.excess).max(lowest);
            (highest - self.lateness + bonus).clamp(lowest, highest)
        };

        StartLimits { target: reduce(target), service: reduce(service) }
    }

    /// Returns the first term without which a program would not have been refused, given whether it
    /// would be with some limits.
    pub fn refused_by(self, rank: u32, is_refused: impl Fn(StartLimits) -> bool) -> Term {
        let without_lateness = Self { lateness: 0.0, ..self };

        match () {
            () if is_refused(StartLimits::of_rank(rank)) => Term::Rank,
            () if self.excess > 0.0 && is_refused(without_lateness.limits(rank)) => Term::Excess,
            () if self.lateness > 0.0 => Term::Lateness,
            // Calls ahead of it in the queue would have taken the places.
            () => Term::Rank,
        }
    }
}

/// A term of the limits of a new program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Term {
    /// The limits of its rank.
    Rank,
    /// Its tenant's excess.
    Excess,
    /// The lateness of running programs.
    Lateness,
}

impl Term {
    /// Returns the name of the term for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Rank => "rank",
            Self::Excess => "excess",
            Self::Lateness => "lateness",
        }
    }
}

/// Returns the part of the fleet that a tenant uses beyond its share, from 0 to 0.4.
///
/// ```
/// use camphorwalk_policy::entry::admission::excess;
/// use camphorwalk_policy::entry::rates::TenantUse;
/// assert_eq!(excess(TenantUse { part: 0.1, share: 0.1 }), 0.0);
/// assert_eq!(excess(TenantUse { part: 0.5, share: 0.1 }), 0.4);
/// ```
pub fn excess(tenant: TenantUse) -> f64 {
    (tenant.part - tenant.share).clamp(0.0, MAX_EXCESS)
}

/// What a host knows for the admission of new programs.
#[derive(Clone, Debug, Default)]
pub struct StartAdmission {
    lateness: Lateness,
    returns: Returns,
    /// When a program of a tenant within its share was last refused.
    others_refused_at: Option<Instant>,
}

impl StartAdmission {
    /// Returns the terms that apply to a program of a tenant for a service. A tenant of which no use
    /// is known has no excess.
    pub fn terms(
        &self,
        now: Instant,
        service: &str,
        tenant: Option<TenantUse>,
        program: Option<ProgramHash>,
    ) -> LimitTerms {
        let is_reclaimed = self.others_refused_at.is_some_and(|at| now.since(at) < RECLAIM_TIME);

        LimitTerms {
            excess: tenant.filter(|_| is_reclaimed).map_or(0.0, excess),
            lateness: self.lateness.reduction(service),
            has_waited: self.arrival(now, program) == Arrival::AsTold,
        }
    }

    /// Returns how a new program arrives.
    pub fn arrival(&self, now: Instant, program: Option<ProgramHash>) -> Arrival {
        self.returns.arrival(now, program)
    }

    /// Records that this host admitted a new program.
    pub fn record_start(&mut self, now: Instant) {
        self.returns.record_start(now);
    }

    /// Returns how many programs this host starts per second, as assumed for refusals.
    pub fn start_rate(&self, now: Instant) -> f64 {
        self.returns.start_rate(now)
    }

    /// Records that a program of a tenant is refused for lack of room. Returns its Retry-After.
    pub fn refuse(
        &mut self,
        now: Instant,
        tenant: Option<TenantUse>,
        refusal: Refusal,
    ) -> Duration {
        // A tenant without a rate has no share, so that its refusals limit nobody else.
        let is_within_share = tenant.is_some_and(|tenant| excess(tenant) <= 0.0);
        if is_within_share {
            self.others_refused_at = Some(now);
        }

        self.returns.refuse(now, refusal, is_within_share)
    }

    /// Records a program that another host of the zone refused.
    pub fn record_remote_refusal(&mut self, now: Instant, refused: RefusedProgram) {
        if refused.is_within_share {
            self.others_refused_at = Some(now);
        }
        self.returns.record_remote(refused);
    }

    /// Records that a turn of a running program arrived at this host, and whether the program's
    /// deadline has passed.
    pub fn record_turn(&mut self, service: &str, is_late: bool) {
        self.lateness.record(service, is_late);
    }

    /// Records turns that arrived at another host.
    pub fn record_remote_turns(&mut self, service: &str, counts: TurnCounts) {
        self.lateness.record_remote(service, counts);
    }

    /// Takes what has not been reported to the other hosts yet.
    pub fn take_changes(&mut self, now: Instant) -> AdmissionChanges {
        AdmissionChanges {
            turns: self.lateness.take_updates(),
            refused: self.returns.take_updates(now),
        }
    }

    /// Updates the reductions because of lateness, and returns those that have begun or ended. Called
    /// several times a second.
    pub fn tick(&mut self, now: Instant) -> Vec<LatenessChange> {
        self.lateness.tick(now)
    }
}
