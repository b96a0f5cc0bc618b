//! Checkpoints: the state that a partition's journal describes, kept in objects, so that the
//! journal rows can be deleted and a new home host reads at most about twice the size of the
//! live state.
//!
//! The image of a program names the last journal row that it covers; recovery does not apply
//! earlier rows to it again. So a checkpoint can be built in parts while the journal grows:
//! each object holds the images of some programs. One transaction then updates the checkpoint
//! row, and later ones delete the journal rows it covers.

use std::sync::Arc;

use camphorwalk_core::ids::PartitionId;
use camphorwalk_core::platform::{Check, ObjectName, RowKey, RowVersion, Transaction, Write};
use serde::{Deserialize, Serialize};

use super::entries::{CallText, OpenedEntry, RecordedOutcome, journal_key};

/// The table of checkpoint rows.
const CHECKPOINT: &str = "checkpoint";

/// The maximum number of rows that one transaction deletes.
const TRIM_ROWS: u64 = 64;

/// Returns the key of a partition's checkpoint row.
pub(super) fn checkpoint_key(partition: PartitionId) -> RowKey {
    RowKey::new(CHECKPOINT, format!("{:04x}", partition.0))
}

/// The content of a checkpoint row.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct CheckpointRow {
    /// The unique id of the transaction that wrote the row.
    pub witness: Box<str>,
    /// The last journal row that the images cover completely.
    pub upto: u64,
    /// The objects that contain the images, in order.
    pub parts: Vec<ObjectName>,
    /// The total size of the objects in bytes.
    pub bytes: usize,
}

/// The state of one program according to the journal, up to one row.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ProgramImage {
    /// The last journal row that the image covers.
    pub upto: u64,
    /// The opening, with budget, grant and time left as of that row.
    pub opened: OpenedEntry,
    /// How many sub-agents the program has opened.
    pub openings: u32,
    /// Finished calls, in order.
    pub calls: Vec<ImageCall>,
    /// The name and the request of an intent that follows the last finished call, if the journal
    /// does not hold the intent's outcome.
    pub intent: Option<(Box<str>, CallText)>,
    /// Whether the program has ended.
    pub ended: bool,
}

/// A finished call in a program image.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ImageCall {
    /// The request of the call.
    pub call: CallText,
    /// The outcome of the call.
    pub outcome: RecordedOutcome,
}

/// A transaction that replaces a checkpoint row, or deletes journal rows that a checkpoint covers.
#[derive(Clone, Debug)]
pub(super) enum Maintenance {
    /// Replaces the checkpoint row.
    Checkpoint {
        /// The partition of the checkpoint.
        partition: PartitionId,
        /// The id of the lease term in which the images were made.
        term: u64,
        /// The new content; the transaction id is filled in when it is sent.
        row: Arc<CheckpointRow>,
        /// The expected current version of the row.
        version: RowVersion,
    },
    /// Deletes journal rows that the checkpoint covers.
    Trim {
        /// The partition of the journal.
        partition: PartitionId,
        /// The id of the lease term in which the checkpoint was made or read.
        term: u64,
        /// The first row to delete.
        from: u64,
        /// The last row to delete.
        upto: u64,
    },
}

impl Maintenance {
    /// Returns the partition that it applies to.
    pub fn partition(&self) -> PartitionId {
        match self {
            Self::Checkpoint { partition, .. } | Self::Trim { partition, .. } => *partition,
        }
    }

    /// Returns the id of the lease term that it belongs to.
    pub fn term(&self) -> u64 {
        match self {
            Self::Checkpoint { term, .. } | Self::Trim { term, .. } => *term,
        }
    }

    /// Returns the key of the partition's checkpoint row, which holds the id of the transaction
    /// that last replaced it.
    pub fn key(&self) -> RowKey {
        checkpoint_key(self.partition())
    }

    /// Builds the transaction, without the check of the lease row.
    pub fn transaction(&self, transaction_id: &str) -> Transaction {
        let mut transaction = Transaction::default();

        match self {
            Self::Checkpoint { row, version, .. } => {
                let row =
                    CheckpointRow { witness: transaction_id.into(), ..CheckpointRow::clone(row) };
                let value =
                    serde_json::to_string(&row).expect("a checkpoint row serializes to JSON");

                // A delayed write of an older checkpoint would refer to journal rows that have
                // been deleted since. The check of the row's version rejects it.
                transaction.checks.push(Check { key: self.key(), version: *version });
                transaction.writes.push(Write { key: self.key(), value: Some(value.into()) });
            }
            Self::Trim { partition, from, .. } => {
                for sequence in *from..=self.trimmed_to() {
                    let key = journal_key(*partition, sequence);
                    transaction.writes.push(Write { key, value: None });
                }
            }
        }

        transaction
    }

    /// Returns the deletions that remain after this transaction.
    pub fn rest(&self) -> Option<Self> {
        let Self::Trim { partition, term, upto, .. } = *self else { return None };
        let from = self.trimmed_to() + 1;

        (from <= upto).then_some(Self::Trim { partition, term, from, upto })
    }

    /// Returns the last row that this transaction deletes.
    fn trimmed_to(&self) -> u64 {
        match self {
            Self::Checkpoint { .. } => 0,
            Self::Trim { from, upto, .. } => (*upto).min(from + TRIM_ROWS - 1),
        }
    }
}
