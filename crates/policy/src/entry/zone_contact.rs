//! The availability zones of which no host is heard.
//!
//! While a zone is partitioned off, calls that are sent there get no answer. Callers wait for them
//! until their time is over, although the targets of other zones could have served them.

use std::time::Duration;

use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::time::Instant;

/// A zone is silent if no status update of its hosts has arrived for this long. Each of its hosts
/// sends several within this time, so that it takes the loss of all of them. Callers wait longer
/// for the answer of a target that is partitioned off.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// When hosts of each other zone were last heard.
#[derive(Clone, Debug, Default)]
pub struct ZoneContact {
    /// The zones of the known hosts. One that has become known counts as heard at that time.
    heard_at: Map<Box<str>, Instant>,
    silent: Set<Box<str>>,
}

impl ZoneContact {
    /// Sets the other zones that have known hosts.
    pub fn set_known<'a>(&mut self, now: Instant, zones: impl IntoIterator<Item = &'a str>) {
        let known: Set<&str> = zones.into_iter().collect();

        self.heard_at.retain(|zone, _| known.contains(&**zone));
        for zone in known {
            if !self.heard_at.contains_key(zone) {
                self.heard_at.insert(zone.into(), now);
            }
        }
    }

    /// Records a status update that a host of a zone sent at `sent_at`.
    pub fn record_heard(&mut self, zone: &str, sent_at: Instant) {
        if let Some(heard_at) = self.heard_at.get_mut(zone) {
            *heard_at = sent_at.max(*heard_at);
        }
    }

    /// Updates which zones are silent. Returns them if they have changed.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::zone_contact::ZoneContact;
    /// let at = Instant::from_millis;
    /// let mut zones = ZoneContact::default();
    /// zones.set_known(at(0), ["b", "c"]);
    /// zones.record_heard("b", at(500));
    /// assert!(zones.update(at(600)).is_none());
    /// assert_eq!(zones.update(at(800)).unwrap().len(), 1);
    /// ```
    pub fn update(&mut self, now: Instant) -> Option<&Set<Box<str>>> {
        let silent = self.heard_at.iter().filter(|(_, at)| now.since(**at) >= SILENCE_TIMEOUT);
        let silent: Set<_> = silent.map(|(zone, _)| zone.clone()).collect();
        if silent == self.silent {
            return None;
        }

        self.silent = silent;
        Some(&self.silent)
    }
}
