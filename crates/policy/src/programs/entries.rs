//! Journal entries and their representation in the platform's rows.
//!
//! A row holds the entries that one transaction appended to one partition, and the unique id of
//! that transaction.

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::calls::Usage;
use camphorwalk_core::hash::Digest;
use camphorwalk_core::ids::{PartitionId, ProgramId};
use camphorwalk_core::platform::RowKey;
use camphorwalk_core::units::Tokens;
use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::{DurationMilliSeconds, serde_as};

/// The table of journal rows.
pub(super) const JOURNAL: &str = "journal";

/// The table of lease rows.
const LEASE: &str = "lease";

/// Returns the key of a partition's lease row.
pub(super) fn lease_key(partition: PartitionId) -> RowKey {
    RowKey::new(LEASE, format!("partition/{:04x}", partition.0))
}

/// Returns the common key prefix of a partition's journal rows.
pub(super) fn journal_prefix(partition: PartitionId) -> Box<str> {
    format!("{:04x}/", partition.0).into()
}

/// Returns the key of a journal row. Keys sort in the order of `sequence`.
pub(super) fn journal_key(partition: PartitionId, sequence: u64) -> RowKey {
    RowKey::new(JOURNAL, format!("{:04x}/{sequence:012x}", partition.0))
}

/// Returns the sequence number contained in a journal row's key.
pub(super) fn sequence_of(key: &RowKey) -> Option<u64> {
    let (_, digits) = key.key.split_once('/')?;

    u64::from_str_radix(digits, 16).ok()
}

/// The content of a journal row.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct JournalRow {
    /// The unique id of the transaction that wrote the row.
    pub witness: Box<str>,
    /// The entries, in the order in which they were made.
    pub entries: Vec<Entry>,
}

/// The part of a journal or checkpoint row that tells which transaction wrote the row; the other
/// fields are ignored.
#[derive(Debug, Deserialize)]
pub(super) struct RowTransactionId {
    /// The unique id of the transaction that wrote the row.
    pub witness: Box<str>,
}

/// A journal entry about one program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub(super) enum Entry {
    /// A program was opened.
    Opened(OpenedEntry),
    /// A call that must not be repeated is about to be sent.
    Intent(IntentEntry),
    /// The outcome of an intent.
    Outcome(OutcomeEntry),
    /// A call that may be repeated finished.
    Turn(TurnEntry),
    /// A family's budget grant was raised.
    Granted(GrantedEntry),
    /// A family's grant was reduced to what it has spent.
    Settled {
        /// The root of the family.
        program: ProgramId,
        /// The total that the family has spent.
        spent: Tokens,
    },
    /// A program ended.
    Ended {
        /// The program that ended.
        program: ProgramId,
    },
}

impl Entry {
    /// Returns whether the entry records something that already happened. Such an entry is
    /// written again if the platform rejects it. The others must be durable before an action
    /// and are dropped instead.
    pub fn is_fact(&self) -> bool {
        matches!(self, Self::Outcome(_) | Self::Turn(_) | Self::Settled { .. } | Self::Ended { .. })
    }

    /// Returns the program that the entry is about; the root, for an entry about a family.
    pub fn program(&self) -> ProgramId {
        match self {
            Self::Opened(entry) => entry.program,
            Self::Intent(entry) => entry.program,
            Self::Outcome(entry) => entry.program,
            Self::Turn(entry) => entry.program,
            Self::Granted(entry) => entry.program,
            Self::Settled { program, .. } | Self::Ended { program } => *program,
        }
    }

    /// Returns the total length of the entry's texts in bytes.
    pub fn text_bytes(&self) -> usize {
        match self {
            Self::Intent(intent) => intent.call.input.len(),
            Self::Turn(turn) => turn.call.input.len() + turn.outcome.text_bytes(),
            Self::Outcome(entry) => entry.outcome.as_ref().map_or(0, RecordedOutcome::text_bytes),
            Self::Opened(_) | Self::Granted(_) | Self::Settled { .. } | Self::Ended { .. } => 0,
        }
    }
}

/// The opening of a program.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct OpenedEntry {
    /// The program that was opened.
    pub program: ProgramId,
    /// The id of the tenant that opened it.
    pub tenant: u64,
    /// The name of its template.
    pub template: Box<str>,
    /// The id of its scheduling class.
    pub class: u64,
    /// The parent, if the program is a sub-agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<ProgramId>,
    /// The root of the family, whose budget is spent; the program itself if it has no parent.
    pub root: ProgramId,
    /// The number of ancestors.
    pub depth: u8,
    /// The digest of the opening's parameters, to recognize a repeat.
    #[serde_as(as = "Hex")]
    pub body: Digest,
    /// Whether the caller may repeat the opening.
    pub repeatable: bool,
    /// The family's budget; only the value of the root is used.
    pub budget: Tokens,
    /// The family's grant: the total that it may spend until a later entry raises it.
    pub granted: Tokens,
    /// The time left until the deadline when the entry was made.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left_ms")]
    pub left: Duration,
}

/// A call that must not be repeated and is about to be sent.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct IntentEntry {
    /// The program that the call belongs to.
    pub program: ProgramId,
    /// The name of the intent, which is also the id of its attempt; the outcome entry refers to
    /// it.
    pub attempt: Box<str>,
    /// The request of the call.
    pub call: CallText,
    /// The time left until the deadline when the entry was made.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left_ms")]
    pub left: Duration,
}

/// The outcome of an intent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct OutcomeEntry {
    /// The program that the call belongs to.
    pub program: ProgramId,
    /// The name of the intent.
    pub attempt: Box<str>,
    /// The outcome; `None` if the call was certainly not sent or not run.
    pub outcome: Option<RecordedOutcome>,
}

/// A finished call that may be repeated.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct TurnEntry {
    /// The program that the call belongs to.
    pub program: ProgramId,
    /// The request of the call.
    pub call: CallText,
    /// The outcome of the call.
    pub outcome: RecordedOutcome,
    /// The family's grant: the total that it may spend until a later entry raises it.
    pub granted: Tokens,
    /// The time left until the deadline when the entry was made.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left_ms")]
    pub left: Duration,
}

/// A higher grant for a family of programs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct GrantedEntry {
    /// The root of the family.
    pub program: ProgramId,
    /// The total that the family may spend.
    pub granted: Tokens,
}

/// The request of a call.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct CallText {
    /// The caller's idempotency key.
    pub key: Box<str>,
    /// The digest of the request body, to recognize a repeat.
    #[serde_as(as = "Hex")]
    pub body: Digest,
    /// The name of the target in the template.
    pub target: Box<str>,
    /// The input as JSON text.
    pub input: Arc<str>,
}

/// The outcome of a call in its program's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub(super) enum RecordedOutcome {
    /// The call ran.
    Done {
        /// The output as JSON text.
        output: Arc<str>,
        /// The tokens that it used.
        usage: Usage,
    },
    /// The call ran and the target reported a failure.
    Failed {
        /// The reason that the target gave.
        message: Arc<str>,
    },
    /// The call may have run, and is not repeated.
    Unknown,
}

impl RecordedOutcome {
    /// Returns the length of the outcome's text in bytes.
    fn text_bytes(&self) -> usize {
        match self {
            Self::Done { output, .. } => output.len(),
            Self::Failed { message } => message.len(),
            Self::Unknown => 0,
        }
    }
}
