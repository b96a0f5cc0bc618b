//! The places that are granted and not yet given back.

use std::collections::BTreeSet;
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, TargetId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use crate::shared_types::{PlaceRequest, PlaceRequestId};

/// How long after its call's deadline a place is taken back.
///
/// The message that gives a place back can be lost with its connection, and a question can
/// arrive after its own withdrawal on another connection. Either would keep a place for ever
/// and shrink the window for good. No attempt runs past its deadline, so a place this much
/// older is certainly free.
const GRACE: Duration = Duration::from_secs(5);

/// A place that a call holds at a target.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// What was asked.
    pub request: PlaceRequest,
    /// The target.
    pub target: TargetId,
    /// When it was granted.
    pub granted: Instant,
    /// The prompt tokens that were expected to be computed.
    pub computed_prompt: Tokens,
    /// What its tenant was charged.
    pub charged: Tokens,
    /// Its call's deadline.
    pub deadline: Instant,
}

impl Place {
    /// Returns when it is taken back, if nobody gives it back before.
    fn expiry(&self) -> Instant {
        self.deadline + GRACE
    }
}

/// All places.
#[derive(Debug, Default)]
pub struct Places {
    places: Map<PlaceRequestId, Place>,
    expiries: BTreeSet<(Instant, PlaceRequestId)>,
}

impl Places {
    /// Returns how many places are held.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns the place of an asker.
    pub fn get(&self, request_id: PlaceRequestId) -> Option<&Place> {
        self.places.get(&request_id)
    }

    /// Adds a place.
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

    /// Returns the askers of a host, in order.
    pub fn of_host(&self, host: HostId) -> Vec<PlaceRequestId> {
        let mut askers: Vec<PlaceRequestId> =
            self.places.keys().copied().filter(|request_id| request_id.host == host).collect();
        askers.sort_unstable();

        askers
    }

    /// Returns a place that is to be taken back by now.
    pub fn expired(&self, now: Instant) -> Option<PlaceRequestId> {
        self.expiries.first().filter(|(at, _)| *at <= now).map(|(_, request_id)| *request_id)
    }

    /// Returns when the next place is to be taken back.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(at, _)| *at)
    }
}
