//! The order among the calls that wait for one pool.

use std::collections::{BTreeMap, BTreeSet};

use camphorwalk_core::ids::{HostId, TenantId};
use camphorwalk_core::time::Instant;

use super::shares::Shares;
use crate::shared_types::PlaceRequestId;

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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
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
    pub request_id: PlaceRequestId,
}

/// The least position of a program under way: level 0 is for new programs.
const FIRST_UNDER_WAY: Position = Position {
    level: 1,
    deadline: Instant(0),
    arrival: 0,
    request_id: PlaceRequestId { host: HostId(0), number: 0 },
};

/// How many calls of new programs in a lane are looked at for one that can be placed.
const LOOK_AT_NEW: usize = 2;

/// How many calls of programs under way in a lane are looked at for one that can be placed.
const LOOK_AT_UNDER_WAY: usize = 4;

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

    /// Returns whether the next grant goes to the lane that has waited longest.
    pub fn is_aged_turn(&self) -> bool {
        self.grants_since_aged + 1 >= AGED_TURN
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
        if self.is_aged_turn() {
            return (lane.since, 0, id);
        }

        let service = shares.service(id.tenant);
        let in_credit = service <= least.saturating_add(CLASS_CREDIT);
        let rank = if in_credit { u64::from(id.rank) } else { u64::from(u8::MAX) };

        (rank, service, id)
    }

    /// Returns the calls of a lane that come into question: the first of new programs, then
    /// the first of programs under way.
    ///
    /// Both are looked at, since new programs may be held back.
    pub fn first(&self, id: LaneId) -> impl Iterator<Item = PlaceRequestId> + '_ {
        let calls = self.lanes.get(&id).map(|lane| &lane.calls);
        let new = calls.into_iter().flat_map(|calls| calls.range(..FIRST_UNDER_WAY));
        let under_way = calls.into_iter().flat_map(|calls| calls.range(FIRST_UNDER_WAY..));

        new.take(LOOK_AT_NEW)
            .chain(under_way.take(LOOK_AT_UNDER_WAY))
            .map(|position| position.request_id)
    }

    /// Returns whether a program under way waits in a lane.
    pub fn has_under_way(&self, id: LaneId) -> bool {
        let last = self.lanes.get(&id).and_then(|lane| lane.calls.last());

        last.is_some_and(|position| *position >= FIRST_UNDER_WAY)
    }

    /// Returns how many calls of a lane go before this one.
    pub fn ahead(&self, id: LaneId, position: &Position) -> usize {
        self.lanes.get(&id).map_or(0, |lane| lane.calls.range(..position).count())
    }
}
