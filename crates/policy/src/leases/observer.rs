//! What a host sees of the sessions of all hosts, by its own clock.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, ZoneId};
use camphorwalk_core::platform::{Row, RowVersion};
use camphorwalk_core::time::Instant;

use super::overdue_after;
use super::rows::SessionRow;

/// A session as this host saw it.
#[derive(Clone, Debug)]
struct Sighting {
    /// The version of its row.
    version: RowVersion,
    /// When this host first saw that version.
    since: Instant,
    /// Its content.
    row: SessionRow,
}

/// A host that may hold leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// The sessions in the platform, each with the time for which it has stood unrenewed.
///
/// Clocks of two hosts are never compared: a session is overdue when this host has looked
/// at the same version of its row for longer than the lifetime. Its owner counts from
/// before it sent that renewal, so it has given up by then.
#[derive(Debug, Default)]
pub(super) struct Observer {
    sightings: Map<Box<str>, Sighting>,
    /// When the sessions were last read.
    looked: Option<Instant>,
}

impl Observer {
    /// Takes in a whole scan of the sessions.
    ///
    /// After more than `longest_gap` without a scan, all sessions count as seen first now.
    pub fn saw(&mut self, now: Instant, rows: &[Row], longest_gap: Duration) {
        let mut next = Map::default();

        // Nobody can renew while the platform is away. When it is back, the hosts must have a
        // whole lifetime to do so: with the time of the outage counted, the first host to come
        // back would end the sessions of all others.
        let was_away = self.looked.is_some_and(|at| now.since(at) > longest_gap);
        self.looked = Some(now);

        for row in rows {
            let Ok(content) = serde_json::from_str::<SessionRow>(&row.value) else {
                continue;
            };
            let before = self.sightings.get(&row.key.key);
            let since = match before {
                Some(seen) if seen.version == row.version && !was_away => seen.since,
                _ => now,
            };
            next.insert(
                row.key.key.clone(),
                Sighting { version: row.version, since, row: content },
            );
        }

        self.sightings = next;
    }

    /// Returns the session with this key, if it stands.
    pub fn session(&self, key: &str) -> Option<&SessionRow> {
        self.sightings.get(key).map(|seen| &seen.row)
    }

    /// Returns all sessions, in the order of their hosts' names.
    pub fn sessions(&self) -> Vec<SessionRow> {
        let mut all: Vec<_> = self.sightings.values().map(|seen| seen.row.clone()).collect();
        all.sort_unstable_by(|a, b| a.host.cmp(&b.host));

        all
    }

    /// Returns the hosts that have a session and are not leaving.
    pub fn candidates(&self) -> Vec<Candidate> {
        let stays = |seen: &&Sighting| !seen.row.leaving;
        let candidate = |seen: &Sighting| Candidate {
            host: HostId::from_name(&seen.row.host),
            zone: ZoneId::from_name(&seen.row.zone),
        };

        self.sightings.values().filter(stays).map(candidate).collect()
    }

    /// Returns a session, other than `mine`, that is overdue.
    pub fn overdue(&self, now: Instant, mine: &str) -> Option<(Box<str>, RowVersion)> {
        self.sightings
            .iter()
            .filter(|(key, _)| &***key != mine)
            .filter(|(_, seen)| now.since(seen.since) > overdue_after(seen.row.lifetime))
            .map(|(key, seen)| (key.clone(), seen.version))
            .min()
    }
}
