//! Which of the hosts that have a row in the store are there.
//!
//! A host writes its row again and again; nobody removes that of a host that was replaced for good.

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::platform::RowVersion;

/// A host whose row was read so often without a change is gone: it could not write it for longer than a
/// cut mostly lasts.
pub const UNCHANGED_READS_UNTIL_GONE: u32 = 4;

/// What a read tells of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It wrote its row since the last read, or the row was not known.
    Updated,
    /// It may be there.
    Silent,
    /// It is gone until it writes its row again.
    Gone,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: RowVersion,
    /// How often the row was read since it changed.
    unchanged: u32,
}

/// The rows as they were read last.
#[derive(Clone, Debug, Default)]
pub struct HostRows {
    seen: Map<HostId, Seen>,
}

impl HostRows {
    /// Takes in that the row of a host was read at a version. `is_due` tells that the host has had the
    /// time to write it again since the last read, and was not heard otherwise.
    ///
    /// ```
    /// use camphorwalk_core::ids::HostId;
    /// use camphorwalk_core::platform::RowVersion;
    /// use camphorwalk_policy::entry::host_rows::{HostRows, Presence};
    /// let mut rows = HostRows::default();
    /// assert_eq!(rows.record_read(HostId(1), RowVersion(7), true), Presence::Updated);
    /// assert_eq!(rows.record_read(HostId(1), RowVersion(7), true), Presence::Silent);
    /// assert_eq!(rows.record_read(HostId(1), RowVersion(8), true), Presence::Updated);
    /// ```
    pub fn record_read(&mut self, host: HostId, version: RowVersion, is_due: bool) -> Presence {
        let is_same = self.seen.get(&host).is_some_and(|seen| seen.version == version);
        if !is_same {
            self.seen.insert(host, Seen { version, unchanged: 0 });
            return Presence::Updated;
        }

        let unchanged = self.seen.get_mut(&host).map_or(0, |seen| {
            seen.unchanged = seen.unchanged.saturating_add(u32::from(is_due));
            seen.unchanged
        });
        if unchanged < UNCHANGED_READS_UNTIL_GONE { Presence::Silent } else { Presence::Gone }
    }
}
