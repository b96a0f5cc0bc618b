//! What a pool has learned of its calls: how long they hold a place, and whether programs
//! come back.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::ClassId;
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use super::lanes::LaneId;

/// The weight of a new sample in a moving average.
const NEW_WEIGHT: f64 = 0.02;

/// The weight of a new sample in a lane's averages, which follow the load.
const LANE_WEIGHT: f64 = 0.1;

/// How much of the sums of the fit is kept at each sample.
const KEPT: f64 = 0.995;

/// The fewest samples before a fit is used.
const FEWEST_SAMPLES: u64 = 20;

/// The most turns that a program is expected to have.
const MOST_TURNS: f64 = 50.0;

/// A fit of the time that a call holds its place: so much a computed token and so much a
/// generated one (least squares over recent calls, old ones fading).
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldFit {
    samples: u64,
    computed_computed: f64,
    computed_output: f64,
    output_output: f64,
    computed_time: f64,
    output_time: f64,
}

impl HoldFit {
    /// Takes in one call.
    pub fn add(&mut self, computed: Tokens, output: Tokens, held: Duration) {
        let (computed, output, time) = (computed.0 as f64, output.0 as f64, held.as_secs_f64());

        self.samples += 1;
        self.computed_computed = self.computed_computed * KEPT + computed * computed;
        self.computed_output = self.computed_output * KEPT + computed * output;
        self.output_output = self.output_output * KEPT + output * output;
        self.computed_time = self.computed_time * KEPT + computed * time;
        self.output_time = self.output_time * KEPT + output * time;
    }

    /// Returns the seconds of a computed token and of a generated one; zeros until enough is
    /// known.
    pub fn seconds(&self) -> (f64, f64) {
        let determinant = self.computed_computed * self.output_output
            - self.computed_output * self.computed_output;

        if self.samples < FEWEST_SAMPLES || determinant <= f64::EPSILON {
            return (0.0, 0.0);
        }

        let computed =
            self.computed_time * self.output_output - self.output_time * self.computed_output;
        let output =
            self.output_time * self.computed_computed - self.computed_time * self.computed_output;

        ((computed / determinant).max(0.0), (output / determinant).max(0.0))
    }
}

/// What is known of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassEstimate {
    samples: u64,
    output: f64,
    /// The part of calls that are not the first of their program.
    later: f64,
    /// The mean time a call holds its place, in seconds.
    hold: f64,
    /// The mean time between two calls of a program, in seconds.
    pause: f64,
}

/// What is known of one lane.
#[derive(Clone, Copy, Debug, Default)]
struct LaneEstimate {
    /// The mean wait of calls of programs under way, in seconds.
    wait: f64,
    /// The mean time that the first waiting new program takes to be started, in seconds.
    start: f64,
    /// When the last new program was started.
    started: Instant,
}

/// The estimates of one pool.
#[derive(Debug, Default)]
pub struct Estimates {
    lanes: Map<LaneId, LaneEstimate>,
    fit: HoldFit,
    hold: f64,
    samples: u64,
    classes: Map<ClassId, ClassEstimate>,
}

impl Estimates {
    /// Takes in that a call came; `pause` is the time since the program's last one.
    pub fn asked(&mut self, class: ClassId, is_first: bool, pause: Option<Duration>) {
        let estimate = self.classes.entry(class).or_default();
        average(&mut estimate.later, f64::from(u8::from(!is_first)));

        if let Some(pause) = pause {
            average(&mut estimate.pause, pause.as_secs_f64());
        }
    }

    /// Takes in that a call was granted a place which had waited since `since`.
    pub fn granted(&mut self, now: Instant, lane: LaneId, is_first: bool, since: Instant) {
        let estimate = self.lanes.entry(lane).or_default();

        if is_first {
            let head_since = since.max(estimate.started);
            estimate.start += LANE_WEIGHT * (now.since(head_since).as_secs_f64() - estimate.start);
            estimate.started = now;
        } else {
            estimate.wait += LANE_WEIGHT * (now.since(since).as_secs_f64() - estimate.wait);
        }
    }

    /// Returns how long a new program waits to be started behind so many others of its lane.
    pub fn start(&self, lane: LaneId, ahead: usize) -> Duration {
        let start = self.lanes.get(&lane).map_or(0.0, |estimate| estimate.start);

        seconds(start * (ahead + 1) as f64)
    }

    /// Takes in that a call was served.
    pub fn served(&mut self, class: ClassId, computed: Tokens, output: Tokens, held: Duration) {
        let estimate = self.classes.entry(class).or_default();

        self.samples += 1;
        self.fit.add(computed, output, held);
        start_or_average(&mut self.hold, self.samples, held.as_secs_f64());

        estimate.samples += 1;
        start_or_average(&mut estimate.output, estimate.samples, output.0 as f64);
        start_or_average(&mut estimate.hold, estimate.samples, held.as_secs_f64());
    }

    /// Returns the tokens that a call of the class is expected to generate.
    pub fn output(&self, class: ClassId, most: Tokens) -> Tokens {
        let known = self.classes.get(&class).filter(|estimate| estimate.samples > 0);

        known.map_or(most, |estimate| Tokens(estimate.output as u64).min(most))
    }

    /// Returns the seconds that computing a prompt token takes; zero if not yet known.
    pub fn seconds_per_computed(&self) -> f64 {
        self.fit.seconds().0
    }

    /// Returns how long a call is expected to hold its place.
    pub fn hold(&self, computed: Tokens, output: Tokens) -> Duration {
        let (per_computed, per_output) = self.fit.seconds();

        seconds(computed.0 as f64 * per_computed + output.0 as f64 * per_output)
    }

    /// Returns how long a call holds its place on average, in seconds; zero if not yet known.
    pub fn mean_hold(&self) -> f64 {
        self.hold
    }

    /// Returns the chance that a program of the class comes back, after it has paused for
    /// `idle`: it falls as the pause grows beyond what is usual.
    pub fn returns(&self, class: ClassId, idle: Duration) -> f64 {
        let Some(estimate) = self.classes.get(&class) else { return 0.0 };
        let usual = estimate.pause.max(f64::MIN_POSITIVE);

        estimate.later * (-idle.as_secs_f64() / (USUAL_PAUSES * usual)).exp()
    }

    /// Returns how many turns a program of the class is expected to have.
    pub fn turns(&self, class: ClassId) -> f64 {
        let later = self.classes.get(&class).map_or(0.0, |estimate| estimate.later);

        (1.0 / (1.0 - later).max(f64::EPSILON)).min(MOST_TURNS)
    }

    /// Returns how long a whole program is expected to take from its first grant.
    pub fn span(&self, class: ClassId, lane: LaneId) -> Duration {
        let Some(estimate) = self.classes.get(&class) else { return Duration::ZERO };
        let wait = self.lanes.get(&lane).map_or(0.0, |estimate| estimate.wait);
        let turns = self.turns(class);

        seconds(turns * estimate.hold + (turns - 1.0) * (estimate.pause + wait))
    }
}

/// A prefix loses worth as its pause passes this many usual pauses.
const USUAL_PAUSES: f64 = 4.0;

fn average(value: &mut f64, sample: f64) {
    *value += NEW_WEIGHT * (sample - *value);
}

fn start_or_average(value: &mut f64, samples: u64, sample: f64) {
    let weight = NEW_WEIGHT.max(1.0 / samples as f64);
    *value += weight * (sample - *value);
}

/// Returns a duration; out of range becomes the nearest one.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
