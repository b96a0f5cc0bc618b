//! The order of the calls that wait for one pool.

use std::collections::{BTreeMap, BTreeSet};

use camphorwalk_core::ids::{HostId, TenantId};
use camphorwalk_core::time::Instant;

use super::shares::ServiceAccounts;
use crate::shared_types::PlaceRequestId;

/// One grant in this many goes to the lane that has waited longest for one.
///
/// With strict ranks and shares alone, a lane can starve: a class below a busy one, or a tenant
/// whose account is far ahead after a single huge call. With this rule, each lane that has a call
/// which can be placed receives at least one of the next `AGED_GRANT_INTERVAL` times the number
/// of lanes grants in its pool.
pub const AGED_GRANT_INTERVAL: u32 = 8;

/// How far a tenant's service may exceed that of the least served tenant before its class rank is
/// ignored, in units of [`ServiceAccounts::service`].
///
/// Without this limit, a tenant could send all its work in the first class and be served first,
/// however much service it has already received.
const MAX_SERVICE_LEAD: u64 = 4_000_000;

/// Identifies a lane: the waiting calls of one tenant whose classes have the same rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneId {
    /// The rank of the class; lower ranks go first.
    pub rank: u8,
    /// The tenant.
    pub tenant: TenantId,
}

/// The sort key of a call within its lane; lower keys go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// 0 for a new program, and otherwise higher the more tokens were processed for the program so
    /// far (`attained_level` in `pool`).
    pub level: u8,
    /// The program's deadline.
    pub deadline: Instant,
    /// The number of the request in the order in which requests arrived at this host's queues.
    pub arrival: u64,
    /// Identifies the place request.
    pub request_id: PlaceRequestId,
}

/// The lowest position of a started program; level 0 is for new programs.
const MIN_STARTED_POSITION: Position = Position {
    level: 1,
    deadline: Instant(0),
    arrival: 0,
    request_id: PlaceRequestId { host: HostId(0), number: 0 },
};

/// How many calls of new programs are considered in each lane.
const MAX_NEW_CANDIDATES: usize = 2;

/// How many calls of started programs are considered in each lane.
const MAX_STARTED_CANDIDATES: usize = 4;

/// The waiting calls of one lane.
#[derive(Debug)]
struct Lane {
    /// The calls in order.
    calls: BTreeSet<Position>,
    /// The logical clock at the lane's last grant, or when its first call was inserted.
    waiting_since: u64,
}

/// The lanes of one pool.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: BTreeMap<LaneId, Lane>,
    /// Incremented with each grant and each insertion.
    logical_clock: u64,
    grants_since_aged: u32,
}

/// The sort key of a lane; lower keys go first.
pub type LaneOrder = (u64, u64, LaneId);

impl Lanes {
    /// Adds a waiting call.
    pub fn insert(&mut self, id: LaneId, position: Position) {
        self.logical_clock += 1;
        let waiting_since = self.logical_clock;
        let lane =
            self.lanes.entry(id).or_insert_with(|| Lane { calls: BTreeSet::new(), waiting_since });

        lane.calls.insert(position);
    }

    /// Removes a waiting call.
    pub fn remove(&mut self, id: LaneId, position: &Position) {
        let Some(lane) = self.lanes.get_mut(&id) else { return };
        lane.calls.remove(position);

        if lane.calls.is_empty() {
            self.lanes.remove(&id);
        }
    }

    /// Records that a call of this lane was granted a place.
    pub fn record_grant(&mut self, id: LaneId) {
        let is_longest_waiting = self.longest_waiting().is_none_or(|oldest| oldest == id);
        self.grants_since_aged = if is_longest_waiting { 0 } else { self.grants_since_aged + 1 };
        self.logical_clock += 1;

        if let Some(lane) = self.lanes.get_mut(&id) {
            lane.waiting_since = self.logical_clock;
        }
    }

    /// Returns whether the next grant goes to the lane that has waited longest.
    pub fn is_aged_grant_next(&self) -> bool {
        self.grants_since_aged + 1 >= AGED_GRANT_INTERVAL
    }

    fn longest_waiting(&self) -> Option<LaneId> {
        self.lanes.iter().min_by_key(|(_, lane)| lane.waiting_since).map(|(id, _)| *id)
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Returns the lane that follows `last` in the order, or the first lane if `last` is `None`.
    pub fn next_after(
        &self,
        last: Option<LaneOrder>,
        accounts: &ServiceAccounts,
    ) -> Option<LaneOrder> {
        let min_service = accounts.min_service();
        let orders =
            self.lanes.iter().map(|(id, lane)| self.order(*id, lane, accounts, min_service));

        orders.filter(|order| last.is_none_or(|last| *order > last)).min()
    }

    fn order(
        &self,
        id: LaneId,
        lane: &Lane,
        accounts: &ServiceAccounts,
        min_service: u64,
    ) -> LaneOrder {
        if self.is_aged_grant_next() {
            return (lane.waiting_since, 0, id);
        }

        let service = accounts.service(id.tenant);
        let is_within_lead = service <= min_service.saturating_add(MAX_SERVICE_LEAD);
        let rank = if is_within_lead { u64::from(id.rank) } else { u64::from(u8::MAX) };

        (rank, service, id)
    }

    /// Returns the calls of a lane that are considered for the next grant: first those of new
    /// programs, then those of started programs.
    ///
    /// Both kinds are included because new programs may be held back.
    pub fn candidates(&self, id: LaneId) -> impl Iterator<Item = PlaceRequestId> + '_ {
        let calls = self.lanes.get(&id).map(|lane| &lane.calls);
        let new = calls.into_iter().flat_map(|calls| calls.range(..MIN_STARTED_POSITION));
        let started = calls.into_iter().flat_map(|calls| calls.range(MIN_STARTED_POSITION..));

        new.take(MAX_NEW_CANDIDATES)
            .chain(started.take(MAX_STARTED_CANDIDATES))
            .map(|position| position.request_id)
    }

    /// Returns whether a call of a started program waits in the lane.
    pub fn has_started_program(&self, id: LaneId) -> bool {
        let last = self.lanes.get(&id).and_then(|lane| lane.calls.last());

        last.is_some_and(|position| *position >= MIN_STARTED_POSITION)
    }

    /// Returns the number of calls in the lane that go before this position.
    pub fn count_ahead(&self, id: LaneId, position: &Position) -> usize {
        self.lanes.get(&id).map_or(0, |lane| lane.calls.range(..position).count())
    }
}
