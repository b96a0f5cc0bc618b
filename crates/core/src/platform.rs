//! The platform's services as the policy sees them: rows with versions, transactions,
//! objects and the list of hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The place of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowKey {
    /// The table's name.
    pub table: Box<str>,
    /// The row's key; scans go in its byte order.
    pub key: Box<str>,
}

impl RowKey {
    /// Makes the key of a row.
    pub fn new(table: &str, key: impl Into<Box<str>>) -> Self {
        Self { table: table.into(), key: key.into() }
    }
}

/// The version of a row: set by the platform at each write, never used twice for a key,
/// not even after the row was deleted. Zero stands for a row that is not there.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

impl RowVersion {
    /// The version that a missing row is checked with.
    pub const ABSENT: Self = Self(0);
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Its place.
    pub key: RowKey,
    /// Its version.
    pub version: RowVersion,
    /// Its content, mostly JSON.
    pub value: Box<str>,
}

/// A condition of a transaction: the row has exactly this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// The row.
    pub key: RowKey,
    /// The version it must have; [`RowVersion::ABSENT`] if it must not be there.
    pub version: RowVersion,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// The row.
    pub key: RowKey,
    /// The new content, or `None` to delete the row.
    pub value: Option<Box<str>>,
}

/// A transaction: all checks hold and all writes take effect, or nothing does.
///
/// A writer that must be able to tell whether a transaction took effect although its
/// answer was lost, writes a row that only this transaction can have written, checked as
/// absent. Sending the same transaction again is then harmless, and after a conflict that
/// row tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transaction {
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// An operation on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformOp {
    /// Runs a transaction. Answers: `Committed`, `Conflict`, `Unavailable`, `Unknown`.
    Commit(Transaction),
    /// Reads rows. Answers: `Rows` (those that are there), `Unavailable`.
    Read(Vec<RowKey>),
    /// Reads the rows of a table whose keys begin with `prefix` and come after `after`.
    Scan {
        /// The table.
        table: Box<str>,
        /// What keys begin with.
        prefix: Box<str>,
        /// The last key already seen, or empty.
        after: Box<str>,
        /// The most rows to return.
        limit: u32,
    },
    /// Reads a table's rows after the key `after`, with the version of the platform at which
    /// they stand, so that changes can be followed from there. Answers: `Changes`,
    /// `Unavailable`.
    Snapshot {
        /// The table.
        table: Box<str>,
        /// The last key already seen, or empty.
        after: Box<str>,
        /// The most rows to return.
        limit: u32,
    },
    /// Reads what changed in a table after a version, waiting up to `wait` for a first change.
    /// Answers: `Changes`, `HistoryGone`, `Unavailable`.
    Changes {
        /// The table.
        table: Box<str>,
        /// The last version already seen.
        after: RowVersion,
        /// How long the platform may wait for a change.
        wait: Duration,
    },
    /// Stores an object under the hash of its content. Answers: `Stored`, `Unavailable`,
    /// `Unknown`.
    PutObject(Box<[u8]>),
    /// Reads an object. Answers: `Object`, `Unavailable`.
    GetObject(ObjectName),
}

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// The row was written and stands so.
    Written(Row),
    /// The row was removed.
    Removed(RowKey),
}

/// What changed in a table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// The changes in the order in which they took effect. A row may be written and removed, or
    /// removed and written, within one answer: the last change of a key is the one that holds.
    pub changes: Vec<RowChange>,
    /// Whether a read of rows was cut short and further rows come after the last one.
    #[serde(default)]
    pub has_more: bool,
    /// The newest version of the platform: the next question goes on from here.
    pub version: RowVersion,
}

impl TableChanges {
    /// Returns the rows written, in order.
    ///
    /// ```
    /// use camphorwalk_core::platform::{Row, RowChange, RowKey, RowVersion, TableChanges};
    /// let key = RowKey::new("targets", "i-1");
    /// let row = Row { key: key.clone(), version: RowVersion(3), value: "{}".into() };
    /// let changes = vec![RowChange::Written(row.clone()), RowChange::Removed(key)];
    /// let changes = TableChanges { changes, version: RowVersion(4), has_more: false };
    /// assert_eq!(changes.written().collect::<Vec<_>>(), [&row]);
    /// ```
    pub fn written(&self) -> impl DoubleEndedIterator<Item = &Row> {
        self.changes.iter().filter_map(|change| match change {
            RowChange::Written(row) => Some(row),
            RowChange::Removed(_) => None,
        })
    }
}

/// The answer to a [`PlatformOp`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformReply {
    /// The transaction took effect; each row written has this version.
    Committed(RowVersion),
    /// The transaction did not take effect: these checked rows stand differently, and
    /// those not listed are absent or as expected.
    Conflict(Vec<Row>),
    /// The rows read, in key order.
    Rows(Vec<Row>),
    /// What changed in a table, in order.
    Changes(TableChanges),
    /// The platform no longer has the history that was asked for: the table is to be read whole.
    HistoryGone,
    /// The object is stored.
    Stored(ObjectName),
    /// The object's content, checked against its name; `None` if it is not there.
    Object(Option<Box<[u8]>>),
    /// The platform certainly did nothing: it refused, or the bytes were never sent.
    Unavailable,
    /// The write may have taken effect, now or later: its answer was lost. Never to be
    /// taken for a failure.
    Unknown,
}

/// The name of an object: the SHA-256 of its content, in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectName(pub Box<str>);

impl ObjectName {
    /// Returns the name of the object with this content.
    ///
    /// ```
    /// use camphorwalk_core::platform::ObjectName;
    /// assert!(ObjectName::of(b"").0.starts_with("e3b0c442"));
    /// ```
    pub fn of(content: &[u8]) -> Self {
        Self(hex::encode(Sha256::digest(content)).into())
    }
}

/// A host as the platform lists it; the list lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostListing {
    /// The host's name.
    pub name: Box<str>,
    /// The availability zone it stands in.
    pub zone: Box<str>,
    /// Where its peers reach it.
    pub peer_address: std::net::SocketAddr,
    /// Whether the platform is about to take it away.
    #[serde(default)]
    pub leaving: bool,
}
