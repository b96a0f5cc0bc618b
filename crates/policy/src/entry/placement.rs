//! Chooses the target for each call.
//!
//! A host knows the calls that it sent itself, and several times a second receives the number of
//! calls that the other hosts have in flight at each target. From these it estimates what the call
//! would cost at each target: the time to read the prompt parts that are not cached, the time it
//! and the running calls delay each other, and the wait while the target's slots are full.

mod availability;
mod choice;
mod pace;
mod target;

use std::net::SocketAddr;
use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState};
use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use slotmap::SlotMap;

use crate::entry::call_stats::CallStats;
use crate::entry::cold_targets::ColdShares;
use crate::entry::prompts::CachedPart;

use availability::ColdLimit;
use choice::{Draw, Preferred};

pub use availability::SendCheck;
pub use choice::PlacementKind;
pub use pace::ChangedPace;
pub use target::Target;

slotmap::new_key_type! {
    /// Identifies one run of a target within this host.
    pub struct TargetKey;
}

/// The extra cost of a target in another availability zone, in milliseconds: the round trip, and
/// the price of the traffic.
const CROSS_ZONE_COST_MS: f64 = 4.0;

/// The weight of a target in another availability zone in the random draw, relative to one in the
/// host's own zone with as many free slots. A conversation that starts there sends each prompt
/// across zones, relies on older status updates, and breaks if the zones are partitioned. The
/// weight is not zero, since a zone's callers may need more capacity than its own targets have.
const CROSS_ZONE_WEIGHT: f64 = 0.25;

/// How many calls of all hosts together a target may have beyond its slots before calls of running
/// programs wait at the hosts. A few keep a slot from staying idle between two calls; more would be
/// served in the order of arrival instead of by rank.
const MAX_QUEUED_AT_TARGET: u32 = 2;

/// The fraction of a target's slots up to which new programs may start there: for the first rank,
/// and for all others.
///
/// Without this limit, when many users arrive at once, all programs slow down until all are late,
/// and none is refused. With some slots left to running programs, those finish in time, and a new
/// one is refused at once. The limit is higher for the first rank, so that its programs still start
/// when those of other ranks do not.
const NEW_PROGRAMS_TARGET_LIMIT: [f64; 2] = [0.95, 0.85];

/// The fraction of all slots of a service up to which new programs start, by rank as above. The
/// remainder absorbs bursts of turns of running programs.
const NEW_PROGRAMS_SERVICE_LIMIT: [f64; 2] = [0.9, 0.8];

/// Up to which load new programs start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartLimits {
    /// The fraction of one target's slots.
    pub target: f64,
    /// The fraction of all slots of the service.
    pub service: f64,
}

impl StartLimits {
    /// Returns the limits for the programs of a rank.
    ///
    /// ```
    /// use camphorwalk_policy::entry::placement::StartLimits;
    /// assert!(StartLimits::of_rank(0).service > StartLimits::of_rank(1).service);
    /// ```
    pub fn of_rank(rank: u32) -> Self {
        let index = usize::from(rank > 0);

        Self {
            target: NEW_PROGRAMS_TARGET_LIMIT[index],
            service: NEW_PROGRAMS_SERVICE_LIMIT[index],
        }
    }
}

/// What a call needs from a target.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// The rank of the call if it starts a program.
    pub new_program_rank: Option<u32>,
    /// The limits of a call that starts a program, if they are not those of its rank.
    pub start_limits: Option<StartLimits>,
    /// The prompt parts, in order. While a target reads a prompt, its other calls make no progress.
    pub parts: Vec<CachedPart>,
    /// The object that the call refers to, for a call without a prompt.
    pub object: Option<u64>,
    /// The targets that the call was already sent to.
    pub avoid: Vec<TargetKey>,
    /// The version of target software that began the stream, for a stream that goes on. Events of
    /// two versions do not fit together, so no other target may be chosen.
    pub version: Option<Box<str>>,
    /// The seed of the random draw for a call without a prompt; different for each call.
    pub seed: u64,
}

impl PlacementRequest {
    /// Returns the seed of the random draw. All turns of a conversation use the same seed at all
    /// hosts, so hosts with the same knowledge draw the same target for it.
    fn draw_seed(&self) -> u64 {
        self.parts.last().map_or(self.seed, |(id, _)| *id)
    }

    /// Returns whether the call may be sent to targets of a version, `None` if that is not known.
    pub fn permits(&self, version: Option<&str>) -> bool {
        self.version.is_none() || self.version.as_deref() == version
    }

    /// Returns the limit on the calls in flight at a target with `slots` slots: this call may only
    /// be sent there while fewer are in flight.
    fn limit(&self, slots: u32) -> u32 {
        match self.start_limits() {
            None => slots + MAX_QUEUED_AT_TARGET,
            // Rounded down, but even a target with few slots accepts one call.
            Some(limits) => ((f64::from(slots) * limits.target) as u32).max(1),
        }
    }

    /// Returns the limits that apply if the call starts a program.
    fn start_limits(&self) -> Option<StartLimits> {
        let rank = self.new_program_rank?;

        Some(self.start_limits.unwrap_or_else(|| StartLimits::of_rank(rank)))
    }
}

/// The outcome of choosing a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the call to this target.
    Target(TargetKey),
    /// Targets are usable, but the call must not be sent now: each of them, or the service as a
    /// whole, is too busy for it, or it starts a program and calls wait at other hosts.
    Full,
    /// No target of the service, and of the request's version if it has one, is usable.
    NoTarget,
}

/// Why a call that starts a program must not be sent now although targets are usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullCause {
    /// The targets together are too busy to start a program of the call's rank.
    ServiceBusy,
    /// Calls wait for a place at other hosts.
    CallsWaiting,
    /// No single target has room for a new program.
    TargetsFull,
}

impl FullCause {
    /// Returns the name of the cause for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ServiceBusy => "service_busy",
            Self::CallsWaiting => "calls_waiting",
            Self::TargetsFull => "targets_full",
        }
    }
}

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The target answered, after the call occupied a slot for this time.
    Answered(Duration),
    /// The target is full and rejected the call without running it.
    Shed,
    /// The connection failed, or no answer arrived in time.
    Failed,
    /// The call ended for a reason other than the target: the caller went away.
    Abandoned,
}

/// All known targets, and their load.
#[derive(Debug)]
pub struct Targets {
    targets: SlotMap<TargetKey, Target>,
    by_id: Map<Box<str>, TargetKey>,
    by_service: Map<Box<str>, Vec<TargetKey>>,
    stats: Map<Box<str>, CallStats>,
    zone: Box<str>,
    /// The number of calls that each other host has in flight, by target id.
    calls_by_host: Map<HostId, Map<Box<str>, u32>>,
    /// The number of calls that wait for a place at each other host, by service.
    waiting_by_host: Map<HostId, Map<Box<str>, u32>>,
    /// The evacuated availability zones.
    evacuated_zones: Set<Box<str>>,
    /// The limits on calls to cold targets, for each service that has one.
    cold_limits: Map<Box<str>, ColdLimit>,
    /// This host's parts of these limits.
    cold_shares: ColdShares,
    /// `None` if the host does not prefer any targets.
    preferred: Option<Preferred>,
}

impl Targets {
    /// Creates an empty set of targets of the host `own` in the availability zone `zone`.
    pub fn new(zone: &str, own: HostId) -> Self {
        Self {
            targets: SlotMap::with_key(),
            by_id: Map::default(),
            by_service: Map::default(),
            stats: Map::default(),
            zone: zone.into(),
            calls_by_host: Map::default(),
            waiting_by_host: Map::default(),
            evacuated_zones: Set::default(),
            cold_limits: Map::default(),
            cold_shares: ColdShares::new(own),
            preferred: None,
        }
    }

    /// Returns the target with this key, unless its run is over.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns the target with this id.
    pub fn by_id(&self, id: &str) -> Option<&Target> {
        self.targets.get(*self.by_id.get(id)?)
    }

    /// Returns whether the target with this id is another process than the one that started at
    /// `born`, and has another version.
    pub fn is_replaced_by_other_version(&self, id: &str, born: u64, version: Option<&str>) -> bool {
        let is_other =
            |entry: &TargetEntry| entry.born != born && entry.version.as_deref() != version;

        self.by_id(id).is_some_and(|target| is_other(&target.entry))
    }

    /// Returns the targets of a service that are neither draining nor evacuated.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (TargetKey, &Target)> {
        let keys = self.by_service.get(service).into_iter().flatten();

        keys.filter_map(|key| Some((*key, self.targets.get(*key)?)))
            .filter(|(_, target)| target.takes_calls())
    }

    /// Adds or updates a target from its entry. Returns the key of the previous run if the target
    /// was restarted; its connections must be closed.
    pub fn put(&mut self, entry: TargetEntry) -> Option<TargetKey> {
        if let Some(key) = self.by_id.get(&entry.id).copied() {
            let known = &mut self.targets[key];
            let is_same_run =
                known.entry.born == entry.born && known.entry.address == entry.address;

            if is_same_run {
                let moved = known.entry.service != entry.service;
                let (took_calls, changes_zone) =
                    (known.takes_calls(), known.entry.zone != entry.zone);
                known.is_evacuated = self.evacuated_zones.contains(&entry.zone);
                known.leaving = entry.state == TargetState::Draining;
                known.entry = entry;
                let is_regrouped = moved || changes_zone || took_calls != known.takes_calls();
                if moved {
                    self.rebuild_index();
                    self.update_limited(key);
                }
                if is_regrouped {
                    self.update_preferred();
                }
                return None;
            }

            self.remove(key);
            self.insert(entry);
            return Some(key);
        }

        self.insert(entry);
        None
    }

    fn insert(&mut self, entry: TargetEntry) {
        let id = entry.id.clone();
        let service = entry.service.clone();
        let others_calls = self.calls_by_host.values().filter_map(|calls| calls.get(&id)).sum();
        let is_evacuated = self.evacuated_zones.contains(&entry.zone);
        let key = self.targets.insert(Target::new(entry, is_evacuated, others_calls));

        self.by_id.insert(id, key);
        self.by_service.entry(service.clone()).or_default().push(key);
        self.update_limited(key);
        self.update_preferred_of(&service);
    }

    /// Removes a target whose entry is gone. Returns its key if it was known.
    pub fn remove_by_id(&mut self, id: &str) -> Option<TargetKey> {
        let key = self.by_id.get(id).copied()?;
        self.remove(key);

        Some(key)
    }

    fn remove(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.remove(key) {
            self.by_id.remove(&target.entry.id);
            self.rebuild_index();
            self.update_preferred_of(&target.entry.service);
        }
    }

    fn rebuild_index(&mut self) {
        self.by_service.clear();

        for (key, target) in &self.targets {
            self.by_service.entry(target.entry.service.clone()).or_default().push(key);
        }
    }

    /// Returns the number of calls that this host has in flight at each target, for the status
    /// update to the other hosts.
    pub fn in_flight(&self) -> impl Iterator<Item = (&str, u32)> {
        self.targets.values().filter(|t| t.own_calls > 0).map(|t| (&*t.entry.id, t.own_calls))
    }

    /// Sets another host's calls in flight by target, and its waiting calls by service. Both are
    /// empty for a silent host.
    pub fn set_remote_load(
        &mut self,
        host: HostId,
        in_flight: Map<Box<str>, u32>,
        waiting: Map<Box<str>, u32>,
    ) {
        // Replaces only the calls of the sending host, so the cost depends on the number of
        // targets in its status updates and not on the number of hosts or targets in the fleet.
        for (id, calls) in self.calls_by_host.remove(&host).unwrap_or_default() {
            self.change_others_calls(&id, |others| others.saturating_sub(calls));
        }
        for (id, calls) in &in_flight {
            self.change_others_calls(id, |others| others + calls);
        }
        self.calls_by_host.insert(host, in_flight);
        self.waiting_by_host.insert(host, waiting);
    }

    fn change_others_calls(&mut self, id: &str, change: impl FnOnce(u32) -> u32) {
        let target = self.by_id.get(id).and_then(|key| self.targets.get_mut(*key));

        if let Some(target) = target {
            target.others_calls = change(target.others_calls);
        }
    }

    /// Records the last parts of prompts that another host sent to a target.
    pub fn record_remote_prompts(&mut self, id: &str, parts: &[CachedPart]) {
        let target = self.by_id.get(id).and_then(|key| self.targets.get_mut(*key));

        if let Some(target) = target {
            parts.iter().for_each(|part| target.prompts.insert(*part));
        }
    }

    /// Takes the last parts of the prompts that this host sent to each target since the previous
    /// call, by target id.
    pub fn take_updates(&mut self) -> Vec<(Box<str>, Vec<CachedPart>)> {
        let targets =
            self.targets.values_mut().filter(|target| !target.unreported_parts.is_empty());

        targets.map(|t| (t.entry.id.clone(), std::mem::take(&mut t.unreported_parts))).collect()
    }

    /// Chooses the target of a service for a call: the one with the lowest cost, to the call itself
    /// and to the calls that run there, among the targets that hold its prompt or object and two
    /// drawn targets.
    ///
    /// The load that other hosts cause is known only from status updates, which are about as old as
    /// a call is long. If all hosts chose the target that seems best, they would all choose the
    /// same one until the next status update. The two targets are therefore drawn at random,
    /// weighted by their free slots.
    pub fn choose(&self, now: Instant, service: &str, request: &PlacementRequest) -> Choice {
        let usable = |(key, target): &(TargetKey, &Target)| {
            request.permits(target.entry.version.as_deref())
                && !request.avoid.contains(key)
                && self.is_reachable(now, target)
        };
        let is_postponed = request.start_limits().is_some_and(|limits| {
            self.is_too_busy_to_start(now, service, limits)
                || self.has_calls_waiting_elsewhere(service)
        });
        let may_use_part = self.cold_shares.may_use(now);
        let stats = self.stats(service);
        let seed = request.draw_seed();
        let mut any_usable = false;
        let mut best_holder: Option<(f64, TargetKey)> = None;
        let mut draw = Draw::default();

        for (key, target) in self.of_service(service).filter(usable) {
            any_usable = true;

            let has_room = target.has_room(request) && target.cold.has_room(now, may_use_part);
            if is_postponed || !has_room {
                continue;
            }
            if target.holds_prompt_or_object(request) {
                keep_lowest(&mut best_holder, (self.cost(target, &stats, request), key));
            }
            self.enter_draw(&mut draw, key, target, target.draw_position(seed, request));
        }

        let mut best = best_holder;
        for key in self.drawn(&draw) {
            keep_lowest(&mut best, (self.cost_of_drawn(&self.targets[key], &stats, request), key));
        }
        match best {
            Some((_, key)) => Choice::Target(key),
            None if any_usable => Choice::Full,
            None => Choice::NoTarget,
        }
    }

    /// Returns why [`Targets::choose`] finds no place for a call that starts a program.
    pub fn full_cause(&self, now: Instant, service: &str, request: &PlacementRequest) -> FullCause {
        let limits = request.start_limits().unwrap_or_else(|| StartLimits::of_rank(0));

        match () {
            () if self.is_too_busy_to_start(now, service, limits) => FullCause::ServiceBusy,
            () if self.has_calls_waiting_elsewhere(service) => FullCause::CallsWaiting,
            () => FullCause::TargetsFull,
        }
    }

    fn cost(&self, target: &Target, stats: &CallStats, request: &PlacementRequest) -> f64 {
        let zone_cost = if self.is_in_own_zone(target) { 0.0 } else { CROSS_ZONE_COST_MS };

        target.cost(stats, request) + zone_cost
    }

    fn is_in_own_zone(&self, target: &Target) -> bool {
        target.entry.zone == self.zone
    }

    fn stats(&self, service: &str) -> CallStats {
        self.stats.get(service).copied().unwrap_or_default()
    }

    /// Returns whether a service is too busy, over all its targets, to start a new program.
    ///
    /// With status updates that are a tenth of a second old, one of many targets nearly always
    /// seems to have a free slot while the others are overloaded. The average over all targets
    /// shows how fast programs really progress.
    fn is_too_busy_to_start(&self, now: Instant, service: &str, limits: StartLimits) -> bool {
        let (slots, load) = self.capacity(now, service);

        f64::from(load) >= f64::from(slots) * limits.service
    }

    /// Returns whether calls wait for a service at other hosts. One or two, over all these hosts,
    /// are ignored, since they may wait for one target although others are free.
    fn has_calls_waiting_elsewhere(&self, service: &str) -> bool {
        const MAX_WAITING: u32 = 2;
        let waiting = self.waiting_by_host.values().filter_map(|waiting| waiting.get(service));

        waiting.sum::<u32>() > MAX_WAITING
    }

    /// Returns the mean time for which a call occupies a slot at a service's targets.
    pub fn mean_service_time(&self, service: &str) -> Duration {
        Duration::from_secs_f64(self.stats(service).slot_ms() / 1_000.0)
    }

    /// Records that a call was sent to a target. Returns the number of prompt tokens to be read
    /// there.
    pub fn record_sent(&mut self, key: TargetKey, request: &PlacementRequest) -> u32 {
        let Some(target) = self.targets.get_mut(key) else { return 0 };
        target.own_calls += 1;
        if let Some(object) = request.object {
            target.prompts.insert((object, 1));
        }
        let Some(last) = request.parts.last() else { return 0 };

        let missing = target.prompts.missing_tokens(&request.parts);
        request.parts.iter().for_each(|part| target.prompts.insert(*part));
        target.unreported_parts.push(*last);
        stats_of(&mut self.stats, &target.entry.service).record_missing_tokens(missing);

        missing
    }

    /// Records that the first event of a stream arrived `waited` after the call was sent, with
    /// `missing` prompt tokens to be read.
    pub fn record_first_event(&mut self, key: TargetKey, missing: u32, waited: Duration) {
        let Some(target) = self.targets.get(key) else { return };

        // If the slots are full, the time includes the wait for other calls.
        if target.load() <= target.entry.slots {
            stats_of(&mut self.stats, &target.entry.service).record_prompt_read(missing, waited);
        }
    }

    /// Records that a target generated `events` events after the first one in the time `took`.
    pub fn record_events(&mut self, key: TargetKey, events: u32, took: Duration) {
        if let Some(target) = self.targets.get(key) {
            stats_of(&mut self.stats, &target.entry.service).record_events(events, took);
        }
    }

    /// Records how a call ended. Returns whether the target was ejected.
    pub fn record_outcome(&mut self, now: Instant, key: TargetKey, outcome: Outcome) -> bool {
        let Some(target) = self.targets.get_mut(key) else { return false };
        target.own_calls = target.own_calls.saturating_sub(1);

        match outcome {
            Outcome::Answered(held) => {
                target.has_answered = true;
                target.failures = 0;
                target.ejections = 0;
                target.ejected_until = None;
                stats_of(&mut self.stats, &target.entry.service).record_slot_time(held);
                false
            }
            Outcome::Abandoned => false,
            Outcome::Shed => false,
            Outcome::Failed => target.record_failure(now),
        }
    }

    /// Records a failure of a target beside the outcomes of its calls. Returns whether the target was
    /// ejected.
    pub fn record_failure(&mut self, now: Instant, key: TargetKey) -> bool {
        self.targets.get_mut(key).is_some_and(|target| target.record_failure(now))
    }

    /// Returns the time until the first ejected target of a service that a request may be sent to
    /// gets calls again.
    pub fn time_to_readmission(
        &self,
        now: Instant,
        service: &str,
        request: &PlacementRequest,
    ) -> Option<Duration> {
        let until = self.permitted(service, request).filter_map(|target| target.ejected_until);

        until.min().map(|at| at.since(now))
    }

    /// Returns whether a service has targets that a request may be sent to, usable or not.
    pub fn has_permitted(&self, service: &str, request: &PlacementRequest) -> bool {
        self.permitted(service, request).next().is_some()
    }

    /// Returns the total slots of a service's usable targets that a request may be sent to.
    pub fn permitted_slots(&self, now: Instant, service: &str, request: &PlacementRequest) -> u32 {
        let usable =
            self.permitted(service, request).filter(|target| self.is_reachable(now, target));

        usable.map(|target| target.entry.slots).sum()
    }

    fn permitted(
        &self,
        service: &str,
        request: &PlacementRequest,
    ) -> impl Iterator<Item = &Target> {
        let targets = self.of_service(service).map(|(_, target)| target);

        targets.filter(|target| request.permits(target.entry.version.as_deref()))
    }

    /// Returns the total slots of a service's usable targets, and their total calls in flight.
    pub fn capacity(&self, now: Instant, service: &str) -> (u32, u32) {
        let usable = self.of_service(service).filter(|(_, target)| self.is_reachable(now, target));

        usable.fold((0, 0), |(slots, load), (_, t)| (slots + t.entry.slots, load + t.load()))
    }

    /// Returns whether a process that started after `born` (see [`TargetEntry::born`]) has registered
    /// an address.
    pub fn has_later_process_at(&self, address: SocketAddr, born: u64) -> bool {
        self.targets.values().any(|t| t.entry.address == address && t.entry.born > born)
    }

    /// Returns the address that a target listens on.
    pub fn address(&self, key: TargetKey) -> Option<SocketAddr> {
        self.targets.get(key).map(|target| target.entry.address)
    }
}

/// Replaces `best` by a candidate with a lower value: a cost, or a position in the random draw.
fn keep_lowest(best: &mut Option<(f64, TargetKey)>, candidate: (f64, TargetKey)) {
    if best.is_none_or(|(lowest, _)| candidate.0 < lowest) {
        *best = Some(candidate);
    }
}

/// Returns the statistics of a service's calls.
fn stats_of<'a>(stats: &'a mut Map<Box<str>, CallStats>, service: &str) -> &'a mut CallStats {
    if !stats.contains_key(service) {
        stats.insert(service.into(), CallStats::default());
    }

    stats.entry(service.into()).or_default()
}
