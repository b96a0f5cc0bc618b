//! Which availability zones the operators have evacuated.
//!
//! While a zone is evacuated, no call may be sent to its targets. Operators evacuate a zone by a row
//! of their table in the store, which also holds the manifest, and end that by removing the row. A
//! host follows the table by ordered changes and by full reads, and takes the copies of other hosts
//! if the store does not answer it. As with the targets' entries, each of these is complete as of a
//! version of the store, and the one with the higher version is right, whichever arrives last.

use std::time::Duration;

use camphorwalk_core::hash::Set;
use camphorwalk_core::platform::RowVersion;
use serde::{Deserialize, Serialize};

use crate::entry::target_table;

/// How long the store may hold a request for changes of the operators' table. A broken connection is
/// noticed after this time.
pub const POLL_WAIT: Duration = Duration::from_millis(1_200);

/// The pause after the store sent changes, before further ones are requested. Operators may publish
/// many manifests in a second. Each of them must be parsed completely by each host, but only the
/// last one matters. The pause is shorter than the time after which a stalled store makes the host
/// ask its peers.
pub const CHANGE_PAUSE: Duration = Duration::from_millis(150);

/// The pause after a failed request for changes.
pub const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// The longest time from an evacuation's confirmation by the store until a host sends no more calls
/// to the zone, apart from the time that connecting to a target takes. It holds for a host that the
/// store answers, or that reaches a host that the store answers, if one answer of the store and one
/// of a host are lost. `store_timeout` is the time after which a request to the store fails.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::evacuations::{POLL_WAIT, max_propagation_delay};
/// assert!(max_propagation_delay(Duration::from_millis(500)) > POLL_WAIT);
/// ```
pub fn max_propagation_delay(store_timeout: Duration) -> Duration {
    let lost_by_store = POLL_WAIT + store_timeout + FAILED_PAUSE;
    let by_store = CHANGE_PAUSE + lost_by_store + store_timeout;
    let by_peer =
        target_table::POLL_PERIOD + target_table::HEDGE_DELAY + target_table::PEER_TIMEOUT;

    by_store + by_peer * 2
}

/// A change of the rows that evacuate zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneChange {
    /// The zone is evacuated.
    Evacuated(Box<str>),
    /// The zone is used again.
    Returned(Box<str>),
}

/// The evacuated zones, complete as of a version of the store, as sent to other hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationsCopy {
    /// The version of the store.
    pub as_of: RowVersion,
    /// The evacuated zones.
    pub zones: Set<Box<str>>,
}

/// What a full read of the operators' table says about evacuations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRows {
    /// The zones with a row.
    pub evacuated: Set<Box<str>>,
    /// The zones whose row cannot be read. They stay as they are.
    pub unreadable: Set<Box<str>>,
}

/// A host's copy of the rows that evacuate zones.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// `None` until the first copy has been received.
    copy: Option<EvacuationsCopy>,
}

impl Evacuations {
    /// Returns the copy for other hosts; `None` until this host has received one.
    pub fn copy(&self) -> Option<&EvacuationsCopy> {
        self.copy.as_ref()
    }

    /// Returns the version of the store as of which the copy is complete.
    pub fn as_of(&self) -> RowVersion {
        self.copy.as_ref().map_or(RowVersion::default(), |copy| copy.as_of)
    }

    /// Applies the changes after version `after`, in their order. Returns the zones whose state
    /// differs from before.
    ///
    /// ```
    /// use camphorwalk_core::platform::RowVersion;
    /// use camphorwalk_policy::entry::evacuations::{Evacuations, ZoneChange, ZoneRows};
    /// let mut evacuations = Evacuations::default();
    /// evacuations.apply_full_read(ZoneRows::default(), RowVersion(4));
    /// let begun = ZoneChange::Evacuated("a".into());
    /// let changed = evacuations.apply_changes(RowVersion(4), vec![begun.clone()], RowVersion(6));
    /// assert_eq!(changed, [begun]);
    /// ```
    pub fn apply_changes(
        &mut self,
        after: RowVersion,
        changes: Vec<ZoneChange>,
        as_of: RowVersion,
    ) -> Vec<ZoneChange> {
        // Changes would be missing if this copy were older than `after`; a newer one has them.
        let Some(copy) = &self.copy else { return Vec::new() };
        if after > copy.as_of || as_of < copy.as_of {
            return Vec::new();
        }
        let mut zones = copy.zones.clone();
        for change in changes {
            match change {
                ZoneChange::Evacuated(zone) => zones.insert(zone),
                ZoneChange::Returned(zone) => zones.remove(&zone),
            };
        }

        self.replace(EvacuationsCopy { as_of, zones })
    }

    /// Applies a full read of the table as of a version. Returns the zones whose state differs from
    /// before.
    pub fn apply_full_read(&mut self, rows: ZoneRows, as_of: RowVersion) -> Vec<ZoneChange> {
        let ZoneRows { evacuated, unreadable } = rows;
        let before = self.copy.as_ref().map(|copy| &copy.zones);
        let kept = unreadable.into_iter().filter(|zone| before.is_some_and(|b| b.contains(zone)));
        let zones = evacuated.into_iter().chain(kept).collect();

        self.apply_peer_copy(EvacuationsCopy { as_of, zones })
    }

    /// Applies another host's copy, unless this one is newer. Returns the zones whose state differs
    /// from before.
    pub fn apply_peer_copy(&mut self, copy: EvacuationsCopy) -> Vec<ZoneChange> {
        match &self.copy {
            Some(own) if copy.as_of < own.as_of => Vec::new(),
            _ => self.replace(copy),
        }
    }

    fn replace(&mut self, copy: EvacuationsCopy) -> Vec<ZoneChange> {
        let before = self.copy.take().unwrap_or_default().zones;
        let begun = copy.zones.difference(&before).cloned().map(ZoneChange::Evacuated);
        let ended = before.difference(&copy.zones).cloned().map(ZoneChange::Returned);
        let changes = begun.chain(ended).collect();
        self.copy = Some(copy);

        changes
    }
}
