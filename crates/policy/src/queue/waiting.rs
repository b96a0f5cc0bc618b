//! The calls that wait, and until when each can still be served in time.

use std::collections::BTreeSet;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, TenantId};
use camphorwalk_core::time::Instant;

use super::lanes::{LaneId, Position};
use crate::shared_types::{PlaceRequest, PlaceRequestId};

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// What was asked.
    pub request: PlaceRequest,
    /// Since when it waits.
    pub since: Instant,
    /// Since when it is passed over because a full target holds its prefix, if it is.
    pub passed: Option<Instant>,
    /// Its program's deadline.
    pub deadline: Instant,
    /// From when it can no longer be served in time, and is refused.
    pub refuse_at: Instant,
    /// Its lane.
    pub lane: LaneId,
    /// Its place in the lane.
    pub position: Position,
}

/// All calls that wait.
#[derive(Debug, Default)]
pub struct Waiting {
    calls: Map<PlaceRequestId, Waiter>,
    refusals: BTreeSet<(Instant, PlaceRequestId)>,
    tenants: Map<TenantId, usize>,
}

impl Waiting {
    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns how many calls of a tenant wait.
    pub fn of_tenant(&self, tenant: TenantId) -> usize {
        self.tenants.get(&tenant).copied().unwrap_or_default()
    }

    /// Returns a call.
    pub fn get(&self, request_id: PlaceRequestId) -> Option<&Waiter> {
        self.calls.get(&request_id)
    }

    /// Notes that a call is passed over because a full target holds its prefix.
    pub fn pass(&mut self, now: Instant, request_id: PlaceRequestId) {
        if let Some(waiter) = self.calls.get_mut(&request_id) {
            waiter.passed.get_or_insert(now);
        }
    }

    /// Adds a call.
    pub fn insert(&mut self, request_id: PlaceRequestId, waiter: Waiter) {
        *self.tenants.entry(waiter.request.tenant).or_default() += 1;
        self.refusals.insert((waiter.refuse_at, request_id));
        self.calls.insert(request_id, waiter);
    }

    /// Removes a call.
    pub fn remove(&mut self, request_id: PlaceRequestId) -> Option<Waiter> {
        let waiter = self.calls.remove(&request_id)?;
        self.refusals.remove(&(waiter.refuse_at, request_id));

        if let Some(count) = self.tenants.get_mut(&waiter.request.tenant) {
            *count -= 1;

            if *count == 0 {
                self.tenants.remove(&waiter.request.tenant);
            }
        }

        Some(waiter)
    }

    /// Returns the askers of a host, in order.
    pub fn of_host(&self, host: HostId) -> Vec<PlaceRequestId> {
        self.matching(|waiter| waiter.position.request_id.host == host)
    }

    /// Returns the askers of the calls that `which` picks, in order.
    pub fn matching(&self, which: impl Fn(&Waiter) -> bool) -> Vec<PlaceRequestId> {
        let calls = self.calls.iter().filter(|(_, waiter)| which(waiter));
        let mut askers: Vec<PlaceRequestId> = calls.map(|(request_id, _)| *request_id).collect();
        askers.sort_unstable();

        askers
    }

    /// Returns a call that is to be refused by now.
    pub fn overdue(&self, now: Instant) -> Option<PlaceRequestId> {
        self.refusals.first().filter(|(at, _)| *at <= now).map(|(_, request_id)| *request_id)
    }

    /// Returns when the next call is to be refused.
    pub fn next_refusal(&self) -> Option<Instant> {
        self.refusals.first().map(|(at, _)| *at)
    }
}
