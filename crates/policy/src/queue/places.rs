//! The places that are granted and not yet released.

use std::collections::BTreeSet;
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, TargetId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use crate::shared_types::{PlaceRequest, PlaceRequestId};

/// How long after the deadline of a call's program the queue releases the call's place by itself.
///
/// A release message can be lost with its connection. A request can arrive after its own withdrawal
/// if the two are sent over different connections. Either would occupy a place forever and reduce
/// the target's window permanently. No attempt runs past its program's deadline, so a place that is
/// still held this long after the deadline is certainly unused.
const RELEASE_GRACE: Duration = Duration::from_secs(5);

/// A place that a call holds at a target.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// The request that was granted.
    pub request: PlaceRequest,
    /// The target.
    pub target: TargetId,
    /// When the place was granted.
    pub granted_at: Instant,
    /// The number of prompt tokens that the target was expected to compute at the time of the
    /// grant.
    pub computed_prompt: Tokens,
    /// The service that the tenant was charged at the grant.
    pub charged: Tokens,
    /// The deadline of the call's program.
    pub deadline: Instant,
}

impl Place {
    /// Returns when the queue releases the place by itself.
    fn expiry(&self) -> Instant {
        self.deadline + RELEASE_GRACE
    }
}

/// The places that the queues of this host granted and that are not released yet, by request.
#[derive(Debug, Default)]
pub struct Places {
    places: Map<PlaceRequestId, Place>,
    expiries: BTreeSet<(Instant, PlaceRequestId)>,
}

impl Places {
    /// Returns the number of granted places.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns the place granted to a request.
    pub fn get(&self, request_id: PlaceRequestId) -> Option<&Place> {
        self.places.get(&request_id)
    }

    /// Adds a granted place.
    pub fn insert(&mut self, request_id: PlaceRequestId, place: Place) {
        self.places.insert(request_id, place);
        self.expiries.insert((place.expiry(), request_id));
    }

    /// Removes a place.
    pub fn remove(&mut self, request_id: PlaceRequestId) -> Option<Place> {
        let place = self.places.remove(&request_id)?;
        self.expiries.remove(&(place.expiry(), request_id));

        Some(place)
    }

    /// Returns the requests that a host sent and that hold a place, sorted.
    pub fn requests_of_host(&self, host: HostId) -> Vec<PlaceRequestId> {
        let mut request_ids: Vec<PlaceRequestId> =
            self.places.keys().copied().filter(|request_id| request_id.host == host).collect();
        request_ids.sort_unstable();

        request_ids
    }

    /// Returns a request whose place has expired.
    pub fn expired(&self, now: Instant) -> Option<PlaceRequestId> {
        self.expiries.first().filter(|(at, _)| *at <= now).map(|(_, request_id)| *request_id)
    }

    /// Returns when the next place expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(at, _)| *at)
    }
}
