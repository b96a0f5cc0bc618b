//! The order among the calls that wait for one pool.

use std::collections::{BTreeMap, BTreeSet};

use camphorwalk_core::ids::TenantId;
use camphorwalk_core::time::Instant;

use super::shares::Shares;
use crate::wire::Asker;

/// One in so many grants goes to the lane that has waited longest for one.
///
/// Strict ranks and shares alone can starve: a class below a busy one, or a tenant whose one
/// huge call put its account far ahead. With this, each lane that has a call which can be
/// placed gets a grant within `AGED_TURN` times the number of lanes grants of its pool.
pub const AGED_TURN: u32 = 8;

/// How far a tenant's service may be ahead of the least served one's before its class counts
/// for nothing, in units of [`Shares::service`].
///
/// Else a tenant could send all its work in the first class and be served before the others
/// whatever it had already got.
const CLASS_CREDIT: u64 = 4_000_000;

/// The calls of one tenant in one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneId {
    /// The rank of the class.
    pub rank: u8,
    /// The tenant.
    pub tenant: TenantId,
}

/// A call's place within its lane: lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The level of service that its program has attained.
    pub level: u8,
    /// Its program's deadline.
    pub deadline: Instant,
    /// The number of its arrival.
    pub arrival: u64,
    /// Who asked.
    pub asker: Asker,
}

#[derive(Debug)]
struct Lane {
    calls: BTreeSet<Position>,
    /// The number of the grant, or of the arrival into the empty lane, since which it waits.
    since: u64,
}

/// The lanes of one pool.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: BTreeMap<LaneId, Lane>,
    /// Counts grants and lanes that begin to wait.
    clock: u64,
    grants_since_aged: u32,
}

/// The place of a lane in the order: lower goes first.
pub type LaneOrder = (u64, u64, LaneId);

impl Lanes {
    /// Adds a call.
    pub fn insert(&mut self, id: LaneId, position: Position) {
        self.clock += 1;
        let since = self.clock;
        let lane = self.lanes.entry(id).or_insert_with(|| Lane { calls: BTreeSet::new(), since });

        lane.calls.insert(position);
    }

    /// Removes a call.
    pub fn remove(&mut self, id: LaneId, position: &Position) {
        let Some(lane) = self.lanes.get_mut(&id) else { return };
        lane.calls.remove(position);

        if lane.calls.is_empty() {
            self.lanes.remove(&id);
        }
    }

    /// Notes that a call of this lane was granted a place.
    pub fn granted(&mut self, id: LaneId) {
        let was_aged = self.oldest().is_none_or(|oldest| oldest == id);
        self.grants_since_aged = if was_aged { 0 } else { self.grants_since_aged + 1 };
        self.clock += 1;

        if let Some(lane) = self.lanes.get_mut(&id) {
            lane.since = self.clock;
        }
    }

    fn oldest(&self) -> Option<LaneId> {
        self.lanes.iter().min_by_key(|(_, lane)| lane.since).map(|(id, _)| *id)
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Returns the lane that comes next after `last` in the order, from the first if `None`.
    pub fn after(&self, last: Option<LaneOrder>, shares: &Shares) -> Option<LaneOrder> {
        let least = shares.least();
        let orders = self.lanes.iter().map(|(id, lane)| self.order(*id, lane, shares, least));

        orders.filter(|order| last.is_none_or(|last| *order > last)).min()
    }

    fn order(&self, id: LaneId, lane: &Lane, shares: &Shares, least: u64) -> LaneOrder {
        if self.grants_since_aged + 1 >= AGED_TURN {
            return (lane.since, 0, id);
        }

        let service = shares.service(id.tenant);
        let in_credit = service <= least.saturating_add(CLASS_CREDIT);
        let rank = if in_credit { u64::from(id.rank) } else { u64::from(u8::MAX) };

        (rank, service, id)
    }

    /// Returns the first calls of a lane.
    pub fn first(&self, id: LaneId, count: usize) -> impl Iterator<Item = Asker> + '_ {
        let calls = self.lanes.get(&id).into_iter().flat_map(|lane| lane.calls.iter());

        calls.take(count).map(|position| position.asker)
    }

    /// Returns how many calls of a lane go before this one.
    pub fn ahead(&self, id: LaneId, position: &Position) -> usize {
        self.lanes.get(&id).map_or(0, |lane| lane.calls.range(..position).count())
    }

    /// Returns the calls of all lanes, in lane order.
    pub fn all(&self) -> impl Iterator<Item = Asker> + '_ {
        self.lanes.values().flat_map(|lane| lane.calls.iter().map(|position| position.asker))
    }
}
