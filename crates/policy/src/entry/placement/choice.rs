//! The drawn candidates of a choice, with and without preferred targets.
//!
//! With preferred targets, most calls go to targets whose load this host knows well and to which it
//! has connections (see [`crate::entry::preferred_targets`]). Others are candidates of each choice
//! too, so they are used as soon as they are better by more than what they cost.

use camphorwalk_core::hash::Set;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use super::{CROSS_ZONE_WEIGHT, PlacementRequest, Target, TargetKey, Targets};
use crate::entry::call_stats::CallStats;
use crate::entry::preferred_targets::{Group, Preferences};

/// The extra cost of a target of the host's own zone that is not preferred, in milliseconds. It is a
/// tenth of a turn: what staler load information and a new connection cost a caller on average.
const NOT_PREFERRED_COST_MS: f64 = 25.0;

/// The extra cost of a target of another zone that does not hold the prompt, in milliseconds. It is
/// a sixth of a turn: in addition to the above the distance, and the risk that the zones are
/// partitioned from each other during the call.
const OTHER_ZONE_COST_MS: f64 = 40.0;

/// Where a target is, as seen from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Location {
    Preferred,
    Zone,
    OtherZone,
}

/// Why a target was chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementKind {
    /// It holds the call's prompt or object.
    Prompt,
    /// It is a preferred target.
    Preferred,
    /// It is another target of the host's zone.
    Zone,
    /// It is a target of another zone.
    OtherZone,
}

impl PlacementKind {
    /// Returns the name of the kind for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Prompt => "prompt",
            Self::Preferred => "preferred",
            Self::Zone => "zone",
            Self::OtherZone => "other_zone",
        }
    }
}

/// What a host with preferred targets knows for its choices.
#[derive(Debug)]
pub(super) struct Preferred {
    preferences: Preferences,
    /// The other zones of which no host is heard.
    silent_zones: Set<Box<str>>,
}

/// The targets drawn at random for a call, each with its position in the draw.
#[derive(Default)]
pub(super) struct Draw {
    /// Two of the preferred targets, or of all targets if none are preferred.
    first: [Option<(f64, TargetKey)>; 2],
    /// Two of the other targets of the zone.
    zone: [Option<(f64, TargetKey)>; 2],
    other_zone: Option<(f64, TargetKey)>,
}

/// Puts a candidate among the two with the lowest positions.
fn keep_two_lowest(drawn: &mut [Option<(f64, TargetKey)>; 2], candidate: (f64, TargetKey)) {
    if drawn[0].is_none_or(|(first, _)| candidate.0 < first) {
        *drawn = [Some(candidate), drawn[0]];
    } else {
        super::keep_lowest(&mut drawn[1], candidate);
    }
}

impl Targets {
    /// Lets the host prefer about `wanted` targets of each service in its own zone.
    pub fn prefer_targets(&mut self, wanted: u32, own: HostId) {
        let preferences = Preferences::new(wanted, own);
        self.preferred = Some(Preferred { preferences, silent_zones: Set::default() });
        self.update_preferred();
    }

    /// Sets the other hosts of this host's zone, as known from their rows.
    pub fn set_zone_hosts(&mut self, others: impl IntoIterator<Item = HostId>) {
        let has_changed =
            self.preferred.as_mut().is_some_and(|own| own.preferences.set_hosts(others));

        if has_changed {
            self.update_preferred();
        }
    }

    /// Sets the zones of which no host is heard. Their targets get no calls of this host.
    pub fn set_silent_zones(&mut self, zones: Set<Box<str>>) {
        if let Some(preferred) = &mut self.preferred {
            preferred.silent_zones = zones;
        }
    }

    /// Returns the hosts to which this one must send load notices.
    pub fn notice_receivers(&self) -> &[HostId] {
        self.preferred.as_ref().map_or(&[], |preferred| preferred.preferences.receivers())
    }

    /// Returns the groups of this host that have changed since the previous call, by service.
    pub fn take_group_changes(&mut self) -> Vec<(Box<str>, Group)> {
        let preferred = self.preferred.as_mut();

        preferred.map_or_else(Vec::new, |preferred| preferred.preferences.take_changes())
    }

    /// Returns whether a target is one of the preferred ones.
    pub fn is_preferred(&self, key: TargetKey) -> bool {
        self.targets.get(key).is_some_and(|target| target.is_preferred)
    }

    /// Returns why a target was chosen for a call, before the call is recorded as sent there; `None`
    /// if the host does not prefer any targets.
    pub fn placement_kind(
        &self,
        key: TargetKey,
        request: &PlacementRequest,
    ) -> Option<PlacementKind> {
        let target = self.targets.get(key).filter(|_| self.preferred.is_some())?;

        Some(match self.location(target) {
            _ if target.holds_prompt_or_object(request) => PlacementKind::Prompt,
            Location::Preferred => PlacementKind::Preferred,
            Location::Zone => PlacementKind::Zone,
            Location::OtherZone => PlacementKind::OtherZone,
        })
    }

    /// Chooses the preferred targets of all services again.
    pub(super) fn update_preferred(&mut self) {
        let services: Vec<_> = self.by_service.keys().cloned().collect();
        if let Some(preferred) = &mut self.preferred {
            preferred.preferences.retain(|service| self.by_service.contains_key(service));
        }

        services.iter().for_each(|service| self.update_preferred_of(service));
    }

    /// Chooses the preferred targets of one service again.
    pub(super) fn update_preferred_of(&mut self, service: &str) {
        let Some(mut preferred) = self.preferred.take() else { return };
        let keys = self.by_service.get(service).into_iter().flatten();
        let mut candidates = Vec::new();
        for key in keys {
            let Some(target) = self.targets.get_mut(*key) else { continue };
            target.is_preferred = false;
            if target.takes_calls() && target.entry.zone == self.zone {
                candidates.push((target.id_hash, *key));
            }
        }

        for (_, key) in preferred.preferences.choose(service, &mut candidates) {
            if let Some(target) = self.targets.get_mut(*key) {
                target.is_preferred = true;
            }
        }
        self.preferred = Some(preferred);
    }

    /// Returns whether this host may send calls to a target as far as its failures and its zone are
    /// concerned.
    pub(super) fn is_reachable(&self, now: Instant, target: &Target) -> bool {
        let silent = self.preferred.as_ref().map(|preferred| &preferred.silent_zones);
        let is_silent = silent.is_some_and(|zones| zones.contains(&target.entry.zone));

        !is_silent && !target.is_ejected(now)
    }

    /// Returns the drawn targets to choose from. Those that are not preferred are among them only if
    /// no drawn preferred one has a free slot and is about as fast as the others: their load is known
    /// so late that one of them would often seem to be better.
    pub(super) fn drawn(&self, draw: &Draw) -> impl Iterator<Item = TargetKey> + use<> {
        let is_free = |(_, key): &(f64, TargetKey)| {
            let target = &self.targets[*key];
            target.load() < target.entry.slots && target.profile.effective_pace() <= 1.0
        };
        let has_free = self.preferred.is_some() && draw.first.iter().flatten().any(is_free);
        let others = draw.zone.into_iter().chain([draw.other_zone]).filter(move |_| !has_free);

        draw.first.into_iter().chain(others).flatten().map(|(_, key)| key)
    }

    /// Enters a target into the draw for a call.
    pub(super) fn enter_draw(
        &self,
        draw: &mut Draw,
        key: TargetKey,
        target: &Target,
        position: f64,
    ) {
        if self.preferred.is_none() {
            let weight = if self.is_in_own_zone(target) { 1.0 } else { CROSS_ZONE_WEIGHT };
            return keep_two_lowest(&mut draw.first, (position / weight, key));
        }

        match self.location(target) {
            Location::Preferred => keep_two_lowest(&mut draw.first, (position, key)),
            Location::Zone => keep_two_lowest(&mut draw.zone, (position, key)),
            Location::OtherZone => super::keep_lowest(&mut draw.other_zone, (position, key)),
        }
    }

    /// Returns the cost of a call at a target that was drawn for it.
    pub(super) fn cost_of_drawn(
        &self,
        target: &Target,
        stats: &CallStats,
        request: &PlacementRequest,
    ) -> f64 {
        if self.preferred.is_none() {
            return self.cost(target, stats, request);
        }

        let location_cost = match self.location(target) {
            Location::Preferred => 0.0,
            Location::Zone => NOT_PREFERRED_COST_MS,
            Location::OtherZone => OTHER_ZONE_COST_MS,
        };
        target.cost(stats, request) + location_cost
    }

    fn location(&self, target: &Target) -> Location {
        match self.is_in_own_zone(target) {
            false => Location::OtherZone,
            true if target.is_preferred => Location::Preferred,
            true => Location::Zone,
        }
    }
}
