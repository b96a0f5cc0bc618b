//! Checkpoints: what a partition's journal comes to, kept in objects, so that its rows can be
//! deleted and a new home reads no more than about twice what is alive.
//!
//! An image of a program says up to which journal row it was made; rows up to there are not
//! applied to it again. So a checkpoint is made piece by piece while the journal goes on:
//! images of some programs are put into one object, then those of some more. One
//! transaction then moves the checkpoint row, and later ones delete rows.

use std::sync::Arc;

use camphorwalk_core::ids::PartitionId;
use camphorwalk_core::platform::{Check, ObjectName, RowKey, RowVersion, Transaction, Write};
use serde::{Deserialize, Serialize};

use super::entries::{CallText, OpenedEntry, Recorded, journal_key};

/// The table of the checkpoints.
const CHECKPOINT: &str = "checkpoint";

/// The most rows that one transaction deletes.
const TRIM_ROWS: u64 = 64;

/// Returns the place of a partition's checkpoint.
pub(super) fn checkpoint_key(partition: PartitionId) -> RowKey {
    RowKey::new(CHECKPOINT, format!("{:04x}", partition.0))
}

/// A checkpoint row's content.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct CheckpointRow {
    /// Names the transaction that wrote the row.
    pub witness: Box<str>,
    /// The last journal row that the images hold in full.
    pub upto: u64,
    /// The objects with the images, in order.
    pub parts: Vec<ObjectName>,
    /// The bytes of the objects.
    pub bytes: usize,
}

/// What the journal's rows say of one program, up to one row.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ProgramImage {
    /// The last journal row that was applied.
    pub upto: u64,
    /// The opening, with budget, grant and time left as of that row.
    pub opened: OpenedEntry,
    /// How many sub-agents it opened.
    pub openings: u32,
    /// The finished calls.
    pub calls: Vec<ImageCall>,
    /// An intent without an outcome after them, with its name.
    pub intent: Option<(Box<str>, CallText)>,
    /// Whether the program is over.
    pub ended: bool,
}

/// A finished call in an image.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ImageCall {
    /// What was asked.
    pub call: CallText,
    /// What came of it.
    pub outcome: Recorded,
}

/// A transaction that keeps a journal short.
#[derive(Clone, Debug)]
pub(super) enum Upkeep {
    /// Moves the checkpoint row.
    Checkpoint {
        /// The partition.
        partition: PartitionId,
        /// The tenure under which the images were made.
        tenure: u64,
        /// The new content; the witness is set when it is sent.
        row: Arc<CheckpointRow>,
        /// The version of the row so far.
        version: RowVersion,
    },
    /// Deletes journal rows that a checkpoint holds.
    Trim {
        /// The partition.
        partition: PartitionId,
        /// The tenure under which the checkpoint was made or read.
        tenure: u64,
        /// The first row.
        from: u64,
        /// The last row.
        upto: u64,
    },
}

impl Upkeep {
    /// Returns the partition.
    pub fn partition(&self) -> PartitionId {
        match self {
            Self::Checkpoint { partition, .. } | Self::Trim { partition, .. } => *partition,
        }
    }

    /// Returns the tenure.
    pub fn tenure(&self) -> u64 {
        match self {
            Self::Checkpoint { tenure, .. } | Self::Trim { tenure, .. } => *tenure,
        }
    }

    /// Returns the place of the row that bears the witness.
    pub fn key(&self) -> RowKey {
        checkpoint_key(self.partition())
    }

    /// Returns the transaction, without the check of the lease.
    pub fn transaction(&self, witness: &str) -> Transaction {
        let mut transaction = Transaction::default();

        match self {
            Self::Checkpoint { row, version, .. } => {
                let row = CheckpointRow { witness: witness.into(), ..CheckpointRow::clone(row) };
                let value = serde_json::to_string(&row).expect("checkpoints are plain data");

                // A late copy of an older checkpoint would point before rows that are
                // deleted by now. The row's version keeps it out.
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

    /// Returns the deletions that are left after this transaction.
    pub fn rest(&self) -> Option<Self> {
        let Self::Trim { partition, tenure, upto, .. } = *self else { return None };
        let from = self.trimmed_to() + 1;

        (from <= upto).then_some(Self::Trim { partition, tenure, from, upto })
    }

    /// Returns the last row that this transaction deletes.
    fn trimmed_to(&self) -> u64 {
        match self {
            Self::Checkpoint { .. } => 0,
            Self::Trim { from, upto, .. } => (*upto).min(from + TRIM_ROWS - 1),
        }
    }
}
