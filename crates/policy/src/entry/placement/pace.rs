//! The paces of the targets, from the events of all hosts. Without calls of these functions all
//! targets have the same pace.

use std::time::Duration;

use camphorwalk_core::time::Instant;

use super::{TargetKey, Targets};
use crate::entry::target_profiles::{PaceChange, UnsentWork, Work, mean_event_time};

/// A target that began or ceased to count as slow or fast.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangedPace {
    /// The target.
    pub key: TargetKey,
    /// What happened.
    pub change: PaceChange,
    /// Its time per event relative to the mean of its service.
    pub pace: f64,
    /// The number of events from which it follows; older ones count less.
    pub events: f64,
    /// The mean time per event of its service.
    pub mean: Duration,
}

impl Targets {
    /// Records that a target generated `events` events after the first one in the time `took`, as
    /// evidence of its speed.
    pub fn record_pace(&mut self, key: TargetKey, events: u32, took: Duration) {
        if let Some(target) = self.targets.get_mut(key) {
            target.profile.record_events(events, took);
        }
    }

    /// Records that a target answered a call without a stream in the time `took`, as evidence of
    /// its speed.
    pub fn record_call_pace(&mut self, key: TargetKey, took: Duration) {
        if let Some(target) = self.targets.get_mut(key) {
            target.profile.record_call(took);
        }
    }

    /// Records the events of a target that another host reports.
    pub fn record_remote_work(&mut self, now: Instant, id: &str, work: Work) {
        let target = self.by_id.get(id).and_then(|key| self.targets.get_mut(*key));

        if let Some(target) = target {
            target.profile.record_remote(now, work);
        }
    }

    /// Takes this host's events since the previous call, which are to be reported to the other
    /// hosts, and adds them to the evidence.
    pub fn take_work(&mut self, now: Instant) -> UnsentWork {
        let targets = self.targets.values_mut();

        UnsentWork(
            targets
                .filter_map(|t| Some((t.entry.id.clone(), t.profile.take_unreported(now)?)))
                .collect(),
        )
    }

    /// Updates the pace of all targets. Returns those that began or ceased to count as slow or
    /// fast.
    pub fn update_paces(&mut self, now: Instant) -> Vec<ChangedPace> {
        let mut changed = Vec::new();

        for keys in self.by_service.values() {
            let targets = keys.iter().filter_map(|key| self.targets.get(*key));
            let mean = mean_event_time(now, targets.map(|target| target.profile.evidence()));

            for key in keys {
                let Some(target) = self.targets.get_mut(*key) else { continue };
                if let Some(change) = target.profile.update_pace(now, mean) {
                    let pace = target.profile.pace();
                    let events = target.profile.evidence().events();
                    let mean = Duration::from_micros(mean.unwrap_or_default() as u64);
                    changed.push(ChangedPace { key: *key, change, pace, events, mean });
                }
            }
        }
        changed
    }

    /// Returns the id of each target, and its time per event relative to the mean of its service.
    pub fn paces(&self) -> impl Iterator<Item = (&str, f64)> {
        self.targets.values().map(|target| (&*target.entry.id, target.profile.pace()))
    }
}
