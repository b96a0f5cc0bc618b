//! The pace of each target: its time per event relative to the mean of its service.
//!
//! Addresses services whose targets differ in speed for as long as they run, for example engines of
//! two kinds of processor. With equal numbers of calls the slow targets delay a third of all turns,
//! and their callers' programs end late, while fast targets have free slots.
//!
//! A single host sends a target too few calls to tell a lasting difference from noise, so hosts
//! exchange the events of their calls and the time that these took. The evidence decays, since
//! targets become slower and faster while they run. A slow spell of half a second is a small part
//! of it and does not change the choice of targets.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;

use crate::entry::status_exchange::Merge;

/// The time constant with which evidence decays. A lasting change is followed within a few seconds,
/// about the length of a program, and a spell of 0.6 s is a tenth of what is known.
const MEMORY: Duration = Duration::from_secs(5);

/// The number of events at the mean of the service that are added to a target's evidence, and below
/// which it has no pace of its own. The times of 20 events, some three turns, vary by less than the
/// difference that matters ([`ALIKE_FACTOR`]).
const PRIOR_EVENTS: f64 = 20.0;

/// The bounds of a pace. A target that reports wrong numbers of events cannot attract the calls of
/// its whole service, and a very slow one still gets calls when all others are full.
const PACE_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Targets within this factor of the mean are treated alike. A turn takes about 200 ms, so smaller
/// differences are worth less to a caller than the prompt that its target has cached.
const ALIKE_FACTOR: f64 = 1.25;

/// By how much the effective pace of a target must differ from 1 until the target is reported to be
/// slow or fast. One whose pace lies at the edge of the band would be reported with each update.
const REPORTED_DIFFERENCE: f64 = 0.1;

/// Events and the time that they took.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::target_profiles::Work;
/// let mut work = Work::default();
/// work.add(Work::new(3, Duration::from_millis(90)));
/// work.add(Work::new(2, Duration::from_millis(60)));
/// assert_eq!(work, Work::new(5, Duration::from_millis(150)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// The number of events. A call without a stream counts as one.
    pub events: u32,
    /// The time that they took, in microseconds.
    pub time_us: u64,
}

impl Work {
    /// Creates the sum of `events` events that took `time`.
    pub fn new(events: u32, time: Duration) -> Self {
        Self { events, time_us: u64::try_from(time.as_micros()).unwrap_or(u64::MAX) }
    }

    /// Adds further events.
    pub fn add(&mut self, other: Self) {
        self.events = self.events.saturating_add(other.events);
        self.time_us = self.time_us.saturating_add(other.time_us);
    }
}

/// Exponentially decaying sums of events and their time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    events: f64,
    time_us: f64,
    as_of: Instant,
}

impl Evidence {
    /// Returns the sum of events.
    pub fn events(&self) -> f64 {
        self.events
    }

    /// Adds events that ended about now.
    fn add(&mut self, now: Instant, work: Work) {
        if work.events == 0 {
            return;
        }
        *self = self.at(now);
        self.events += f64::from(work.events);
        self.time_us += work.time_us as f64;
    }

    /// Returns the sums decayed to a later time.
    fn at(self, now: Instant) -> Self {
        let decay = (-now.since(self.as_of).as_secs_f64() / MEMORY.as_secs_f64()).exp();

        Self {
            events: self.events * decay,
            time_us: self.time_us * decay,
            as_of: self.as_of.max(now),
        }
    }
}

/// Returns the mean time per event over the targets of a service, in microseconds; `None` without
/// evidence.
pub fn mean_event_time(now: Instant, targets: impl Iterator<Item = Evidence>) -> Option<f64> {
    let sums = targets.map(|evidence| evidence.at(now));
    let (events, time) =
        sums.fold((0.0, 0.0), |(events, time), e| (events + e.events, time + e.time_us));

    (events >= 1.0 && time > 0.0).then(|| time / events)
}

/// What is known of the speed of one run of a target.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// The events of all hosts.
    evidence: Evidence,
    /// The events of this host that have not been reported to the others and are not yet part of
    /// `evidence`.
    unreported: Work,
    /// Whether the target sent this host streams. Whole calls are then no evidence: their time
    /// cannot be compared with that of events.
    is_streaming: bool,
    pace: f64,
    /// Whether the target was last reported to be slower or faster than the others.
    is_reported_different: bool,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            evidence: Evidence::default(),
            unreported: Work::default(),
            is_streaming: false,
            pace: 1.0,
            is_reported_different: false,
        }
    }
}

impl Profile {
    /// Records that this host received `events` events of a stream after the first one, which took
    /// `took`.
    pub fn record_events(&mut self, events: u32, took: Duration) {
        if events == 0 {
            return;
        }
        if !self.is_streaming {
            self.is_streaming = true;
            self.unreported = Work::default();
        }
        self.unreported.add(Work::new(events, took));
    }

    /// Records that a call of this host without a stream took `took`.
    pub fn record_call(&mut self, took: Duration) {
        if !self.is_streaming {
            self.unreported.add(Work::new(1, took));
        }
    }

    /// Adds events that another host reports.
    pub fn record_remote(&mut self, now: Instant, work: Work) {
        self.evidence.add(now, work);
    }

    /// Takes the events of this host since the previous call, which are to be reported to the other
    /// hosts, and adds them to the evidence.
    pub fn take_unreported(&mut self, now: Instant) -> Option<Work> {
        let work = std::mem::take(&mut self.unreported);
        self.evidence.add(now, work);

        (work.events > 0).then_some(work)
    }

    /// Returns the evidence.
    pub fn evidence(&self) -> Evidence {
        self.evidence
    }

    /// Updates the pace from the service's mean time per event. Returns the change if the target
    /// began or ceased to count as slow or fast.
    pub fn update_pace(&mut self, now: Instant, mean: Option<f64>) -> Option<PaceChange> {
        self.pace = mean.map_or(1.0, |mean| pace(self.evidence.at(now), mean));
        let difference = (self.effective_pace() - 1.0).abs();
        let was_different = self.is_reported_different;
        self.is_reported_different =
            difference > if was_different { 0.0 } else { REPORTED_DIFFERENCE };

        match (was_different, self.is_reported_different) {
            (false, true) => Some(PaceChange::Left),
            (true, false) => Some(PaceChange::Returned),
            _ => None,
        }
    }

    /// Returns the time per event relative to the mean of the service.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Returns the pace by which targets are chosen: 1 for those close to the mean. For others only
    /// the difference beyond that counts, so that noise at the edge, where an update more or less
    /// decides, changes the choice of targets little.
    pub fn effective_pace(&self) -> f64 {
        let (lowest, highest) = (1.0 / ALIKE_FACTOR, ALIKE_FACTOR);

        1.0 + (self.pace - highest).max(0.0) - (lowest - self.pace).max(0.0)
    }
}

/// How the pace of a target changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceChange {
    /// It is no longer close to the mean of the service.
    Left,
    /// It is close to the mean again.
    Returned,
}

fn pace(evidence: Evidence, mean: f64) -> f64 {
    if evidence.events < PRIOR_EVENTS {
        return 1.0;
    }
    let time = evidence.time_us + PRIOR_EVENTS * mean;
    let (lowest, highest) = PACE_BOUNDS;

    (time / (evidence.events + PRIOR_EVENTS) / mean).clamp(lowest, highest)
}

/// The events of this host that are to be reported to others, by target id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UnsentWork(pub Map<Box<str>, Work>);

impl Merge for UnsentWork {
    fn merge(&mut self, later: Self) {
        for (target, work) in later.0 {
            self.0.entry(target).or_default().add(work);
        }
    }

    /// Returns nothing, since the receivers add the events up. Those of a lost update stay unknown
    /// to some hosts, which have those of all other updates.
    fn into_repeatable(self) -> Self {
        Self::default()
    }
}
