//! Limits the number of hosts to which a host sends its manifest at the same time.
//!
//! When the store rejects many hosts, they may all request a new manifest at the same moment from
//! the few hosts that have it. Sending it to all at once would exhaust the sender's bandwidth and
//! memory, and no copy would arrive before nearly all do. Each host that has received a copy can
//! send it on, so sending a few at a time reaches all hosts sooner.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use crate::entry::manifests::REQUEST_TIMEOUT;

/// The maximum number of hosts to which the manifest is sent at the same time.
pub const MAX_TRANSFERS: usize = 2;

/// How long a host that refused is not asked again. In the meantime one of its transfers may
/// finish, or another host may receive a copy.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);

/// What to do when another host requests the manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the manifest.
    Send,
    /// Refuse: the maximum number of transfers is in progress.
    Refuse,
}

/// A transfer in progress.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    version: u64,
    started_at: Instant,
}

/// The transfers of the manifest to other hosts that are in progress.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    in_progress: Map<HostId, Transfer>,
}

impl Transfers {
    /// Handles a host's request for this version of the manifest; returns whether to send it.
    ///
    /// A host requests one copy at a time. A repeated request means that it no longer waits for the
    /// previous copy, which is therefore not counted any more.
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
        self.in_progress.remove(&host);
        // The requesting host has given up after this time.
        self.in_progress.retain(|_, transfer| now.since(transfer.started_at) < REQUEST_TIMEOUT);

        if self.in_progress.len() >= MAX_TRANSFERS {
            return Decision::Refuse;
        }
        self.in_progress.insert(host, Transfer { version, started_at: now });
        Decision::Send
    }

    /// Records that a host reported this version of the manifest as in force. The copy that was
    /// being sent to it has arrived or is no longer needed.
    pub fn acknowledge(&mut self, host: HostId, version: u64) {
        if self.in_progress.get(&host).is_some_and(|transfer| transfer.version <= version) {
            self.in_progress.remove(&host);
        }
    }

    /// Records that a transfer could not be sent.
    pub fn send_failed(&mut self, host: HostId) {
        self.in_progress.remove(&host);
    }

    /// Returns the number of transfers in progress, as far as is known.
    pub fn len(&self) -> usize {
        self.in_progress.len()
    }

    /// Returns whether no transfer is in progress.
    pub fn is_empty(&self) -> bool {
        self.in_progress.is_empty()
    }
}

/// The hosts that recently refused to send their manifest.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    refused_at: Map<HostId, Instant>,
}

impl Backoff {
    /// Records that a host refused.
    ///
    /// ```
    /// use camphorwalk_core::ids::HostId;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::transfers::Backoff;
    /// let mut backoff = Backoff::default();
    /// backoff.record_refusal(Instant(0), HostId(1));
    /// assert!(!backoff.may_request(Instant::from_millis(299), HostId(1)));
    /// assert!(backoff.may_request(Instant::from_millis(300), HostId(1)));
    /// ```
    pub fn record_refusal(&mut self, now: Instant, host: HostId) {
        self.refused_at.retain(|_, at| now.since(*at) < REFUSED_PAUSE);
        self.refused_at.insert(host, now);
    }

    /// Returns whether a host may be asked again.
    pub fn may_request(&self, now: Instant, host: HostId) -> bool {
        self.refused_at.get(&host).is_none_or(|at| now.since(*at) >= REFUSED_PAUSE)
    }
}
