//! The reduction of start limits while running programs are late.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;

/// Turns are counted in this many periods of [`PERIOD`], together a second. Turns take a few tenths
/// of a second, so that this is about the shortest time that shows whether a lower limit has helped.
const PERIODS: usize = 4;

/// The time after which the oldest turns are forgotten.
const PERIOD: Duration = Duration::from_millis(250);

/// Above this proportion of late turns, fewer programs start. A caller loses two thirds of a late
/// program's value or more, but nothing if a new program is refused and returns in time. A few late
/// turns are due to slow answers of single targets rather than to the load.
const HIGH: f64 = 0.08;

/// Below this proportion, more programs start again: half of [`HIGH`], so that the reduction does
/// not swing with the noise of some hundred turns.
const LOW: f64 = 0.04;

/// Fewer turns than this show no proportion: a single late one would be more than [`LOW`].
const MIN_TURNS: u32 = 25;

/// By how much the reduction grows per second: it reaches its maximum within a second, before the
/// programs that start meanwhile are late, too.
const GROWTH_PER_SECOND: f64 = 0.3;

/// By how much it shrinks per second: more slowly, since late programs need some time to end.
const SHRINKAGE_PER_SECOND: f64 = 0.15;

/// The largest reduction, as a fraction of the slots.
const MAX_REDUCTION: f64 = 0.3;

/// Turns of running programs whose program has a deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnCounts {
    /// All of them.
    pub turns: u32,
    /// Those that arrived after their program's deadline.
    pub late: u32,
}

impl TurnCounts {
    /// Adds other turns.
    pub fn add(&mut self, other: Self) {
        self.turns = self.turns.saturating_add(other.turns);
        self.late = self.late.saturating_add(other.late);
    }
}

/// A change from no reduction of a service's limits to one, or back.
#[derive(Clone, Debug, PartialEq)]
pub struct LatenessChange {
    /// The name of the service.
    pub service: Box<str>,
    /// The turns of the last second that led to it.
    pub counts: TurnCounts,
    /// The reduction from now on.
    pub reduction: f64,
}

/// The turns for one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTurns {
    /// The turns at all hosts in the last periods, the current one first.
    periods: [TurnCounts; PERIODS],
    reduction: f64,
    unreported: TurnCounts,
}

impl ServiceTurns {
    fn count(&mut self, counts: TurnCounts) {
        self.periods[0].add(counts);
    }

    fn update_reduction(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let change = match self.late_proportion() {
            p if p > HIGH => GROWTH_PER_SECOND,
            p if p < LOW => -SHRINKAGE_PER_SECOND,
            _ => 0.0,
        };

        self.reduction = (self.reduction + change * seconds).clamp(0.0, MAX_REDUCTION);
    }

    fn late_proportion(&self) -> f64 {
        let TurnCounts { turns, late } = self.sum();

        if turns < MIN_TURNS { 0.0 } else { f64::from(late) / f64::from(turns) }
    }

    fn sum(&self) -> TurnCounts {
        let mut sum = TurnCounts::default();
        self.periods.iter().for_each(|counts| sum.add(*counts));

        sum
    }

    fn begin_period(&mut self) {
        self.periods.rotate_right(1);
        self.periods[0] = TurnCounts::default();
    }

    /// Returns whether nothing is known that would matter.
    fn is_idle(&self) -> bool {
        self.sum().turns == 0 && self.reduction <= 0.0 && self.unreported.turns == 0
    }
}

/// The lateness of running programs, by service.
#[derive(Clone, Debug, Default)]
pub(super) struct Lateness {
    services: Map<Box<str>, ServiceTurns>,
    ticked: Option<Instant>,
    /// When the current period began.
    period_began: Instant,
}

impl Lateness {
    pub(super) fn record(&mut self, service: &str, is_late: bool) {
        let counts = TurnCounts { turns: 1, late: u32::from(is_late) };
        let service = self.service(service);
        service.count(counts);
        service.unreported.add(counts);
    }

    pub(super) fn record_remote(&mut self, service: &str, counts: TurnCounts) {
        self.service(service).count(counts);
    }

    pub(super) fn take_updates(&mut self) -> Map<Box<str>, TurnCounts> {
        let changed =
            self.services.iter_mut().filter(|(_, s)| s.unreported != TurnCounts::default());

        changed.map(|(name, s)| (name.clone(), std::mem::take(&mut s.unreported))).collect()
    }

    /// Updates the reductions. Returns those that have begun or ended.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<LatenessChange> {
        let elapsed = self.ticked.map_or(Duration::ZERO, |at| now.since(at));
        self.ticked = Some(now);
        let mut changes = Vec::new();
        for (name, service) in &mut self.services {
            let before = service.reduction;
            service.update_reduction(elapsed);
            if (before > 0.0) != (service.reduction > 0.0) {
                let (service, counts, reduction) = (name.clone(), service.sum(), service.reduction);
                changes.push(LatenessChange { service, counts, reduction });
            }
        }
        for _ in 0..PERIODS {
            if now.since(self.period_began) < PERIOD {
                break;
            }
            self.period_began = self.period_began + PERIOD;
            self.services.values_mut().for_each(ServiceTurns::begin_period);
        }
        if now.since(self.period_began) >= PERIOD {
            self.period_began = now;
        }
        self.services.retain(|_, service| !service.is_idle());

        changes
    }

    pub(super) fn reduction(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |service| service.reduction)
    }

    fn service(&mut self, name: &str) -> &mut ServiceTurns {
        if !self.services.contains_key(name) {
            self.services.insert(name.into(), ServiceTurns::default());
        }

        self.services.entry(name.into()).or_default()
    }
}
