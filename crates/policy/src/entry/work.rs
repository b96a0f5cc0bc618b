//! What the calls of a service are like, learned from those that this host sends.

use std::time::Duration;

/// The time of an event of a stream before anything was seen.
const FIRST_EVENT_MS: f64 = 25.0;

/// How long a call holds its slot before anything was seen.
const FIRST_HOLD_MS: f64 = 150.0;

/// The prompt tokens that a target reads in a millisecond before anything was seen.
const FIRST_TOKENS_PER_MS: f64 = 50.0;

/// The prompt tokens that are read for a call before anything was seen.
const FIRST_MISSING: f64 = 600.0;

/// How much a first value weighs: as much as so many calls.
const FIRST_WEIGHT: f64 = 3.0;

/// Over how many calls the figures are averaged.
const MEMORY_CALLS: f64 = 200.0;

/// The bounds of the part of its own time that a call adds to that of each neighbour. Below the least
/// one calls would not be spread; the most is that of a target on which one call leaves half
/// its pace.
const SHARE_BOUNDS: (f64, f64) = (0.02, 0.2);

/// The same of calls without a prompt, which do not hold each other up, but make it likelier that
/// the next one finds no slot.
const SHARE_WITHOUT_PROMPTS: f64 = 0.15;

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
///
/// There is no pace for each target: an estimate from a few events follows chance, and moves lines
/// away from their prompts. A target that turns slow keeps its slots taken, and is drawn less for
/// that.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The milliseconds of an event.
    event_ms: Mean,
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
            event_ms: Mean::new(FIRST_EVENT_MS, FIRST_WEIGHT),
            hold_ms: Mean::new(FIRST_HOLD_MS, FIRST_WEIGHT),
            missing: None,
            token_ms: Mean::new(1.0 / FIRST_TOKENS_PER_MS, FIRST_WEIGHT * FIRST_MISSING),
        }
    }
}

impl Work {
    /// Takes in that a call ended after it held its slot for `held`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphorwalk_policy::entry::work::Work;
    /// let mut work = Work::default();
    /// (0..1_000).for_each(|_| work.ended(Duration::from_millis(40)));
    /// assert!((work.hold_ms() - 40.0).abs() < 1.0);
    /// ```
    pub fn ended(&mut self, held: Duration) {
        self.hold_ms.add(as_ms(held), 1.0, MEMORY_CALLS);
    }

    /// Takes in that a call was sent for which `missing` prompt tokens are to be read.
    pub fn sent(&mut self, missing: u32) {
        let first = || Mean::new(FIRST_MISSING, FIRST_WEIGHT);

        self.missing.get_or_insert_with(first).add(f64::from(missing), 1.0, MEMORY_CALLS);
    }

    /// Takes in that the first event came `waited` after a call was sent, while `missing` prompt
    /// tokens were read.
    pub fn read(&mut self, missing: u32, waited: Duration) {
        let memory = MEMORY_CALLS * self.missing.map_or(FIRST_MISSING, |mean| mean.value());
        let reading = (as_ms(waited) - self.event_ms.value()).max(0.0);

        self.token_ms.add(reading, f64::from(missing), memory);
    }

    /// Takes in that `events` events after the first one took so long.
    pub fn made(&mut self, events: u32, took: Duration) {
        let events = f64::from(events);

        if events > 0.0 {
            self.event_ms.add(as_ms(took) / events, 1.0, MEMORY_CALLS);
        }
    }

    /// Returns the milliseconds that a call holds its slot.
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms.value()
    }

    /// Returns the milliseconds for which a target reads so many prompt tokens.
    pub fn reading_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.token_ms.value()
    }

    /// Returns the milliseconds by which a call holds up each of its neighbours, and each of them
    /// this one: while a prompt is read, all others at its target stand still.
    pub fn stall_ms(&self) -> f64 {
        let hold = self.hold_ms.value();
        let Some(missing) = self.missing else { return hold * SHARE_WITHOUT_PROMPTS };
        let (least, most) = SHARE_BOUNDS;

        (missing.value() * self.token_ms.value()).clamp(hold * least, hold * most)
    }
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
