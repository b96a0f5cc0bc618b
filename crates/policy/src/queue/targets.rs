//! The targets of each pool and their windows.

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{PoolId, TargetId, ZoneId};

use super::LoadReport;
use crate::wire::PlaceRequest;

/// A target as its queue sees it.
#[derive(Clone, Copy, Debug)]
pub struct TargetState {
    /// The pool.
    pub pool: PoolId,
    /// Whether it stands in the zone of this host.
    pub near: bool,
    /// Whether it is leaving, and gets nothing new.
    pub leaving: bool,
    /// The most calls in flight.
    pub window: u32,
    /// The calls in flight.
    pub in_flight: u32,
    /// Whether a call runs alone on it.
    pub alone: bool,
    /// The last report.
    pub report: LoadReport,
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
        for state in self.states.values_mut() {
            state.leaving = true;
        }

        for target in &config.targets {
            let id = TargetId::from_name(&target.name);
            let state = self.states.entry(id).or_insert(TargetState {
                pool: PoolId::from_name(&target.pool),
                near: true,
                leaving: false,
                window: 0,
                in_flight: 0,
                alone: false,
                report: LoadReport::default(),
            });

            state.pool = PoolId::from_name(&target.pool);
            state.near = ZoneId::from_name(&target.zone) == zone;
            state.leaving = target.leaving;
            state.window = target.window;
        }

        self.states.retain(|_, state| !state.leaving || state.in_flight > 0);
        self.pools.clear();

        for (id, state) in &self.states {
            self.pools.entry(state.pool).or_default().push(*id);
        }

        for members in self.pools.values_mut() {
            members.sort_unstable();
        }
    }

    /// Returns a target.
    pub fn get(&self, target: TargetId) -> Option<&TargetState> {
        self.states.get(&target)
    }

    /// Takes in a load report.
    pub fn report(&mut self, target: TargetId, report: LoadReport) {
        if let Some(state) = self.states.get_mut(&target) {
            state.report = report;
        }
    }

    /// Returns whether any target of the pool takes calls.
    pub fn can_serve(&self, pool: PoolId) -> bool {
        self.members(pool).any(|(_, state)| !state.leaving && state.window > 0)
    }

    /// Returns the least loaded target that has a place for the call, in this zone if it can be.
    pub fn choose(&self, request: &PlaceRequest) -> Option<TargetId> {
        let free = self.members(request.pool).filter(|(id, state)| {
            !state.leaving
                && !state.alone
                && state.in_flight < state.window
                && (!request.suspect || state.in_flight == 0)
                && request.avoid != Some(*id)
        });

        free.min_by_key(|(id, state)| (!state.near, state.in_flight, *id)).map(|(id, _)| id)
    }

    /// Counts a call in.
    pub fn enter(&mut self, target: TargetId, alone: bool) {
        if let Some(state) = self.states.get_mut(&target) {
            state.in_flight += 1;
            state.alone = alone;
        }
    }

    /// Counts a call out.
    pub fn leave(&mut self, target: TargetId) {
        if let Some(state) = self.states.get_mut(&target) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.alone = false;
        }
    }

    fn members(&self, pool: PoolId) -> impl Iterator<Item = (TargetId, &TargetState)> {
        let ids = self.pools.get(&pool).map_or(&[][..], Vec::as_slice);

        ids.iter().filter_map(|id| Some((*id, self.states.get(id)?)))
    }
}
