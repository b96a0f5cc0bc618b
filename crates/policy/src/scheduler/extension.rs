//! Goes on with columns of slices past the lease, while the platform is away.
//!
//! Without this every tenant is refused as over its rate a few seconds into an outage, since
//! no host may use slices that another could have taken by now. A column can be taken only by
//! a host of its zone, and only after that host has ended this one's session. So this host
//! goes on when every other host of its zone says that it cannot reach the platform either,
//! and promises to end no session for a while. The promise is counted from the sending of the
//! heartbeat that it echoes, which was before the promise was made, so a late message, or a
//! pause of this host, makes it shorter and never longer.
//!
//! A host of the zone that is silent blocks this: it may well reach the platform.

use std::time::Duration;

use camphorwalk_core::hash::Set;
use camphorwalk_core::ids::{HostId, ZoneId};
use camphorwalk_core::messages::gossip::Gossip;
use camphorwalk_core::time::Instant;

use super::Scheduler;
use super::work::Work;
use crate::slices::SliceEvent;

/// How long a host that cannot reach the platform promises to end no session.
pub(super) const PROMISE: Duration = Duration::from_secs(10);

/// How long a promise is relied on: less by a margin for clocks that drift.
const RELIED_ON: Duration = Duration::from_secs(8);

/// How often columns are extended.
const PERIOD: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Takes in what a host says of the platform.
    pub(super) fn on_promise(&mut self, from: HostId, gossip: &Gossip) {
        let sent = self.membership.sent_at(gossip.echo_session, gossip.echo);

        match sent.filter(|_| gossip.without_platform) {
            Some(sent) => {
                self.promises.insert(from, sent);
            }
            None => {
                self.promises.remove(&from);
            }
        }
    }

    /// Goes on with this host's columns, if nobody can have taken them.
    pub(super) fn extend_columns(&mut self, now: Instant) {
        if !self.leases.is_failing() || now < self.next_extension {
            return;
        }
        self.next_extension = now + PERIOD;

        let Some(until) = self.extended_until(now) else {
            return;
        };
        if until <= self.state.leases_valid_until || until <= now {
            return;
        }
        for column in self.leases.columns() {
            let event = SliceEvent::Owned { column, until, fresh: false };
            self.work.push_back(Work::Slice(event));
        }
    }

    /// Returns until when no host of the zone will have ended this host's session.
    fn extended_until(&self, now: Instant) -> Option<Instant> {
        let mut until = now + RELIED_ON;

        for host in self.zone_mates() {
            until = until.min(*self.promises.get(&host)? + RELIED_ON);
        }

        Some(until)
    }

    /// Returns the other hosts of this zone, as the platform showed them last and as gossip
    /// shows them.
    fn zone_mates(&self) -> Set<HostId> {
        let zone = self.state.zone;
        let listed = self
            .state
            .sessions
            .iter()
            .filter(|s| ZoneId::from_name(&s.zone) == zone)
            .map(|s| HostId::from_name(&s.host));
        let heard = self.membership.alive().into_iter().filter(|m| m.zone == zone).map(|m| m.host);

        listed.chain(heard).filter(|host| *host != self.state.me).collect()
    }
}
