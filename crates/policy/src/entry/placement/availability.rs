//! Targets that must get no calls, or only few: those of evacuated zones, and cold ones.

use std::time::Duration;

use camphorwalk_core::entry::{ColdBounds, ServiceSpec};
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use super::{TargetKey, Targets};
use crate::entry::cold_targets::call_limit;
use crate::entry::evacuations::ZoneChange;

/// The limit on calls to a cold target of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ColdLimit {
    /// The calls of all hosts together within a second.
    calls: u32,
    /// How long a target may be cold after its zone's evacuation has ended.
    duration: Duration,
}

/// Whether a call may still be sent to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendCheck {
    /// The call may be sent.
    Allowed,
    /// The target's availability zone has been evacuated meanwhile.
    Evacuated,
    /// The target is cold, and this host's part of its limit is used up.
    Cold,
}

impl Targets {
    /// Applies a change of the evacuated zones. Returns the number of known targets in the zone.
    ///
    /// All that is known of the zone's targets is kept for its return. They may be cold then.
    pub fn apply_zone_change(&mut self, now: Instant, change: &ZoneChange) -> usize {
        let (zone, is_evacuated) = match change {
            ZoneChange::Evacuated(zone) => (zone, true),
            ZoneChange::Returned(zone) => (zone, false),
        };
        match is_evacuated {
            true => self.evacuated_zones.insert(zone.clone()),
            false => self.evacuated_zones.remove(zone),
        };
        let mut affected = 0;

        for target in self.targets.values_mut().filter(|target| target.entry.zone == *zone) {
            affected += 1;
            target.is_evacuated = is_evacuated;
            let limit = self.cold_limits.get(&target.entry.service);
            if let Some(limit) = limit.filter(|_| !is_evacuated) {
                target.cold.extend(now + limit.duration);
                target.cold.set_part(self.cold_shares.part(limit.calls, target.id_hash));
            }
        }
        self.update_preferred();
        affected
    }

    /// Returns the number of evacuated zones.
    pub fn evacuated_zones(&self) -> usize {
        self.evacuated_zones.len()
    }

    /// Returns whether the zone of a target is evacuated.
    pub fn is_evacuated(&self, key: TargetKey) -> bool {
        self.targets.get(key).is_some_and(|target| target.is_evacuated)
    }

    /// Returns whether a service has targets that are not draining, and all of them are evacuated.
    pub fn is_service_evacuated(&self, service: &str) -> bool {
        let keys = self.by_service.get(service).into_iter().flatten();
        let running = keys.filter_map(|key| self.targets.get(*key)).filter(|t| !t.leaving);
        let mut is_evacuated = running.map(|target| target.is_evacuated).peekable();

        is_evacuated.peek().is_some() && is_evacuated.all(|evacuated| evacuated)
    }

    /// Sets the limits on calls to cold targets from the services of a manifest.
    pub fn configure_cold(
        &mut self,
        now: Instant,
        services: &Map<Box<str>, ServiceSpec>,
        bounds: ColdBounds,
    ) {
        let limited = services.values().filter_map(|service| {
            let spec = service.cold?;
            let limit = ColdLimit { calls: call_limit(spec, bounds), duration: spec.duration };

            Some((service.name.clone(), limit))
        });

        self.cold_limits = limited.collect();
        for target in self.targets.values_mut() {
            target.cold.set_limited(self.cold_limits.contains_key(&target.entry.service));
        }
        self.update_parts(now);
    }

    /// Records an acknowledged write of this host's row in the store that began at `began`.
    pub fn record_own_row_written(&mut self, now: Instant, began: Instant) {
        self.cold_shares.record_row_written(now, began);
    }

    /// Records the other hosts of the fleet, as of a read that began at `began`.
    pub fn record_hosts(&mut self, began: Instant, others: Vec<HostId>) {
        if self.cold_shares.record_list(began, others) {
            self.update_parts(began);
        }
    }

    /// Records that a target stays cold for a time from now on, as its entry says. Returns this
    /// host's part of the limit on calls to it, if its service has a limit.
    pub fn record_cold(&mut self, now: Instant, id: &str, time: Duration) -> Option<u32> {
        let key = self.by_id.get(id)?;
        let target = self.targets.get_mut(*key)?;
        target.cold.extend(now + time);
        let limit = self.cold_limits.get(&target.entry.service)?;
        target.cold.set_part(self.cold_shares.part(limit.calls, target.id_hash));

        target.cold.part(now)
    }

    /// Records that a place at a target was taken.
    pub fn record_place(&mut self, now: Instant, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.cold.record_place(now);
        }
    }

    /// Returns whether a call may be sent to a target now. Its place was taken at `taken_at`.
    pub fn check_send(&self, now: Instant, key: TargetKey, taken_at: Instant) -> SendCheck {
        let Some(target) = self.targets.get(key) else { return SendCheck::Allowed };

        match target.cold.may_send(now, taken_at, self.cold_shares.may_use(now)) {
            _ if target.is_evacuated => SendCheck::Evacuated,
            true => SendCheck::Allowed,
            false => SendCheck::Cold,
        }
    }

    /// Updates whether calls to one target are limited while it is cold.
    pub(super) fn update_limited(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.cold.set_limited(self.cold_limits.contains_key(&target.entry.service));
        }
    }

    /// Updates this host's parts of the limits on calls to cold targets. A part takes a look at each
    /// host, so those of the many other targets are computed only when they turn cold.
    fn update_parts(&mut self, now: Instant) {
        for target in self.targets.values_mut().filter(|target| target.cold.part(now).is_some()) {
            if let Some(limit) = self.cold_limits.get(&target.entry.service) {
                target.cold.set_part(self.cold_shares.part(limit.calls, target.id_hash));
            }
        }
    }
}
