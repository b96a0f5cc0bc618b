//! The transaction in flight, and how to interpret the rows named in a conflict.

use camphorwalk_core::ids::PartitionId;
use camphorwalk_core::platform::{Row, RowKey, RowVersion, Transaction};

use super::checkpoint::Maintenance;
use super::entries::RowTransactionId;
use super::journal::{LeaseTerm, Pending};

/// A row that a transaction in flight writes.
#[derive(Debug)]
pub(super) struct InFlightRow {
    /// The partition whose journal or checkpoint it belongs to.
    pub partition: PartitionId,
    /// The lease term in which it is written.
    pub term: LeaseTerm,
    /// The key of the row that holds the transaction id.
    pub key: RowKey,
    /// The bytes appended to the journal; `None` for maintenance.
    pub appended: Option<usize>,
}

/// A transaction whose outcome is not known yet.
#[derive(Debug)]
pub(super) struct InFlight {
    /// The transaction; it is sent again unchanged while its outcome is unknown.
    pub transaction: Transaction,
    /// The transaction's unique id, stored in the rows it writes.
    pub transaction_id: Box<str>,
    /// The entries that it writes.
    pub entries: Vec<Pending>,
    /// The maintenance that it performs; it then has no entries.
    pub maintenance: Option<Maintenance>,
    /// One item for each partition that it writes to.
    pub rows: Vec<InFlightRow>,
    /// Whether an answer to it was lost. From then on only a commit or a conflict settles its
    /// outcome.
    pub in_doubt: bool,
    /// Whether it is at the platform now, as opposed to waiting to be sent again.
    pub sent: bool,
}

/// Returns whether the rows contain one with this key.
pub(super) fn contains_row(found: &[Row], key: &RowKey) -> bool {
    found.iter().any(|row| row.key == *key)
}

/// Returns the version of the row at `key` if it contains this transaction id.
pub(super) fn version_written_by(
    found: &[Row],
    key: &RowKey,
    transaction_id: &str,
) -> Option<RowVersion> {
    let row = found.iter().find(|row| row.key == *key)?;
    let written = serde_json::from_str::<RowTransactionId>(&row.value).ok()?;

    (*written.witness == *transaction_id).then_some(row.version)
}
