//! The calls that wait, in the order in which they are served.

use std::collections::{BTreeMap, BTreeSet};

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{ClassId, HostId, PoolId, TargetId};
use camphorwalk_core::time::Instant;

use crate::wire::{Asker, PlaceRequest};

/// A call that was chosen, with its target.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Who asked.
    pub asker: Asker,
    /// For what.
    pub request: PlaceRequest,
    /// Where it may go.
    pub target: TargetId,
}

/// A call's place in the order: class rank, then arrival.
type Position = (u8, u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: PlaceRequest,
    deadline: Instant,
    position: Position,
}

/// All calls that wait.
#[derive(Debug, Default)]
pub struct Waiting {
    entries: Map<Asker, Entry>,
    pools: BTreeMap<PoolId, BTreeMap<Position, Asker>>,
    deadlines: BTreeSet<(Instant, Asker)>,
    ranks: Map<ClassId, u8>,
    arrivals: u64,
}

impl Waiting {
    /// Takes over the declared ranks, for calls that come from now on.
    pub fn configure(&mut self, config: &Config) {
        let classes = config.fleet.classes.iter();

        self.ranks = classes.map(|class| (ClassId::from_name(&class.name), class.rank)).collect();
    }

    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether this asker waits.
    pub fn contains(&self, asker: Asker) -> bool {
        self.entries.contains_key(&asker)
    }

    /// Returns the pools that calls wait for.
    pub fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().copied().collect()
    }

    /// Returns the first deadline of a call that waits.
    pub fn first_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Adds a call.
    pub fn insert(&mut self, now: Instant, asker: Asker, request: PlaceRequest) {
        let rank = self.ranks.get(&request.class).copied().unwrap_or(u8::MAX);
        let deadline = now + request.deadline_left;
        let position = (rank, self.arrivals);

        self.arrivals += 1;
        self.entries.insert(asker, Entry { request, deadline, position });
        self.pools.entry(request.pool).or_default().insert(position, asker);
        self.deadlines.insert((deadline, asker));
    }

    /// Removes a call, if it waits.
    pub fn remove(&mut self, asker: Asker) {
        let Some(entry) = self.entries.remove(&asker) else { return };
        self.deadlines.remove(&(entry.deadline, asker));

        if let Some(pool) = self.pools.get_mut(&entry.request.pool) {
            pool.remove(&entry.position);

            if pool.is_empty() {
                self.pools.remove(&entry.request.pool);
            }
        }
    }

    /// Removes the calls of a host.
    pub fn remove_host(&mut self, host: HostId) {
        let askers: Vec<Asker> =
            self.entries.keys().copied().filter(|asker| asker.host == host).collect();

        for asker in askers {
            self.remove(asker);
        }
    }

    /// Removes and returns the calls of a pool.
    pub fn take_pool(&mut self, pool: PoolId) -> Vec<Asker> {
        let askers: Vec<Asker> =
            self.pools.get(&pool).into_iter().flat_map(|calls| calls.values().copied()).collect();

        for asker in &askers {
            self.remove(*asker);
        }

        askers
    }

    /// Removes and returns the calls whose deadline has passed.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Asker> {
        let overdue = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        let askers: Vec<Asker> = overdue.map(|(_, asker)| *asker).collect();

        for asker in &askers {
            self.remove(*asker);
        }

        askers
    }

    /// Removes and returns the first call of a pool for which `choose` finds a target.
    pub fn next(
        &mut self,
        pool: PoolId,
        choose: impl Fn(&PlaceRequest) -> Option<TargetId>,
    ) -> Option<Call> {
        let call = self.pools.get(&pool)?.values().find_map(|asker| {
            let request = self.entries.get(asker)?.request;
            let target = choose(&request)?;

            Some(Call { asker: *asker, request, target })
        })?;

        self.remove(call.asker);

        Some(call)
    }
}
