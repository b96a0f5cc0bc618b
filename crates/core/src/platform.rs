//! The platform's services as the policy code uses them: versioned rows, transactions, objects and
//! the list of hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The table and key that identify a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowKey {
    /// The table's name.
    pub table: Box<str>,
    /// The row's key. Scans return rows in the byte order of their keys.
    pub key: Box<str>,
}

impl RowKey {
    /// Creates the key of a row.
    pub fn new(table: &str, key: impl Into<Box<str>>) -> Self {
        Self { table: table.into(), key: key.into() }
    }
}

/// The version of a row, set by the platform at each write. A version is never reused for a key,
/// not even after the row was deleted. Zero means that the row does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

impl RowVersion {
    /// The version that represents a missing row in a [`Check`].
    pub const ABSENT: Self = Self(0);
}

/// A row as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Its table and key.
    pub key: RowKey,
    /// Its version.
    pub version: RowVersion,
    /// Its content, usually JSON.
    pub value: Box<str>,
}

/// A condition of a transaction: the row must have exactly this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// The row.
    pub key: RowKey,
    /// The required version; [`RowVersion::ABSENT`] if the row must not exist.
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

/// A transaction. If all checks hold, all writes take effect; otherwise none does.
///
/// To find out whether a transaction took effect although its response was lost, a writer
/// includes a row that only this transaction can have written, and checks that the row is absent.
/// The same transaction can then safely be sent again, and after a conflict that row shows the
/// outcome.
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
    /// Runs a transaction. Replies: `Committed`, `Conflict`, `Unavailable`, `Unknown`.
    Commit(Transaction),
    /// Reads rows. Replies: `Rows` (those that exist), `Unavailable`.
    Read(Vec<RowKey>),
    /// Reads the rows of a table whose keys start with `prefix` and are greater than `after`.
    /// Replies: `Rows`, `Unavailable`.
    Scan {
        /// The table.
        table: Box<str>,
        /// The prefix of the keys to return.
        prefix: Box<str>,
        /// The last key already read, or empty to start at the beginning.
        after: Box<str>,
        /// The maximum number of rows to return.
        limit: u32,
    },
    /// Reads a table's rows after the key `after`, with the platform's version at that time, from
    /// which `Changes` can follow. Replies: `Changes`, `Unavailable`.
    Snapshot {
        /// The table.
        table: Box<str>,
        /// The last key already read, or empty to start at the beginning.
        after: Box<str>,
        /// The maximum number of rows to return.
        limit: u32,
    },
    /// Reads the changes of a table after a version, and waits up to `wait` for the first one.
    /// Replies: `Changes`, `HistoryGone`, `Unavailable`.
    Changes {
        /// The table.
        table: Box<str>,
        /// The last version already read.
        after: RowVersion,
        /// The maximum time that the platform waits for a change.
        wait: Duration,
    },
    /// Stores an object under the hash of its content. Replies: `Stored`, `Unavailable`,
    /// `Unknown`.
    PutObject(Box<[u8]>),
    /// Reads an object. Replies: `Object`, `Unavailable`.
    GetObject(ObjectName),
}

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// The row was written with this content.
    Written(Row),
    /// The row was deleted.
    Removed(RowKey),
}

/// The changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// The changes in the order in which they took effect. One list may contain several changes of
    /// a row, of which the last one is valid.
    pub changes: Vec<RowChange>,
    /// Whether a snapshot is incomplete and more rows follow the last one.
    #[serde(default)]
    pub has_more: bool,
    /// The platform's version up to which changes are included. The next request continues here.
    pub version: RowVersion,
}

impl TableChanges {
    /// Returns the written rows, in order.
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

/// The reply to a [`PlatformOp`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformReply {
    /// The transaction took effect, and each written row has this version.
    Committed(RowVersion),
    /// The transaction did not take effect, because these checked rows have other versions than
    /// expected. Checked rows that are not listed are absent or as expected.
    Conflict(Vec<Row>),
    /// The rows, in key order.
    Rows(Vec<Row>),
    /// The changes of a table, in order.
    Changes(TableChanges),
    /// The platform no longer has the requested history, so the whole table must be read again.
    HistoryGone,
    /// The object was stored.
    Stored(ObjectName),
    /// The object's content, verified against its name; `None` if it does not exist.
    Object(Option<Box<[u8]>>),
    /// The operation was certainly not executed: the platform refused it, or it was never sent.
    Unavailable,
    /// The response to the write was lost, so it may have taken effect or may do so later. This
    /// must never be treated as a failure.
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

/// A host in the platform's list of hosts, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostListing {
    /// The host's name.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// The address that its peers connect to.
    pub peer_address: std::net::SocketAddr,
    /// Whether the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
}
