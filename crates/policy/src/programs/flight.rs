//! The transaction in flight, and how to interpret the rows named in a conflict.

use camphorwalk_core::ids::PartitionId;
use camphorwalk_core::platform::{Row, RowKey, RowVersion, Transaction};

use super::checkpoint::Upkeep;
use super::entries::Witness;
use super::journal::{Pending, Tenure};

/// A row that a transaction in flight writes.
#[derive(Debug)]
pub(super) struct FlightRow {
    /// The partition whose journal or checkpoint it belongs to.
    pub partition: PartitionId,
    /// The lease term in which it is written.
    pub tenure: Tenure,
    /// The key of the row that holds the transaction id.
    pub key: RowKey,
    /// The bytes appended to the journal; `None` for maintenance.
    pub appended: Option<usize>,
}

/// A transaction whose outcome is not known yet.
#[derive(Debug)]
pub(super) struct Flight {
    /// The transaction; it is sent again unchanged while its outcome is unknown.
    pub transaction: Transaction,
    /// The transaction's unique id, stored in the rows it writes.
    pub witness: Box<str>,
    /// The entries that it writes.
    pub entries: Vec<Pending>,
    /// The maintenance that it performs; it then has no entries.
    pub upkeep: Option<Upkeep>,
    /// One item for each partition that it writes to.
    pub rows: Vec<FlightRow>,
    /// Whether an answer to it was lost. From then on only a commit or a conflict settles its
    /// outcome.
    pub in_doubt: bool,
    /// Whether it is at the platform now, as opposed to waiting to be sent again.
    pub sent: bool,
}

/// Returns whether the rows contain one with this key.
pub(super) fn stands(found: &[Row], key: &RowKey) -> bool {
    found.iter().any(|row| row.key == *key)
}

/// Returns the version of the row at `key` if it contains this transaction id.
pub(super) fn bears(found: &[Row], key: &RowKey, witness: &str) -> Option<RowVersion> {
    let row = found.iter().find(|row| row.key == *key)?;
    let written = serde_json::from_str::<Witness>(&row.value).ok()?;

    (*written.witness == *witness).then_some(row.version)
}
