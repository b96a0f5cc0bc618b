//! The targets of each pool, and the selection of the best target for a call.
//!
//! A suspect call was in flight when a target crashed, and may have caused the crash. It has to run
//! alone at its target. So a target is reserved for it: the target receives no new calls until its
//! earlier calls have ended, and then receives the suspect call.

use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{PoolId, ProgramId, TargetId, TenantId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use super::LoadReport;
use super::cached_prefixes::{CachedPrefix, CachedPrefixes};
use super::estimates::Estimates;
use super::health::Health;
use super::places::Place;
use super::window::Window;
use crate::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest, PlaceRequestId};

/// Maximum time that a call waits for a busy target that has its prefix cached.
const MAX_PREFIX_WAIT: Duration = Duration::from_secs(5);

/// Eviction events are delayed by up to this time. One that arrives sooner after a use may
/// describe the state before that use.
const MAX_EVENT_LAG: Duration = Duration::from_secs(3);

/// The cost of each call in flight when targets are compared, in prompt tokens to compute.
const IN_FLIGHT_COST: f64 = 400.0;

/// The state of one target.
#[derive(Debug)]
pub struct TargetState {
    pool: PoolId,
    /// Whether the target is in this host's zone.
    is_local: bool,
    /// Whether the target is being drained and receives no new calls.
    leaving: bool,
    /// Maximum number of calls in flight from this zone if the target is in another zone.
    remote_cap: u32,
    window: Window,
    in_flight: u32,
    /// The suspect call that currently has this target for itself.
    exclusive_to: Option<PlaceRequestId>,
    /// The suspect call that this target is being emptied for.
    reserved_for: Option<PlaceRequestId>,
    health: Health,
    report: LoadReport,
    prefixes: CachedPrefixes,
}

impl TargetState {
    /// Returns the number of calls in flight that this host's queue placed at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many calls this host's queue may have in flight at the target now.
    pub fn limit(&self, now: Instant) -> u32 {
        let window = if self.is_local { self.window.size() } else { self.remote_limit() };

        self.health.limit(now, window)
    }

    /// Returns the maximum number of calls in flight at a target in another zone.
    ///
    /// The queue in the target's own zone does not know about calls sent from here. Few calls are
    /// sent therefore, and none while the target reports waiting calls.
    fn remote_limit(&self) -> u32 {
        if self.report.waiting > 0 { 0 } else { self.remote_cap.min(self.window.size()) }
    }

    /// Returns whether the target is used by, or reserved for, a suspect call.
    fn has_suspect(&self) -> bool {
        self.exclusive_to.is_some() || self.reserved_for.is_some()
    }

    /// Returns whether the target may serve the call now or later.
    fn is_eligible(&self, id: TargetId, request: &PlaceRequest) -> bool {
        !self.leaving && self.window.configured() > 0 && request.avoid != Some(id)
    }

    /// Returns whether the call can be placed here now.
    fn has_room_for(
        &self,
        now: Instant,
        request_id: PlaceRequestId,
        request: &PlaceRequest,
    ) -> bool {
        match self.reserved_for {
            _ if self.exclusive_to.is_some() => false,
            Some(reserved) if reserved != request_id => false,
            _ if request.suspect => self.in_flight == 0 && self.limit(now) > 0,
            _ => self.in_flight < self.limit(now),
        }
    }
}

/// The decision for one waiting call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Place the call at this target, which will compute this number of prompt tokens.
    Place(TargetId, Tokens),
    /// Leave the call waiting, and decide again at this time if no event occurs before.
    Wait(Option<Instant>),
}

/// A call that a target is being selected for.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Identifies the place request.
    pub request_id: PlaceRequestId,
    /// The requirements of the call.
    pub request: &'a PlaceRequest,
    /// When the queue first passed over the call to let it wait for a busy target that has the
    /// call's prefix cached; `None` if it has not.
    pub passed_over_since: Option<Instant>,
}

/// All targets, and their pools.
#[derive(Debug, Default)]
pub struct Targets {
    states: Map<TargetId, TargetState>,
    pools: Map<PoolId, Vec<TargetId>>,
}

impl Targets {
    /// Applies the configured targets.
    ///
    /// A target that was removed from the configuration is kept as leaving until its calls have
    /// ended.
    pub fn configure(&mut self, config: &Config, zone: ZoneId) {
        let other_zones = config.fleet.zones.len().saturating_sub(1).max(1) as u32;
        self.states.values_mut().for_each(|state| state.leaving = true);

        for target in &config.targets {
            let id = TargetId::from_name(&target.name);
            let state = self.states.entry(id).or_insert_with(|| TargetState {
                pool: PoolId::from_name(&target.pool),
                is_local: true,
                leaving: false,
                remote_cap: 0,
                window: Window::new(target.window),
                in_flight: 0,
                exclusive_to: None,
                reserved_for: None,
                health: Health::default(),
                report: LoadReport::default(),
                prefixes: CachedPrefixes::default(),
            });

            state.pool = PoolId::from_name(&target.pool);
            state.is_local = ZoneId::from_name(&target.zone) == zone;
            state.leaving = target.leaving;
            state.remote_cap = (target.window / (2 * other_zones)).max(1);
            state.window.set_configured(target.window);
            state.prefixes.set_capacity(target.cache_tokens);
        }

        self.states.retain(|_, state| !state.leaving || state.in_flight > 0);
        self.states
            .values_mut()
            .filter(|state| state.leaving)
            .for_each(|state| state.reserved_for = None);
        self.rebuild_index();
    }

    fn rebuild_index(&mut self) {
        self.pools.clear();

        for (id, state) in &self.states {
            self.pools.entry(state.pool).or_default().push(*id);
        }

        self.pools.values_mut().for_each(|ids| ids.sort_unstable());
    }

    /// Returns the state of a target.
    pub fn get(&self, target: TargetId) -> Option<&TargetState> {
        self.states.get(&target)
    }

    /// Applies a load report, and returns the target's pool.
    pub fn apply_load(
        &mut self,
        now: Instant,
        target: TargetId,
        report: LoadReport,
    ) -> Option<PoolId> {
        let state = self.states.get_mut(&target)?;
        state.report = report;
        state.window.adapt(now, report);

        Some(state.pool)
    }

    /// Applies an eviction event, unless it may be older than the last use of the prefix.
    pub fn apply_eviction(&mut self, now: Instant, target: TargetId, program: ProgramId) {
        let Some(state) = self.states.get_mut(&target) else { return };
        let Some(prefix) = state.prefixes.get(program) else { return };

        if !prefix.in_flight && now.since(prefix.last_used) > MAX_EVENT_LAG {
            state.prefixes.remove(program);
        }
    }

    /// Returns whether any target of the pool may serve the call now or later.
    pub fn can_serve(&self, request: &PlaceRequest) -> bool {
        self.pool_targets(request.pool).any(|(id, state)| state.is_eligible(id, request))
    }

    /// Returns whether any target of the pool, in any zone, has a free place.
    pub fn has_free_place(&self, now: Instant, pool: PoolId) -> bool {
        self.pool_targets(pool)
            .any(|(_, state)| !state.leaving && state.in_flight < state.limit(now))
    }

    /// Returns how many calls this host's queue may have in flight at the pool's targets in this
    /// zone, in total.
    pub fn local_limit(&self, now: Instant, pool: PoolId) -> u32 {
        let limits = self.pool_targets(pool).filter(|(_, state)| state.is_local && !state.leaving);

        limits.map(|(_, state)| state.limit(now)).sum()
    }

    /// Returns when the next backoff of a crashed target in the pool ends.
    pub fn next_backoff_end(&self, now: Instant, pool: PoolId) -> Option<Instant> {
        let targets = self.pool_targets(pool).filter(|(_, state)| !state.leaving);

        targets.filter_map(|(_, state)| state.health.backoff_ends_at(now)).min()
    }

    /// Returns the time since a program was last served in the pool, or `None` if no target is
    /// assumed to have the program's prefix cached.
    pub fn time_since_use(
        &self,
        now: Instant,
        pool: PoolId,
        program: ProgramId,
    ) -> Option<Duration> {
        let uses = self.pool_targets(pool).filter_map(|(_, state)| state.prefixes.get(program));

        uses.map(|prefix| now.since(prefix.last_used)).min()
    }

    /// Returns the total cache capacity of the pool's targets in this zone.
    pub fn local_capacity(&self, pool: PoolId) -> Tokens {
        let local = self.pool_targets(pool).filter(|(_, state)| state.is_local && !state.leaving);

        local.map(|(_, state)| state.prefixes.capacity()).fold(Tokens(0), Tokens::plus)
    }

    /// Returns, for each prefix in the caches of the pool's targets in this zone, its tenant and
    /// the number of its tokens that are expected to be used again.
    ///
    /// Prefixes of waiting calls are left out.
    pub fn expected_reuse<'a>(
        &'a self,
        now: Instant,
        pool: PoolId,
        estimates: &'a Estimates,
    ) -> impl Iterator<Item = (TenantId, f64)> + 'a {
        let local = self.pool_targets(pool).filter(|(_, state)| state.is_local && !state.leaving);
        let prefixes = local.flat_map(|(_, state)| state.prefixes.iter());
        let others = prefixes.filter(|prefix| !prefix.has_waiting_call);

        others.map(move |prefix| {
            (prefix.tenant, prefix.tokens.0 as f64 * reuse_probability(now, prefix, estimates))
        })
    }

    /// Returns the best target for a call, or whether it should wait.
    pub fn choose(&self, now: Instant, call: Candidate<'_>, estimates: &Estimates) -> Choice {
        let request = call.request;

        let free = self.pool_targets(request.pool).filter(|(id, state)| {
            state.is_eligible(*id, request) && state.has_room_for(now, call.request_id, request)
        });
        let reuse = |prefix: &CachedPrefix| reuse_probability(now, prefix, estimates);
        let best = free
            .map(|(id, state)| (!state.is_local, placement_cost(state, request, reuse), id))
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));

        let Some((_, _, target)) = best else { return Choice::Wait(None) };

        match self.wait_for_prefix(now, call, target, estimates) {
            Some(until) => Choice::Wait(Some(until)),
            None => Choice::Place(target, uncached(&self.states[&target], request)),
        }
    }

    /// Returns until when the call should wait for a busy target that has its prefix cached, if
    /// that is better than computing the prefix at `target`.
    ///
    /// The wait is limited to the computing time that it saves all calls at `target`, and to
    /// [`MAX_PREFIX_WAIT`].
    fn wait_for_prefix(
        &self,
        now: Instant,
        call: Candidate<'_>,
        target: TargetId,
        estimates: &Estimates,
    ) -> Option<Instant> {
        let request = call.request;
        let here = uncached(&self.states[&target], request);
        let (_, state) = self
            .pool_targets(request.pool)
            .filter(|(id, state)| {
                state.is_local && state.is_eligible(*id, request) && !request.suspect
            })
            .filter(|(_, state)| state.health.limit(now, 1) > 0 && !state.has_suspect())
            .min_by_key(|(id, state)| (uncached(state, request), *id))?;

        // All calls in a batch are stalled while a prompt is computed.
        let batch = f64::from(1 + self.states[&target].in_flight);
        let saved = here.minus(uncached(state, request)).0 as f64
            * estimates.seconds_per_prompt_token()
            * batch;
        let next_place = estimates.mean_hold() / f64::from(state.in_flight.max(1));
        let max_wait = Duration::try_from_secs_f64(saved).unwrap_or_default();
        let until = call.passed_over_since.unwrap_or(now) + max_wait.min(MAX_PREFIX_WAIT);

        (saved > next_place && until > now).then_some(until)
    }

    /// Reserves a target for a suspect call, preferably one in this zone. Does nothing for other
    /// calls, or if another target of the pool is already reserved for or used by a suspect call.
    pub fn reserve(&mut self, now: Instant, request_id: PlaceRequestId, request: &PlaceRequest) {
        let has_suspect_target =
            self.pool_targets(request.pool).any(|(_, state)| state.has_suspect());

        if has_suspect_target || !request.suspect {
            return;
        }

        let target = self
            .pool_targets(request.pool)
            .filter(|(id, state)| state.is_eligible(*id, request) && state.limit(now) > 0)
            .min_by_key(|(id, state)| (!state.is_local, state.in_flight, *id))
            .map(|(id, _)| id);

        if let Some(state) = target.and_then(|target| self.states.get_mut(&target)) {
            state.reserved_for = Some(request_id);
        }
    }

    /// Returns a suspect call and the empty target that is reserved for it.
    pub fn ready_suspect(&self, pool: PoolId, now: Instant) -> Option<(PlaceRequestId, TargetId)> {
        let empty = self
            .pool_targets(pool)
            .filter(|(_, state)| !state.leaving && state.in_flight == 0 && state.limit(now) > 0);

        empty.filter_map(|(id, state)| Some((state.reserved_for?, id))).next()
    }

    /// Removes the reservation of a suspect call.
    pub fn unreserve(&mut self, pool: PoolId, request_id: PlaceRequestId) {
        for id in self.pools.get(&pool).into_iter().flatten() {
            if let Some(state) =
                self.states.get_mut(id).filter(|state| state.reserved_for == Some(request_id))
            {
                state.reserved_for = None;
            }
        }
    }

    /// Records that a call was placed at a target.
    pub fn start_call(
        &mut self,
        now: Instant,
        target: TargetId,
        call: Candidate<'_>,
        output: Tokens,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        let PlaceRequest { pool, prompt, suspect, .. } = *call.request;

        state.in_flight += 1;
        state.prefixes.record(now, call.request, prompt.plus(output), true);

        if suspect {
            // Another target may have been reserved for the call before this one became free.
            self.unreserve(pool, call.request_id);
            self.states
                .entry(target)
                .and_modify(|state| state.exclusive_to = Some(call.request_id));
        }
    }

    /// Records that a call is no longer in flight at a target.
    pub fn end_call(&mut self, target: TargetId, request_id: PlaceRequestId) {
        let Some(state) = self.states.get_mut(&target) else { return };

        state.in_flight = state.in_flight.saturating_sub(1);

        if state.exclusive_to == Some(request_id) {
            state.exclusive_to = None;
        }

        if state.leaving && state.in_flight == 0 {
            self.states.remove(&target);
            self.rebuild_index();
        }
    }

    /// Updates the target's health and cached prefixes when a call's place is released.
    pub fn record_release(&mut self, now: Instant, place: &Place, release: PlaceRelease) {
        let Some(state) = self.states.get_mut(&place.target) else { return };
        let prompt = place.request.prompt;

        match release.outcome {
            PlaceOutcome::NotSent => {
                let before = prompt.minus(place.computed_prompt);
                state.prefixes.record(now, &place.request, before, false);
            }
            PlaceOutcome::Finished => {
                state.health.record_success();
                state.prefixes.record(now, &place.request, prompt.plus(release.output), false);
            }
            PlaceOutcome::Failed => state.prefixes.record(now, &place.request, prompt, false),
            PlaceOutcome::Crashed => {
                state.health.record_crash(now);
                state.prefixes.clear();
            }
        }
    }

    /// Records whether a call of the program is waiting.
    pub fn set_waiting_call(&mut self, request: &PlaceRequest, has_waiting_call: bool) {
        for id in self.pools.get(&request.pool).into_iter().flatten() {
            if let Some(state) = self.states.get_mut(id) {
                state.prefixes.set_waiting_call(request.program, has_waiting_call);
            }
        }
    }

    /// Removes all prefixes of a program that has ended.
    pub fn remove_program(&mut self, program: ProgramId) {
        self.states.values_mut().for_each(|state| state.prefixes.remove(program));
    }

    fn pool_targets(&self, pool: PoolId) -> impl Iterator<Item = (TargetId, &TargetState)> {
        let ids = self.pools.get(&pool).map_or(&[][..], Vec::as_slice);

        ids.iter().filter_map(|id| Some((*id, self.states.get(id)?)))
    }
}

/// Returns the number of prompt tokens that the target would have to compute.
fn uncached(state: &TargetState, request: &PlaceRequest) -> Tokens {
    request.prompt.minus(state.prefixes.cached_tokens(request.program, request.prompt))
}

/// Returns the probability that a prefix is used again.
fn reuse_probability(now: Instant, prefix: &CachedPrefix, estimates: &Estimates) -> f64 {
    if prefix.in_flight || prefix.has_waiting_call {
        return 1.0;
    }

    estimates.followup_probability(prefix.class, now.since(prefix.last_used))
}

/// Returns the cost of placing a call at a target, in tokens to compute: the uncached part of its
/// prompt, the prefixes that would be evicted and may be needed again, and the slowdown by the
/// calls already in the batch.
fn placement_cost(
    state: &TargetState,
    request: &PlaceRequest,
    reuse: impl Fn(&CachedPrefix) -> f64,
) -> f64 {
    let uncached = uncached(state, request);
    let eviction = state.prefixes.eviction_cost(uncached.plus(request.output), reuse);

    uncached.0 as f64 + eviction + IN_FLIGHT_COST * f64::from(state.in_flight)
}
