//! Statistics of a service's calls, learned from those that this host sends.

use std::time::Duration;

/// The initial estimate of the time per stream event.
const INITIAL_EVENT_MS: f64 = 25.0;

/// The initial estimate of the time for which a call occupies a slot.
const INITIAL_SLOT_MS: f64 = 150.0;

/// The initial estimate of the prompt tokens that a target reads per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 50.0;

/// The initial estimate of the prompt tokens that are read for a call with a prompt.
const INITIAL_MISSING_TOKENS: f64 = 600.0;

/// The weight of an initial estimate, in calls.
const INITIAL_WEIGHT: f64 = 3.0;

/// The number of calls over which the statistics are averaged.
const MEMORY_CALLS: f64 = 200.0;

/// The bounds of the delay that a call causes to each neighbour, as a fraction of its own time.
/// Below the lower bound, calls would not be spread over targets. At the upper bound, a call with
/// five neighbours takes twice as long as alone.
const INTERFERENCE_BOUNDS: (f64, f64) = (0.02, 0.2);

/// The same fraction for calls without a prompt. They do not delay each other, but make it more
/// likely that the next call finds no free slot.
const INTERFERENCE_WITHOUT_PROMPTS: f64 = 0.15;

/// A weighted mean in which old values decay exponentially.
#[derive(Clone, Copy, Debug)]
struct DecayingMean {
    sum: f64,
    weight: f64,
}

impl DecayingMean {
    /// Starts with an initial value of this weight.
    fn new(initial: f64, weight: f64) -> Self {
        Self { sum: initial * weight, weight }
    }

    /// Adds values with the sum `sum` and the total weight `weight`; older values decay with the
    /// time constant `memory`, also a weight.
    fn add(&mut self, sum: f64, weight: f64, memory: f64) {
        let decay = (-weight / memory).exp();
        self.sum = self.sum * decay + sum;
        self.weight = self.weight * decay + weight;
    }

    fn value(&self) -> f64 {
        self.sum / self.weight
    }
}

/// Statistics of a service's calls.
///
/// No statistics are kept per target: an estimate from a few events is mostly noise, and would move
/// conversations away from their cached prompts. A target that becomes slow keeps its slots
/// occupied, and is therefore chosen less often. Speeds of targets are learned from the events of
/// all hosts (see [`super::target_profiles`]).
#[derive(Clone, Copy, Debug)]
pub struct CallStats {
    /// The time per event, in milliseconds.
    event_ms: DecayingMean,
    /// The time for which a call occupies a slot, in milliseconds.
    slot_ms: DecayingMean,
    /// The prompt tokens that are read for a call; `None` if the service has had no call with a
    /// prompt.
    missing_tokens: Option<DecayingMean>,
    /// The time to read a prompt token, in milliseconds.
    token_ms: DecayingMean,
}

impl Default for CallStats {
    fn default() -> Self {
        Self {
            event_ms: DecayingMean::new(INITIAL_EVENT_MS, INITIAL_WEIGHT),
            slot_ms: DecayingMean::new(INITIAL_SLOT_MS, INITIAL_WEIGHT),
            missing_tokens: None,
            token_ms: DecayingMean::new(
                1.0 / INITIAL_TOKENS_PER_MS,
                INITIAL_WEIGHT * INITIAL_MISSING_TOKENS,
            ),
        }
    }
}

impl CallStats {
    /// Records the time for which a call occupied a slot.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphorwalk_policy::entry::call_stats::CallStats;
    /// let mut stats = CallStats::default();
    /// (0..1_000).for_each(|_| stats.record_slot_time(Duration::from_millis(40)));
    /// assert!((stats.slot_ms() - 40.0).abs() < 1.0);
    /// ```
    pub fn record_slot_time(&mut self, held: Duration) {
        self.slot_ms.add(as_ms(held), 1.0, MEMORY_CALLS);
    }

    /// Records the number of prompt tokens that a target has to read for a call.
    pub fn record_missing_tokens(&mut self, missing: u32) {
        let initial = || DecayingMean::new(INITIAL_MISSING_TOKENS, INITIAL_WEIGHT);

        self.missing_tokens.get_or_insert_with(initial).add(f64::from(missing), 1.0, MEMORY_CALLS);
    }

    /// Records that the first event arrived `waited` after a call was sent, with `missing` prompt
    /// tokens to be read.
    pub fn record_prompt_read(&mut self, missing: u32, waited: Duration) {
        let memory =
            MEMORY_CALLS * self.missing_tokens.map_or(INITIAL_MISSING_TOKENS, |mean| mean.value());
        let reading = (as_ms(waited) - self.event_ms.value()).max(0.0);

        self.token_ms.add(reading, f64::from(missing), memory);
    }

    /// Records the time that `events` events after the first one took.
    pub fn record_events(&mut self, events: u32, took: Duration) {
        let events = f64::from(events);

        if events > 0.0 {
            self.event_ms.add(as_ms(took) / events, 1.0, MEMORY_CALLS);
        }
    }

    /// Returns the mean time for which a call occupies a slot, in milliseconds.
    pub fn slot_ms(&self) -> f64 {
        self.slot_ms.value()
    }

    /// Returns the time in which a target reads this many prompt tokens, in milliseconds.
    pub fn prompt_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.token_ms.value()
    }

    /// Returns the delay, in milliseconds, that a call causes to each neighbour and each neighbour
    /// causes to it: while a target reads a prompt, its other calls make no progress.
    pub fn interference_ms(&self) -> f64 {
        let slot_ms = self.slot_ms.value();
        let Some(missing) = self.missing_tokens else {
            return slot_ms * INTERFERENCE_WITHOUT_PROMPTS;
        };
        let (lowest, highest) = INTERFERENCE_BOUNDS;

        (missing.value() * self.token_ms.value()).clamp(slot_ms * lowest, slot_ms * highest)
    }
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
