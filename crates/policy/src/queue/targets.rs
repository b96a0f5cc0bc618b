//! The targets of each pool: who may get a call, and which is the best place for it.

use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{PoolId, ProgramId, TargetId, TenantId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use super::LoadReport;
use super::estimates::Estimates;
use super::health::Health;
use super::places::Place;
use super::residents::{Resident, Residents};
use super::window::Window;
use crate::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest, PlaceRequestId};

/// A call waits no longer than this for the target that holds its prefix.
const LONGEST_PREFIX_WAIT: Duration = Duration::from_secs(5);

/// An eviction told this soon after a use may be older than the use.
const EVENT_LAG: Duration = Duration::from_secs(3);

/// What a call in flight at a target counts for when targets are compared, in tokens to be
/// computed.
const LOAD_TOKENS: f64 = 400.0;

/// A target as its queue sees it.
#[derive(Debug)]
pub struct TargetState {
    pool: PoolId,
    /// Whether it stands in the zone of this host.
    near: bool,
    /// Whether it is leaving, and gets nothing new.
    leaving: bool,
    /// The most calls in flight if it stands in another zone.
    far_cap: u32,
    window: Window,
    in_flight: u32,
    /// The suspect that runs alone here.
    alone: Option<PlaceRequestId>,
    /// The suspect that the target is kept empty for.
    reserved: Option<PlaceRequestId>,
    health: Health,
    report: LoadReport,
    residents: Residents,
}

impl TargetState {
    /// Returns the calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the most calls that may be in flight now.
    pub fn limit(&self, now: Instant) -> u32 {
        let window = if self.near { self.window.size() } else { self.far_limit() };

        self.health.limit(now, window)
    }

    /// Returns how many more calls another zone's target may get.
    ///
    /// Its own zone's queue knows nothing of what is sent from here. So little is sent, and
    /// nothing while it says that calls wait there.
    fn far_limit(&self) -> u32 {
        if self.report.waiting > 0 { 0 } else { self.far_cap.min(self.window.size()) }
    }

    /// Returns whether a suspect has it for itself, or will have.
    fn is_kept(&self) -> bool {
        self.alone.is_some() || self.reserved.is_some()
    }

    /// Returns whether the call could ever go here.
    fn suits(&self, id: TargetId, request: &PlaceRequest) -> bool {
        !self.leaving && self.window.declared() > 0 && request.avoid != Some(id)
    }

    /// Returns whether the call can go here now.
    fn is_free(&self, now: Instant, request_id: PlaceRequestId, request: &PlaceRequest) -> bool {
        match self.reserved {
            _ if self.alone.is_some() => false,
            Some(reserved) if reserved != request_id => false,
            _ if request.suspect => self.in_flight == 0 && self.limit(now) > 0,
            _ => self.in_flight < self.limit(now),
        }
    }
}

/// What to do with a call that is first in the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Place it here; so many prompt tokens will be computed.
    Take(TargetId, Tokens),
    /// Let it wait, and look again at this instant if nothing changes before.
    Wait(Option<Instant>),
}

/// A call for which a target is sought.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Who asked.
    pub request_id: PlaceRequestId,
    /// For what.
    pub request: &'a PlaceRequest,
    /// Since when it is passed over because a full target holds its prefix, if it is.
    pub passed: Option<Instant>,
}

/// All targets.
#[derive(Debug, Default)]
pub struct Targets {
    states: Map<TargetId, TargetState>,
    pools: Map<PoolId, Vec<TargetId>>,
}

impl Targets {
    /// Takes over the declared targets.
    ///
    /// A target that is no longer declared stays known, as leaving, until its calls end.
    pub fn configure(&mut self, config: &Config, zone: ZoneId) {
        let other_zones = config.fleet.zones.len().saturating_sub(1).max(1) as u32;
        self.states.values_mut().for_each(|state| state.leaving = true);

        for target in &config.targets {
            let id = TargetId::from_name(&target.name);
            let state = self.states.entry(id).or_insert_with(|| TargetState {
                pool: PoolId::from_name(&target.pool),
                near: true,
                leaving: false,
                far_cap: 0,
                window: Window::new(target.window),
                in_flight: 0,
                alone: None,
                reserved: None,
                health: Health::default(),
                report: LoadReport::default(),
                residents: Residents::default(),
            });

            state.pool = PoolId::from_name(&target.pool);
            state.near = ZoneId::from_name(&target.zone) == zone;
            state.leaving = target.leaving;
            state.far_cap = (target.window / (2 * other_zones)).max(1);
            state.window.declare(target.window);
            state.residents.resize(target.cache_tokens);
        }

        self.states.retain(|_, state| !state.leaving || state.in_flight > 0);
        self.states
            .values_mut()
            .filter(|state| state.leaving)
            .for_each(|state| state.reserved = None);
        self.index();
    }

    fn index(&mut self) {
        self.pools.clear();

        for (id, state) in &self.states {
            self.pools.entry(state.pool).or_default().push(*id);
        }

        self.pools.values_mut().for_each(|members| members.sort_unstable());
    }

    /// Returns a target.
    pub fn get(&self, target: TargetId) -> Option<&TargetState> {
        self.states.get(&target)
    }

    /// Takes in a load report, and returns the target's pool.
    pub fn report(&mut self, now: Instant, target: TargetId, report: LoadReport) -> Option<PoolId> {
        let state = self.states.get_mut(&target)?;
        state.report = report;
        state.window.adapt(now, report);

        Some(state.pool)
    }

    /// Takes in that a target dropped a prefix, unless that may be older than its last use.
    pub fn evicted(&mut self, now: Instant, target: TargetId, program: ProgramId) {
        let Some(state) = self.states.get_mut(&target) else { return };
        let Some(resident) = state.residents.get(program) else { return };

        if !resident.in_flight && now.since(resident.used) > EVENT_LAG {
            state.residents.drop(program);
        }
    }

    /// Returns whether any target of the pool could ever take the call.
    pub fn can_serve(&self, request: &PlaceRequest) -> bool {
        self.members(request.pool).any(|(id, state)| state.suits(id, request))
    }

    /// Returns whether any target of the pool has a place now.
    pub fn has_room(&self, now: Instant, pool: PoolId) -> bool {
        self.members(pool).any(|(_, state)| !state.leaving && state.in_flight < state.limit(now))
    }

    /// Returns the calls that the pool's targets of this zone can have in flight together.
    pub fn room(&self, now: Instant, pool: PoolId) -> u32 {
        let limits = self.members(pool).filter(|(_, state)| state.near && !state.leaving);

        limits.map(|(_, state)| state.limit(now)).sum()
    }

    /// Returns when a target of the pool that went away is tried again.
    pub fn next_probe(&self, now: Instant, pool: PoolId) -> Option<Instant> {
        let probes = self.members(pool).filter(|(_, state)| !state.leaving);

        probes.filter_map(|(_, state)| state.health.probe_at(now)).min()
    }

    /// Returns how long ago a program was last served in the pool.
    pub fn idle(&self, now: Instant, pool: PoolId, program: ProgramId) -> Option<Duration> {
        let uses = self.members(pool).filter_map(|(_, state)| state.residents.get(program));

        uses.map(|resident| now.since(resident.used)).min()
    }

    /// Returns the tokens that the caches of the pool's targets of this zone hold.
    pub fn cache(&self, pool: PoolId) -> Tokens {
        let near = self.members(pool).filter(|(_, state)| state.near && !state.leaving);

        near.map(|(_, state)| state.residents.capacity()).fold(Tokens(0), Tokens::plus)
    }

    /// Returns how many tokens of those caches will be used again, as expected now, prefix by
    /// prefix with its tenant.
    ///
    /// Prefixes of calls that wait are left out.
    pub fn cache_in_use<'a>(
        &'a self,
        now: Instant,
        pool: PoolId,
        estimates: &'a Estimates,
    ) -> impl Iterator<Item = (TenantId, f64)> + 'a {
        let near = self.members(pool).filter(|(_, state)| state.near && !state.leaving);
        let residents = near.flat_map(|(_, state)| state.residents.iter());
        let others = residents.filter(|resident| !resident.awaited);

        others.map(move |resident| {
            (resident.tenant, resident.tokens.0 as f64 * worth(now, resident, estimates))
        })
    }

    /// Returns the best place for a call.
    pub fn choose(&self, now: Instant, call: Candidate<'_>, estimates: &Estimates) -> Choice {
        let request = call.request;

        let free = self.members(request.pool).filter(|(id, state)| {
            state.suits(*id, request) && state.is_free(now, call.request_id, request)
        });
        let worth = |resident: &Resident| worth(now, resident, estimates);
        let best = free
            .map(|(id, state)| (!state.near, cost(state, request, worth), id))
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));

        let Some((_, _, target)) = best else { return Choice::Wait(None) };

        match self.better_soon(now, call, target, estimates) {
            Some(until) => Choice::Wait(Some(until)),
            None => Choice::Take(target, missing(&self.states[&target], request)),
        }
    }

    /// Returns until when the call had better wait for a full target that holds its prefix.
    ///
    /// Waiting is worth less than the time that computing the prefix anew would take.
    fn better_soon(
        &self,
        now: Instant,
        call: Candidate<'_>,
        target: TargetId,
        estimates: &Estimates,
    ) -> Option<Instant> {
        let request = call.request;
        let here = missing(&self.states[&target], request);
        let (_, state) = self
            .members(request.pool)
            .filter(|(id, state)| state.near && state.suits(*id, request) && !request.suspect)
            .filter(|(_, state)| state.health.limit(now, 1) > 0 && !state.is_kept())
            .min_by_key(|(id, state)| (missing(state, request), *id))?;

        // Every call in the batch stands still while a prompt is computed.
        let batch = f64::from(1 + self.states[&target].in_flight);
        let saved =
            here.minus(missing(state, request)).0 as f64 * estimates.seconds_per_computed() * batch;
        let next_place = estimates.mean_hold() / f64::from(state.in_flight.max(1));
        let worth = Duration::try_from_secs_f64(saved).unwrap_or_default();
        let until = call.passed.unwrap_or(now) + worth.min(LONGEST_PREFIX_WAIT);

        (saved > next_place && until > now).then_some(until)
    }

    /// Keeps a target of this zone empty for a suspect, unless one is kept already.
    pub fn reserve(&mut self, now: Instant, request_id: PlaceRequestId, request: &PlaceRequest) {
        let kept = self.members(request.pool).any(|(_, state)| state.is_kept());

        if kept || !request.suspect {
            return;
        }

        let target = self
            .members(request.pool)
            .filter(|(id, state)| state.suits(*id, request) && state.limit(now) > 0)
            .min_by_key(|(id, state)| (!state.near, state.in_flight, *id))
            .map(|(id, _)| id);

        if let Some(state) = target.and_then(|target| self.states.get_mut(&target)) {
            state.reserved = Some(request_id);
        }
    }

    /// Returns a suspect and the empty target that is kept for it.
    pub fn ready_suspect(&self, pool: PoolId, now: Instant) -> Option<(PlaceRequestId, TargetId)> {
        let empty = self
            .members(pool)
            .filter(|(_, state)| !state.leaving && state.in_flight == 0 && state.limit(now) > 0);

        empty.filter_map(|(id, state)| Some((state.reserved?, id))).next()
    }

    /// Keeps no target empty any more for a suspect that is withdrawn.
    pub fn unreserve(&mut self, pool: PoolId, request_id: PlaceRequestId) {
        for id in self.pools.get(&pool).into_iter().flatten() {
            if let Some(state) =
                self.states.get_mut(id).filter(|state| state.reserved == Some(request_id))
            {
                state.reserved = None;
            }
        }
    }

    /// Counts a call in.
    pub fn enter(&mut self, now: Instant, target: TargetId, call: Candidate<'_>, output: Tokens) {
        let Some(state) = self.states.get_mut(&target) else { return };
        let PlaceRequest { pool, prompt, suspect, .. } = *call.request;

        state.in_flight += 1;
        state.residents.hold(now, call.request, prompt.plus(output), true);

        if suspect {
            // Another target may have been kept empty for it meanwhile.
            self.unreserve(pool, call.request_id);
            self.states.entry(target).and_modify(|state| state.alone = Some(call.request_id));
        }
    }

    /// Counts a call out.
    pub fn leave(&mut self, target: TargetId, request_id: PlaceRequestId) {
        let Some(state) = self.states.get_mut(&target) else { return };

        state.in_flight = state.in_flight.saturating_sub(1);

        if state.alone == Some(request_id) {
            state.alone = None;
        }

        if state.leaving && state.in_flight == 0 {
            self.states.remove(&target);
            self.index();
        }
    }

    /// Learns from how a call ended.
    pub fn learn(&mut self, now: Instant, place: &Place, end: PlaceRelease) {
        let Some(state) = self.states.get_mut(&place.target) else { return };
        let prompt = place.request.prompt;

        match end.outcome {
            PlaceOutcome::NotSent => {
                let before = prompt.minus(place.computed_prompt);
                state.residents.hold(now, &place.request, before, false);
            }
            PlaceOutcome::Finished => {
                state.health.worked();
                state.residents.hold(now, &place.request, prompt.plus(end.output), false);
            }
            PlaceOutcome::Failed => state.residents.hold(now, &place.request, prompt, false),
            PlaceOutcome::Crashed => {
                state.health.crashed(now);
                state.residents.clear();
            }
        }
    }

    /// Notes whether a call of a program waits.
    pub fn set_awaited(&mut self, request: &PlaceRequest, awaited: bool) {
        for id in self.pools.get(&request.pool).into_iter().flatten() {
            if let Some(state) = self.states.get_mut(id) {
                state.residents.set_awaited(request.program, awaited);
            }
        }
    }

    /// Forgets a program that is over.
    pub fn forget(&mut self, program: ProgramId) {
        self.states.values_mut().for_each(|state| state.residents.drop(program));
    }

    fn members(&self, pool: PoolId) -> impl Iterator<Item = (TargetId, &TargetState)> {
        let ids = self.pools.get(&pool).map_or(&[][..], Vec::as_slice);

        ids.iter().filter_map(|id| Some((*id, self.states.get(id)?)))
    }
}

/// Returns the prompt tokens that a target would have to compute.
fn missing(state: &TargetState, request: &PlaceRequest) -> Tokens {
    request.prompt.minus(state.residents.cached(request.program, request.prompt))
}

/// Returns the chance that a prefix is used again.
fn worth(now: Instant, resident: &Resident, estimates: &Estimates) -> f64 {
    if resident.in_flight || resident.awaited {
        return 1.0;
    }

    estimates.returns(resident.class, now.since(resident.used))
}

/// Returns what placing a call here costs, in tokens to be computed: those of its own prompt,
/// those of prefixes that have to go and may come back, and the slowdown by a fuller batch.
fn cost(state: &TargetState, request: &PlaceRequest, worth: impl Fn(&Resident) -> f64) -> f64 {
    let missing = missing(state, request);
    let room = state.residents.cost_of_room(missing.plus(request.output), worth);

    missing.0 as f64 + room + LOAD_TOKENS * f64::from(state.in_flight)
}
