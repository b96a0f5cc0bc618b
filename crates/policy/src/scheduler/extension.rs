//! Extends the ownership of columns past the end of their leases while the platform is unavailable.
//!
//! Without this, every tenant would be refused as over its rate a few seconds into an outage,
//! because no host may use slices that another host could have taken by now. A column can only be
//! taken by a host of the same zone, and only after that host has ended the session of the owner.
//! So a host keeps its columns as long as every other host of its zone reports that it cannot reach
//! the platform either, and promises not to end any session for a while. The promise counts from
//! the time when this host sent the heartbeat that the promise echoes. That was before the promise
//! was made, so a delayed message or a pause of this host can only shorten it, never lengthen it.
//!
//! A silent host of the zone prevents the extension, because it may be able to reach the platform.

use std::time::Duration;

use camphorwalk_core::hash::Set;
use camphorwalk_core::ids::{HostId, ZoneId};
use camphorwalk_core::messages::gossip::Gossip;
use camphorwalk_core::time::Instant;

use super::Scheduler;
use super::controllers::ControllerEvent;
use crate::slices::SliceEvent;

/// How long a host that cannot reach the platform promises not to end any session.
pub(super) const PROMISE_DURATION: Duration = Duration::from_secs(10);

/// How long a promise is relied on: shorter than the promise by a margin for clock drift.
const PROMISE_VALID_FOR: Duration = Duration::from_secs(8);

/// The interval between extensions.
const EXTENSION_INTERVAL: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Records the promise in another host's gossip, or clears that host's earlier promise if there
    /// is none or if it echoes no heartbeat of this host.
    pub(super) fn record_promise(&mut self, from: HostId, gossip: &Gossip) {
        let sent = self.membership.heartbeat_sent_at(gossip.echo_session, gossip.echo);

        match sent.filter(|_| gossip.without_platform) {
            Some(sent) => {
                self.promises.insert(from, sent);
            }
            None => {
                self.promises.remove(&from);
            }
        }
    }

    /// Extends the ownership of this host's columns if its session cannot be renewed now and no
    /// other host can have taken them. Does so at most once per [`EXTENSION_INTERVAL`].
    pub(super) fn extend_columns(&mut self, now: Instant) {
        if !self.leases.is_renewal_failing() || now < self.next_extension {
            return;
        }
        self.next_extension = now + EXTENSION_INTERVAL;

        let Some(until) = self.extended_until(now) else {
            return;
        };
        if until <= self.state.leases_valid_until || until <= now {
            return;
        }
        for column in self.leases.columns() {
            let event = SliceEvent::Owned { column, until, fresh: false };
            self.events.push_back(ControllerEvent::Slice(event));
        }
    }

    /// Returns the instant until which no other host of this zone will end this host's session, or
    /// `None` if another host of this zone has made no promise.
    fn extended_until(&self, now: Instant) -> Option<Instant> {
        let mut until = now + PROMISE_VALID_FOR;

        for host in self.other_hosts_of_zone() {
            until = until.min(*self.promises.get(&host)? + PROMISE_VALID_FOR);
        }

        Some(until)
    }

    /// Returns the other hosts of this zone, both those with a session at the last read from the
    /// platform and those that are live by gossip.
    fn other_hosts_of_zone(&self) -> Set<HostId> {
        let zone = self.state.zone;
        let listed = self
            .state
            .sessions
            .iter()
            .filter(|s| ZoneId::from_name(&s.zone) == zone)
            .map(|s| HostId::from_name(&s.host));
        let live =
            self.membership.live_members().into_iter().filter(|m| m.zone == zone).map(|m| m.host);

        listed.chain(live).filter(|host| *host != self.state.this_host).collect()
    }
}
