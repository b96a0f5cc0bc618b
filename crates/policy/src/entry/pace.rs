//! How fast targets work, learned from the answers that pass.
//!
//! The length of a call says little of its target: one answer is ten times as long as another. So
//! what is learned is the time of a unit of work, which is one event of a stream, or a whole
//! answer where that comes in one piece. What neighbours in a target's slots add is taken out,
//! so that a target that is slow is told from one that is full.

use std::time::Duration;

use camphorwalk_core::time::Instant;

/// Over how many milliseconds of work a target's pace is averaged. Several calls run at a target at
/// the same time, so a target that turns slow is known after some tenths of a second.
const PACE_MEMORY_MS: f64 = 1_000.0;

/// How long a target's pace is believed without new evidence, as the time after which a third is
/// left. A target that was slow gets few calls or none, and would stay slow in all books.
const PACE_KEPT: Duration = Duration::from_secs(2);

/// The time of a unit before anything was seen. It is the same for all targets, so that it
/// decides nothing.
const FIRST_UNIT_MS: f64 = 25.0;

/// How long a call holds its slot before anything was seen.
const FIRST_HOLD_MS: f64 = 150.0;

/// The prompt tokens that a target reads in a millisecond before anything was seen.
const FIRST_TOKENS_PER_MS: f64 = 50.0;

/// The prompt tokens and the units of a call before anything was seen.
const FIRST_MISSING: f64 = 600.0;
const FIRST_UNITS: f64 = 6.0;

/// How much a first value weighs: as much as so many calls.
const FIRST_WEIGHT: f64 = 3.0;

/// Over how many calls the figures of a service are averaged.
const MEMORY_CALLS: f64 = 200.0;

/// The bounds of what a neighbour is believed to add to a call's time. Below the least one, calls
/// would not be spread; the most is that of a target on which one call leaves half its pace.
const SHARE_BOUNDS: (f64, f64) = (0.02, 0.2);

/// The same of calls without a prompt, which do not hold each other up, but make it likelier that
/// the next one finds no slot.
const SHARE_WITHOUT_PROMPTS: f64 = 0.15;

/// Units of work that took some time, as if the target had done nothing else meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The units.
    pub units: u32,
    /// The milliseconds that they took.
    pub ms: f64,
}

impl Evidence {
    /// Adds further evidence.
    pub fn add(&mut self, other: Evidence) {
        self.units += other.units;
        self.ms += other.ms;
    }
}

/// The pace of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// The milliseconds of a unit, and when that was learned last.
    learned: Option<(f64, Instant)>,
}

impl Pace {
    /// Takes in evidence. `usual` is the time of a unit at the service's targets.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::pace::{Evidence, Pace};
    /// let mut pace = Pace::default();
    /// pace.learn(Instant(1), Evidence { units: 10, ms: 1_000.0 }, 25.0);
    /// assert!(pace.unit_ms(Instant(1), 25.0) > 60.0);
    /// ```
    pub fn learn(&mut self, now: Instant, evidence: Evidence, usual: f64) {
        if evidence.units == 0 {
            return;
        }

        let before = self.unit_ms(now, usual);
        let seen = evidence.ms / f64::from(evidence.units);
        let weight = 1.0 - (-evidence.ms / PACE_MEMORY_MS).exp();
        self.learned = Some((before + (seen - before) * weight, now));
    }

    /// Returns the milliseconds of a unit.
    pub fn unit_ms(&self, now: Instant, usual: f64) -> f64 {
        let Some((unit_ms, at)) = self.learned else { return usual };
        let kept = (-now.since(at).as_secs_f64() / PACE_KEPT.as_secs_f64()).exp();

        usual + (unit_ms - usual) * kept
    }
}

/// A mean in which the past fades.
#[derive(Clone, Copy, Debug)]
struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    /// Begins with a value that weighs `weight`.
    fn new(first: f64, weight: f64) -> Self {
        Self { sum: first * weight, weight }
    }

    /// Adds a sum over `weight`, with a memory of as much weight as `memory`.
    fn add(&mut self, sum: f64, weight: f64, memory: f64) {
        let kept = (-weight / memory).exp();
        self.sum = self.sum * kept + sum;
        self.weight = self.weight * kept + weight;
    }

    fn value(&self) -> f64 {
        self.sum / self.weight
    }
}

/// What the calls of a service are like.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The milliseconds of a unit.
    unit_ms: Mean,
    /// The units of a call.
    units: Mean,
    /// The milliseconds that a call holds its slot.
    hold_ms: Mean,
    /// The prompt tokens that are read for a call; `None` for calls without a prompt.
    missing: Option<Mean>,
    /// The milliseconds for which a target reads a prompt token.
    token_ms: Mean,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            unit_ms: Mean::new(FIRST_UNIT_MS, FIRST_WEIGHT * FIRST_UNITS),
            units: Mean::new(FIRST_UNITS, FIRST_WEIGHT),
            hold_ms: Mean::new(FIRST_HOLD_MS, FIRST_WEIGHT),
            missing: None,
            token_ms: Mean::new(1.0 / FIRST_TOKENS_PER_MS, FIRST_WEIGHT * FIRST_MISSING),
        }
    }
}

impl Work {
    /// Takes in evidence of any target's pace.
    pub fn paced(&mut self, evidence: Evidence) {
        let units = f64::from(evidence.units);

        self.unit_ms.add(evidence.ms, units, MEMORY_CALLS * self.units.value());
    }

    /// Takes in that a call ended after it held its slot for `hold_ms`.
    pub fn ended(&mut self, hold_ms: f64) {
        self.hold_ms.add(hold_ms, 1.0, MEMORY_CALLS);
    }

    /// Takes in how many units a call had.
    pub fn counted(&mut self, units: u32) {
        self.units.add(f64::from(units), 1.0, MEMORY_CALLS);
    }

    /// Takes in that a call was sent for which `missing` tokens are to be read.
    pub fn sent(&mut self, missing: u32) {
        let first = || Mean::new(FIRST_MISSING, FIRST_WEIGHT);

        self.missing.get_or_insert_with(first).add(f64::from(missing), 1.0, MEMORY_CALLS);
    }

    /// Takes in that the first event came after `waited_ms`, of which `missing` tokens were read.
    pub fn read(&mut self, missing: u32, waited_ms: f64, unit_ms: f64) {
        let memory = MEMORY_CALLS * self.missing.map_or(FIRST_MISSING, |mean| mean.value());

        self.token_ms.add((waited_ms - unit_ms).max(0.0), f64::from(missing), memory);
    }

    /// Returns the milliseconds of a unit at the service's targets.
    pub fn unit_ms(&self) -> f64 {
        self.unit_ms.value()
    }

    /// Returns the units of a call.
    pub fn units(&self) -> f64 {
        self.units.value()
    }

    /// Returns the milliseconds that a call holds its slot.
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms.value()
    }

    /// Returns the milliseconds for which a target reads so many tokens.
    pub fn reading_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.token_ms.value()
    }

    /// Returns which part of its own time a call adds to that of each neighbour at its target:
    /// while its prompt is read, all others stand still.
    pub fn share(&self) -> f64 {
        let Some(missing) = self.missing else { return SHARE_WITHOUT_PROMPTS };
        let reading = missing.value() * self.token_ms.value();
        let (least, most) = SHARE_BOUNDS;

        (reading / self.hold_ms.value()).clamp(least, most)
    }
}
