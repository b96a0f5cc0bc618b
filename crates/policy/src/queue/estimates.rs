//! Statistics of a pool's calls: how long they occupy a place, and how likely a program is to
//! send another call.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::ClassId;
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use super::lanes::LaneId;

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Weight of a new sample in a lane's averages. It is higher because these follow the current
/// load.
const LANE_SAMPLE_WEIGHT: f64 = 0.1;

/// Factor by which the sums of the fit decay with each sample.
const FIT_DECAY: f64 = 0.995;

/// Minimum number of samples before the fit is used.
const MIN_FIT_SAMPLES: u64 = 20;

/// Upper bound of the expected number of turns of a program.
const MAX_TURNS: f64 = 50.0;

/// A linear fit of the time that a call occupies its place: a time for each computed prompt token
/// and one for each generated token. It is a least-squares fit over recent calls in which old
/// samples decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldTimeFit {
    samples: u64,
    computed_computed: f64,
    computed_output: f64,
    output_output: f64,
    computed_time: f64,
    output_time: f64,
}

impl HoldTimeFit {
    /// Adds a finished call.
    pub fn add(&mut self, computed: Tokens, output: Tokens, held: Duration) {
        let (computed, output, time) = (computed.0 as f64, output.0 as f64, held.as_secs_f64());

        self.samples += 1;
        self.computed_computed = self.computed_computed * FIT_DECAY + computed * computed;
        self.computed_output = self.computed_output * FIT_DECAY + computed * output;
        self.output_output = self.output_output * FIT_DECAY + output * output;
        self.computed_time = self.computed_time * FIT_DECAY + computed * time;
        self.output_time = self.output_time * FIT_DECAY + output * time;
    }

    /// Returns the seconds for each computed prompt token and for each generated token, or zeros
    /// until there are enough samples.
    pub fn seconds_per_token(&self) -> (f64, f64) {
        let determinant = self.computed_computed * self.output_output
            - self.computed_output * self.computed_output;

        if self.samples < MIN_FIT_SAMPLES || determinant <= f64::EPSILON {
            return (0.0, 0.0);
        }

        let computed =
            self.computed_time * self.output_output - self.output_time * self.computed_output;
        let output =
            self.output_time * self.computed_computed - self.computed_time * self.computed_output;

        ((computed / determinant).max(0.0), (output / determinant).max(0.0))
    }
}

/// Statistics of the calls of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassEstimate {
    samples: u64,
    mean_output: f64,
    /// The fraction of calls that are not the first of their program.
    followup_fraction: f64,
    /// The mean time that a call occupies its place, in seconds.
    mean_hold: f64,
    /// The mean time between two calls of a program, in seconds.
    mean_pause: f64,
}

/// Statistics of one lane.
#[derive(Clone, Copy, Debug, Default)]
struct LaneEstimate {
    /// The mean waiting time of calls of started programs, in seconds.
    mean_wait: f64,
    /// The mean time from when a new program is first in the lane until it is started, in
    /// seconds.
    mean_start: f64,
    /// When the last new program was started.
    last_start: Instant,
}

/// The statistics of one pool.
#[derive(Debug, Default)]
pub struct Estimates {
    lanes: Map<LaneId, LaneEstimate>,
    fit: HoldTimeFit,
    mean_hold: f64,
    samples: u64,
    classes: Map<ClassId, ClassEstimate>,
}

impl Estimates {
    /// Records a place request. `pause` is the time since the program was last served in the pool,
    /// if that is known.
    pub fn record_request(&mut self, class: ClassId, is_first: bool, pause: Option<Duration>) {
        let estimate = self.classes.entry(class).or_default();
        update_mean(&mut estimate.followup_fraction, f64::from(u8::from(!is_first)));

        if let Some(pause) = pause {
            update_mean(&mut estimate.mean_pause, pause.as_secs_f64());
        }
    }

    /// Records that a call which has waited since `since` was granted a place.
    pub fn record_grant(&mut self, now: Instant, lane: LaneId, is_first: bool, since: Instant) {
        let estimate = self.lanes.entry(lane).or_default();

        if is_first {
            let head_since = since.max(estimate.last_start);
            estimate.mean_start +=
                LANE_SAMPLE_WEIGHT * (now.since(head_since).as_secs_f64() - estimate.mean_start);
            estimate.last_start = now;
        } else {
            estimate.mean_wait +=
                LANE_SAMPLE_WEIGHT * (now.since(since).as_secs_f64() - estimate.mean_wait);
        }
    }

    /// Returns the expected time until a new program is started, with `ahead` others before it in
    /// its lane.
    pub fn expected_start(&self, lane: LaneId, ahead: usize) -> Duration {
        let start = self.lanes.get(&lane).map_or(0.0, |estimate| estimate.mean_start);

        duration_from_secs(start * (ahead + 1) as f64)
    }

    /// Records a finished call.
    pub fn record_finished(
        &mut self,
        class: ClassId,
        computed: Tokens,
        output: Tokens,
        held: Duration,
    ) {
        let estimate = self.classes.entry(class).or_default();

        self.samples += 1;
        self.fit.add(computed, output, held);
        update_mean_with_count(&mut self.mean_hold, self.samples, held.as_secs_f64());

        estimate.samples += 1;
        update_mean_with_count(&mut estimate.mean_output, estimate.samples, output.0 as f64);
        update_mean_with_count(&mut estimate.mean_hold, estimate.samples, held.as_secs_f64());
    }

    /// Returns the number of tokens that a call of the class is expected to generate, at most
    /// `max`; this is `max` until a call of the class has finished.
    pub fn expected_output(&self, class: ClassId, max: Tokens) -> Tokens {
        let estimate = self.classes.get(&class).filter(|estimate| estimate.samples > 0);

        estimate.map_or(max, |estimate| Tokens(estimate.mean_output as u64).min(max))
    }

    /// Returns the seconds needed to compute a prompt token, or zero if that is not yet known.
    pub fn seconds_per_prompt_token(&self) -> f64 {
        self.fit.seconds_per_token().0
    }

    /// Returns how long a call is expected to occupy its place.
    pub fn expected_hold(&self, computed: Tokens, output: Tokens) -> Duration {
        let (per_computed, per_output) = self.fit.seconds_per_token();

        duration_from_secs(computed.0 as f64 * per_computed + output.0 as f64 * per_output)
    }

    /// Returns the mean time that a call occupies its place in seconds, or zero if it is not yet
    /// known.
    pub fn mean_hold(&self) -> f64 {
        self.mean_hold
    }

    /// Returns the probability that a program of the class sends another call after it has been
    /// idle for `idle`. It decays by a factor of e for each [`REUSE_DECAY_PAUSES`] mean pauses of
    /// idle time.
    pub fn followup_probability(&self, class: ClassId, idle: Duration) -> f64 {
        let Some(estimate) = self.classes.get(&class) else { return 0.0 };
        let usual_pause = estimate.mean_pause.max(f64::MIN_POSITIVE);

        estimate.followup_fraction
            * (-idle.as_secs_f64() / (REUSE_DECAY_PAUSES * usual_pause)).exp()
    }

    /// Returns the expected number of turns of a program of the class.
    pub fn expected_turns(&self, class: ClassId) -> f64 {
        let followup_fraction =
            self.classes.get(&class).map_or(0.0, |estimate| estimate.followup_fraction);

        (1.0 / (1.0 - followup_fraction).max(f64::EPSILON)).min(MAX_TURNS)
    }

    /// Returns the expected time from a program's first grant to its end.
    pub fn expected_program_time(&self, class: ClassId, lane: LaneId) -> Duration {
        let Some(estimate) = self.classes.get(&class) else { return Duration::ZERO };
        let wait = self.lanes.get(&lane).map_or(0.0, |estimate| estimate.mean_wait);
        let turns = self.expected_turns(class);

        duration_from_secs(
            turns * estimate.mean_hold + (turns - 1.0) * (estimate.mean_pause + wait),
        )
    }
}

/// The probability of reuse decays by a factor of e for each period of this many mean pauses.
const REUSE_DECAY_PAUSES: f64 = 4.0;

fn update_mean(value: &mut f64, sample: f64) {
    *value += SAMPLE_WEIGHT * (sample - *value);
}

fn update_mean_with_count(value: &mut f64, samples: u64, sample: f64) {
    let weight = SAMPLE_WEIGHT.max(1.0 / samples as f64);
    *value += weight * (sample - *value);
}

/// Converts seconds to a duration; values out of range are clamped.
fn duration_from_secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
