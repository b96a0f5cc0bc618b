//! Determines from the rows in the store which hosts are gone.
//!
//! A running host rewrites its row as a heartbeat. Nothing removes the row of a host that was
//! replaced for good, so other hosts consider a host gone when its row stops changing.

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::platform::RowVersion;

/// A host counts as gone after this many due reads of its row (see [`HostRows::record_read`]) since
/// the row last changed. The host has then been unable to write for longer than most network
/// partitions last.
pub const UNCHANGED_READS_UNTIL_GONE: u32 = 4;

/// What a read of a host's row says about the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The row has changed since the last read, or was not known before.
    Updated,
    /// The row has not changed, but the host may still be running.
    Silent,
    /// The host counts as gone until it writes its row again.
    Gone,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: RowVersion,
    /// How many due reads have found the row unchanged at this version.
    unchanged: u32,
}

/// The rows of the hosts as last read.
#[derive(Clone, Debug, Default)]
pub struct HostRows {
    seen: Map<HostId, Seen>,
}

impl HostRows {
    /// Records that a host's row was read at `version`. `is_due` says that the host has had time to
    /// write the row since the last read, and is not live by its status updates.
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
