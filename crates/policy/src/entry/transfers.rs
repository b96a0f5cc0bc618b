//! To how many hosts a host sends its manifest at the same time.
//!
//! When the store turns many hosts away, all of them may ask the few that have a new manifest at
//! the same moment. Transfers for all of them would fill the link of a host, and its memory, and none
//! would come before nearly all do. Each host that has got it can send it on, so few at a time
//! reach all of them sooner.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use crate::entry::manifests::REQUEST_TIMEOUT;

/// The most hosts that are sent the manifest at the same time.
pub const MAX_TRANSFERS: usize = 2;

/// How long a host that refused is not asked again. In this time a copy may have come to its end, or
/// another host may have got one.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);

/// What to do when another host asks for the manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it.
    Send,
    /// Refuse: enough copies are under way.
    Refuse,
}

/// A copy that is under way.
#[derive(Clone, Copy, Debug)]
struct Sent {
    version: u64,
    at: Instant,
}

/// The copies of the manifest that are under way to other hosts.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    under_way: Map<HostId, Sent>,
}

impl Transfers {
    /// Takes in that a host asks for the manifest of this version; returns what to do.
    ///
    /// A host asks for one copy at a time, so one that asks again gets no other any more.
    ///
    /// ```
    /// use camphorwalk_core::ids::HostId;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::transfers::{Transfers, Decision, MAX_TRANSFERS};
    /// let mut transfers = Transfers::default();
    /// for host in 0..MAX_TRANSFERS as u64 {
    ///     assert_eq!(transfers.request(Instant(0), HostId(host), 7), Decision::Send);
    /// }
    /// assert_eq!(transfers.request(Instant(0), HostId(99), 7), Decision::Refuse);
    /// transfers.acknowledge(HostId(0), 7);
    /// assert_eq!(transfers.request(Instant(0), HostId(99), 7), Decision::Send);
    /// ```
    pub fn request(&mut self, now: Instant, host: HostId, version: u64) -> Decision {
        self.under_way.remove(&host);
        // Whoever asked has given up by then.
        self.under_way.retain(|_, sent| now.since(sent.at) < REQUEST_TIMEOUT);

        if self.under_way.len() >= MAX_TRANSFERS {
            return Decision::Refuse;
        }
        self.under_way.insert(host, Sent { version, at: now });
        Decision::Send
    }

    /// Takes in that a manifest of this version is in force at a host. The copy that was under way to
    /// it has arrived, or is of no use any more.
    pub fn acknowledge(&mut self, host: HostId, version: u64) {
        if self.under_way.get(&host).is_some_and(|sent| sent.version <= version) {
            self.under_way.remove(&host);
        }
    }

    /// Takes in that a copy could not be sent.
    pub fn send_failed(&mut self, host: HostId) {
        self.under_way.remove(&host);
    }

    /// Returns how many copies are under way, as far as is known.
    pub fn len(&self) -> usize {
        self.under_way.len()
    }

    /// Returns whether no copy is under way.
    pub fn is_empty(&self) -> bool {
        self.under_way.is_empty()
    }
}

/// The hosts that refused to send their manifest of late.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    at: Map<HostId, Instant>,
}

impl Backoff {
    /// Takes in that a host refused.
    ///
    /// ```
    /// use camphorwalk_core::ids::HostId;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::transfers::Backoff;
    /// let mut backoff = Backoff::default();
    /// backoff.record_refusal(Instant(0), HostId(1));
    /// assert!(!backoff.may_ask(Instant::from_millis(299), HostId(1)));
    /// assert!(backoff.may_ask(Instant::from_millis(300), HostId(1)));
    /// ```
    pub fn record_refusal(&mut self, now: Instant, host: HostId) {
        self.at.retain(|_, at| now.since(*at) < REFUSED_PAUSE);
        self.at.insert(host, now);
    }

    /// Returns whether a host may be asked.
    pub fn may_ask(&self, now: Instant, host: HostId) -> bool {
        self.at.get(&host).is_none_or(|at| now.since(*at) >= REFUSED_PAUSE)
    }
}
