//! Tracks the sessions of all hosts, using only this host's clock.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, ZoneId};
use camphorwalk_core::platform::{Row, RowVersion};
use camphorwalk_core::time::Instant;

use super::rows::SessionRow;
use super::session_expiry;

/// A session as of this host's last scan.
#[derive(Clone, Debug)]
struct ObservedSession {
    /// The version of its row.
    version: RowVersion,
    /// When this host first saw that version of the row.
    unchanged_since: Instant,
    /// The content of the row.
    row: SessionRow,
}

/// A host that may hold leases: it has a session and is not leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// The sessions stored in the platform, each with the instant since which it has not been renewed.
///
/// Clocks of different hosts are never compared. A session has expired when this host has seen the
/// same version of its row for longer than the lifetime plus a margin. The session's owner counts
/// the lifetime from before it sent the renewal, so it has stopped using its leases by then.
#[derive(Debug, Default)]
pub(super) struct Observer {
    observed: Map<Box<str>, ObservedSession>,
    /// When the sessions were last scanned.
    last_scan: Option<Instant>,
}

impl Observer {
    /// Records a complete scan of the sessions.
    ///
    /// If the previous scan is more than `max_scan_gap` ago, all sessions count as first seen now.
    pub fn record_scan(&mut self, now: Instant, rows: &[Row], max_scan_gap: Duration) {
        let mut next = Map::default();

        // No host can renew its session while the platform is unavailable. After the outage each
        // host must have a whole lifetime to renew. If the outage counted, the first host to reach
        // the platform would end the sessions of all others.
        let was_unavailable = self.last_scan.is_some_and(|at| now.since(at) > max_scan_gap);
        self.last_scan = Some(now);

        for row in rows {
            let Ok(content) = serde_json::from_str::<SessionRow>(&row.value) else {
                continue;
            };
            let before = self.observed.get(&row.key.key);
            let unchanged_since = match before {
                Some(session) if session.version == row.version && !was_unavailable => {
                    session.unchanged_since
                }
                _ => now,
            };
            next.insert(
                row.key.key.clone(),
                ObservedSession { version: row.version, unchanged_since, row: content },
            );
        }

        self.observed = next;
    }

    /// Returns the session with this key, if it existed at the last scan.
    pub fn session(&self, key: &str) -> Option<&SessionRow> {
        self.observed.get(key).map(|session| &session.row)
    }

    /// Returns all sessions, sorted by the names of their hosts.
    pub fn sessions(&self) -> Vec<SessionRow> {
        let mut all: Vec<_> = self.observed.values().map(|session| session.row.clone()).collect();
        all.sort_unstable_by(|a, b| a.host.cmp(&b.host));

        all
    }

    /// Returns the hosts that have a session and are not leaving.
    pub fn candidates(&self) -> Vec<Candidate> {
        let not_leaving = |session: &&ObservedSession| !session.row.leaving;
        let candidate = |session: &ObservedSession| Candidate {
            host: HostId::from_name(&session.row.host),
            zone: ZoneId::from_name(&session.row.zone),
        };

        self.observed.values().filter(not_leaving).map(candidate).collect()
    }

    /// Returns the key and row version of an expired session other than `own_key`, if there is one.
    pub fn expired(&self, now: Instant, own_key: &str) -> Option<(Box<str>, RowVersion)> {
        self.observed
            .iter()
            .filter(|(key, _)| &***key != own_key)
            .filter(|(_, session)| {
                now.since(session.unchanged_since) > session_expiry(session.row.lifetime)
            })
            .map(|(key, session)| (key.clone(), session.version))
            .min()
    }
}
