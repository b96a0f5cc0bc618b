//! The waiting calls, and the times at which they are refused.

use std::collections::BTreeSet;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, TenantId};
use camphorwalk_core::time::Instant;

use super::lanes::{LaneId, Position};
use crate::shared_types::{PlaceRequest, PlaceRequestId};

/// A waiting call.
#[derive(Clone, Copy, Debug)]
pub struct WaitingCall {
    /// The requirements of the call.
    pub request: PlaceRequest,
    /// When the call started to wait.
    pub waiting_since: Instant,
    /// When the queue first passed over the call to let it wait for a busy target that has the
    /// call's prefix cached; `None` if it has not.
    pub passed_over_since: Option<Instant>,
    /// The deadline of the call's program.
    pub deadline: Instant,
    /// When the call is refused because it can no longer be served in time.
    pub refuse_at: Instant,
    /// The lane of the call.
    pub lane: LaneId,
    /// The sort key within the lane.
    pub position: Position,
}

/// The waiting calls of all pools whose queue this host runs.
#[derive(Debug, Default)]
pub struct WaitingCalls {
    calls: Map<PlaceRequestId, WaitingCall>,
    refusals: BTreeSet<(Instant, PlaceRequestId)>,
    tenant_counts: Map<TenantId, usize>,
}

impl WaitingCalls {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of waiting calls of a tenant.
    pub fn count_of_tenant(&self, tenant: TenantId) -> usize {
        self.tenant_counts.get(&tenant).copied().unwrap_or_default()
    }

    /// Returns a waiting call.
    pub fn get(&self, request_id: PlaceRequestId) -> Option<&WaitingCall> {
        self.calls.get(&request_id)
    }

    /// Records that the queue passes over a call to let it wait for a busy target that has the
    /// call's prefix cached. Only the first time is kept.
    pub fn mark_passed_over(&mut self, now: Instant, request_id: PlaceRequestId) {
        if let Some(call) = self.calls.get_mut(&request_id) {
            call.passed_over_since.get_or_insert(now);
        }
    }

    /// Adds a waiting call.
    pub fn insert(&mut self, request_id: PlaceRequestId, call: WaitingCall) {
        *self.tenant_counts.entry(call.request.tenant).or_default() += 1;
        self.refusals.insert((call.refuse_at, request_id));
        self.calls.insert(request_id, call);
    }

    /// Removes a waiting call.
    pub fn remove(&mut self, request_id: PlaceRequestId) -> Option<WaitingCall> {
        let call = self.calls.remove(&request_id)?;
        self.refusals.remove(&(call.refuse_at, request_id));

        if let Some(count) = self.tenant_counts.get_mut(&call.request.tenant) {
            *count -= 1;

            if *count == 0 {
                self.tenant_counts.remove(&call.request.tenant);
            }
        }

        Some(call)
    }

    /// Returns the waiting requests that a host sent, sorted.
    pub fn requests_of_host(&self, host: HostId) -> Vec<PlaceRequestId> {
        self.matching(|call| call.position.request_id.host == host)
    }

    /// Returns the requests of the waiting calls that match `predicate`, sorted.
    pub fn matching(&self, predicate: impl Fn(&WaitingCall) -> bool) -> Vec<PlaceRequestId> {
        let calls = self.calls.iter().filter(|(_, call)| predicate(call));
        let mut request_ids: Vec<PlaceRequestId> =
            calls.map(|(request_id, _)| *request_id).collect();
        request_ids.sort_unstable();

        request_ids
    }

    /// Returns a call that is due to be refused.
    pub fn due_refusal(&self, now: Instant) -> Option<PlaceRequestId> {
        self.refusals.first().filter(|(at, _)| *at <= now).map(|(_, request_id)| *request_id)
    }

    /// Returns when the next call is due to be refused.
    pub fn next_refusal(&self) -> Option<Instant> {
        self.refusals.first().map(|(at, _)| *at)
    }
}
