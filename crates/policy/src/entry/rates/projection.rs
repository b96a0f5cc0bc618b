//! Projected demand of a tenant's running programs, by which new programs are admitted.
//!
//! Addresses tenants whose programs request more than the rate: a call that is refused in a later
//! turn costs the whole program, while a program that is refused at its first turn has lost nothing.

use std::time::Duration;

use camphorwalk_core::time::Instant;

/// The time constant of the rate of admitted calls. Programs last a few seconds; over a shorter time
/// the pauses between their calls would show, over a longer one programs that have ended would.
const CALLS_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// The time constant of the number of calls per program. A change of the tenant's programs has to be
/// followed within ten seconds, after which a tenth of the earlier value remains.
const PROGRAMS_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// The calls per second and the length of a program, until something is learned. The calls of a
/// program follow each other, and each takes about a fifth of a second.
const INITIAL_PACE: f64 = 5.0;
const INITIAL_HORIZON: f64 = 2.0;

/// The number of programs after which what was learned has as much weight as the initial values.
const PRIOR_PROGRAMS: f64 = 1.0;

/// The bounds on the calls per second of a program: callers wait for most calls, whose shortest take
/// some fifty milliseconds, and a program with less than a call per second does not strain a rate.
const PACE_BOUNDS: (f64, f64) = (1.0, 20.0);

/// The bounds on the horizon in seconds. Beyond a few seconds, other programs will have ended, and a
/// reserve for their calls would refuse new programs for nothing.
const HORIZON_BOUNDS: (f64, f64) = (0.5, 4.0);

/// The number of tokens that must be left after a new program's first call at least, so that its
/// second call is not refused.
const MIN_RESERVE: f64 = 1.0;

/// The inputs of a projection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProjectionState {
    /// The calls admitted per second at all hosts, including those that programs which have just
    /// started will make.
    pub demand: f64,
    /// The calls per second of one program.
    pub pace: f64,
    /// The length of a program in seconds.
    pub horizon: f64,
    /// The tokens that must remain after a new program's first call, apart from those of calls in
    /// transit.
    pub reserve: f64,
}

/// What is known about a tenant's programs, from the calls and programs of all hosts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Projection {
    at: Instant,
    /// The smoothed rates of admitted calls and of started programs, per second.
    calls_rate: f64,
    starts_rate: f64,
    /// Decaying numbers of admitted calls and of started programs.
    calls: f64,
    programs: f64,
}

impl Projection {
    /// Counts admitted calls and started programs. Negative numbers withdraw earlier ones. The calls
    /// of a host that does not report its programs have unknown programs, given as `None`.
    pub(super) fn count(&mut self, now: Instant, calls: f64, programs: Option<f64>) {
        let seconds = CALLS_TIME_CONSTANT.as_secs_f64();
        *self = self.decayed(now);

        self.calls_rate = (self.calls_rate + calls / seconds).max(0.0);
        if let Some(programs) = programs {
            self.starts_rate = (self.starts_rate + programs / seconds).max(0.0);
            self.calls = (self.calls + calls).max(0.0);
            self.programs = (self.programs + programs).max(0.0);
        }
    }

    /// Returns the projection for one more program of a tenant with this rate.
    pub(super) fn project(&self, now: Instant, rate: f64) -> ProjectionState {
        let current = self.decayed(now);
        let (pace, horizon) = current.pace_and_horizon();
        // The smoothed rate of calls follows the programs that start and end with a delay. If more
        // programs than usual have just started, their calls will raise it; if fewer, it will fall.
        let usual_starts = current.programs / PROGRAMS_TIME_CONSTANT.as_secs_f64();
        let unusual = (current.starts_rate - usual_starts) * CALLS_TIME_CONSTANT.as_secs_f64();
        let demand = (current.calls_rate + pace * unusual).max(0.0);
        let shortage = horizon * (demand + pace - rate).max(0.0);

        ProjectionState { demand, pace, horizon, reserve: shortage.max(MIN_RESERVE) }
    }

    fn decayed(&self, now: Instant) -> Self {
        let elapsed = now.since(self.at).as_secs_f64();
        let remaining = |time_constant: Duration| (-elapsed / time_constant.as_secs_f64()).exp();
        let of_calls = remaining(CALLS_TIME_CONSTANT);
        let of_programs = remaining(PROGRAMS_TIME_CONSTANT);

        Self {
            at: self.at.max(now),
            calls_rate: self.calls_rate * of_calls,
            starts_rate: self.starts_rate * of_calls,
            calls: self.calls * of_programs,
            programs: self.programs * of_programs,
        }
    }

    /// Returns the calls per second and the length of a program.
    ///
    /// The counts tell only how many calls a program makes. Calls of all tenants take about as long,
    /// so programs with more calls are taken to be longer, within the bounds, and not faster.
    fn pace_and_horizon(&self) -> (f64, f64) {
        let prior = PRIOR_PROGRAMS * INITIAL_PACE * INITIAL_HORIZON;
        // Programs that have just started have most of their calls still to make. The others are
        // scaled to the number that there are when programs start evenly.
        let (short, long) =
            (CALLS_TIME_CONSTANT.as_secs_f64(), PROGRAMS_TIME_CONSTANT.as_secs_f64());
        let older = (self.programs - self.starts_rate * short).max(0.0) * long / (long - short);
        let calls = (self.calls + prior) / (older + PRIOR_PROGRAMS);
        let horizon = (calls / INITIAL_PACE).clamp(HORIZON_BOUNDS.0, HORIZON_BOUNDS.1);

        ((calls / horizon).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1), horizon)
    }
}
