//! The transaction that is under way, and what the rows in a conflict say of it.

use camphorwalk_core::ids::PartitionId;
use camphorwalk_core::platform::{Row, RowKey, RowVersion, Transaction};

use super::checkpoint::Upkeep;
use super::entries::Witness;
use super::journal::{Pending, Tenure};

/// A row that a transaction writes, or the lease that it needs.
#[derive(Debug)]
pub(super) struct FlightRow {
    /// The partition.
    pub partition: PartitionId,
    /// The tenure that it was written under.
    pub tenure: Tenure,
    /// Where the witness stands.
    pub key: RowKey,
    /// The bytes appended to the journal, if it is a row of one.
    pub appended: Option<usize>,
}

/// A transaction that was sent.
#[derive(Debug)]
pub(super) struct Flight {
    /// The transaction; sent again unchanged while its outcome is unknown.
    pub transaction: Transaction,
    /// Names it in the rows it writes.
    pub witness: Box<str>,
    /// What it holds.
    pub entries: Vec<Pending>,
    /// The upkeep that it does instead, if it does one.
    pub upkeep: Option<Upkeep>,
    /// The rows that it writes.
    pub rows: Vec<FlightRow>,
    /// Whether an answer to it was lost: from then on only a commit or a conflict counts.
    pub in_doubt: bool,
    /// Whether it is at the platform now, rather than waiting to be sent again.
    pub sent: bool,
}

/// Tells whether a row is among those found.
pub(super) fn stands(found: &[Row], key: &RowKey) -> bool {
    found.iter().any(|row| row.key == *key)
}

/// Returns the version of the row at `key` if the transaction with this witness wrote it.
pub(super) fn bears(found: &[Row], key: &RowKey, witness: &str) -> Option<RowVersion> {
    let row = found.iter().find(|row| row.key == *key)?;
    let written = serde_json::from_str::<Witness>(&row.value).ok()?;

    (*written.witness == *witness).then_some(row.version)
}
