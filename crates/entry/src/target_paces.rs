//! The paces of targets (see `camphorwalk_policy::entry::target_profiles`): records the events of
//! this host's calls, exchanges them with other hosts, and logs and publishes the results. All of
//! this is done only with the feature `target-profiles`.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use camphorwalk_core::hash::Set;
use camphorwalk_core::messages::entry::TargetEvents;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::placement::{ChangedPace, TargetKey};
use camphorwalk_policy::entry::target_profiles::{UnsentWork, Work};
use tracing::info;

use crate::clock;
use crate::host::Shared;

/// How often the metric is set.
const PUBLISH_PERIOD: Duration = Duration::from_secs(1);

/// The number of targets of which the pace is published. Each is a series of its own.
const MAX_PUBLISHED: usize = 512;

/// The number of lines about changed paces in a [`PUBLISH_PERIOD`]. After a release or a partition
/// the paces of many targets change at once.
const MAX_LINES: u32 = 20;

/// The longest time that another host may report for an event, in microseconds: longer than any call
/// lasts. One wrong number would move the mean of a service for minutes.
const MAX_EVENT_US: u64 = 30_000_000;

/// What has been published of the paces.
#[derive(Default)]
pub(crate) struct Published {
    at: Cell<Instant>,
    /// The targets with a value of the metric.
    targets: RefCell<Set<Box<str>>>,
    /// The changes since then, logged or not.
    changes: Cell<u32>,
}

fn is_enabled(shared: &Shared) -> bool {
    shared.settings.features.target_profiles
}

/// Records that a target generated `events` events after the first one in the time `took`.
pub(crate) fn record_events(shared: &Shared, key: TargetKey, events: u32, took: Duration) {
    if is_enabled(shared) {
        shared.targets.borrow_mut().record_pace(key, events, took);
    }
}

/// Records that a target answered a call without a stream in the time `took`.
pub(crate) fn record_call(shared: &Shared, key: TargetKey, took: Duration) {
    if is_enabled(shared) {
        shared.targets.borrow_mut().record_call_pace(key, took);
    }
}

/// Updates the paces, and takes the events that are to be reported to the other hosts.
pub(crate) fn take_work(shared: &Shared) -> UnsentWork {
    if !is_enabled(shared) {
        return UnsentWork::default();
    }
    let now = clock::now();
    let mut targets = shared.targets.borrow_mut();
    let work = targets.take_work(now);
    let changed = targets.update_paces(now);
    drop(targets);

    changed.iter().for_each(|changed| log(shared, changed));
    publish(shared, now);
    work
}

/// Returns the part of a status update that reports events.
pub(crate) fn target_events(work: UnsentWork) -> Vec<TargetEvents> {
    let events = |(target, work): (Box<str>, Work)| TargetEvents {
        target: target.into(),
        events: work.events,
        time_us: work.time_us,
    };

    work.0.into_iter().map(events).collect()
}

/// Applies the events that another host reports.
pub(crate) fn apply(shared: &Shared, now: Instant, events: Vec<TargetEvents>) {
    if !is_enabled(shared) {
        return;
    }
    let mut targets = shared.targets.borrow_mut();

    for TargetEvents { target, events, time_us } in events {
        let longest = u64::from(events).saturating_mul(MAX_EVENT_US);
        targets.record_remote_work(now, &target, Work { events, time_us: time_us.min(longest) });
    }
}

fn log(shared: &Shared, changed: &ChangedPace) {
    let changes = &shared.published_paces.changes;
    changes.set(changes.get() + 1);
    if changes.get() > MAX_LINES {
        return;
    }
    let targets = shared.targets.borrow();
    let Some(target) = targets.get(changed.key) else { return };

    info!(
        target_id = %target.entry.id, service = %target.entry.service, change = ?changed.change,
        pace = changed.pace, events = changed.events, mean_us = changed.mean.as_micros() as u64,
        load = target.load(), "pace: changed"
    );
}

/// Sets the metric of all targets, if that is due.
fn publish(shared: &Shared, now: Instant) {
    let published = &shared.published_paces;
    if now.since(published.at.get()) < PUBLISH_PERIOD {
        return;
    }
    published.at.set(now);
    let unlogged = published.changes.take().saturating_sub(MAX_LINES);
    if unlogged > 0 {
        info!(unlogged, "pace: further changes");
    }

    let targets = shared.targets.borrow();
    let mut known = published.targets.borrow_mut();
    let pace = &shared.metrics.target_pace;
    known.retain(|id| {
        let is_present = targets.by_id(id).is_some();
        if !is_present && let Err(e) = pace.remove_label_values(&[id]) {
            info!(target_id = %id, error = %e, "pace: metric cannot be removed");
        }
        is_present
    });
    for (id, value) in targets.paces() {
        if known.len() < MAX_PUBLISHED && !known.contains(id) {
            known.insert(id.into());
        }
        if known.contains(id) {
            pace.with_label_values(&[id]).set(value);
        }
    }
}
