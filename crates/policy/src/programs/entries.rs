//! The journal's entries and how they stand in the platform's rows.
//!
//! A row holds the entries that one transaction appended to one partition, with a witness
//! that only that transaction can have written.

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

/// The table of the journals.
pub(super) const JOURNAL: &str = "journal";

/// The table of the leases.
const LEASE: &str = "lease";

/// Returns the place of a partition's lease.
pub(super) fn lease_key(partition: PartitionId) -> RowKey {
    RowKey::new(LEASE, format!("partition/{:04x}", partition.0))
}

/// Returns what the keys of a partition's journal begin with.
pub(super) fn journal_prefix(partition: PartitionId) -> Box<str> {
    format!("{:04x}/", partition.0).into()
}

/// Returns the place of a journal row; byte order is the order of `sequence`.
pub(super) fn journal_key(partition: PartitionId, sequence: u64) -> RowKey {
    RowKey::new(JOURNAL, format!("{:04x}/{sequence:012x}", partition.0))
}

/// Returns the sequence number in a journal row's key.
pub(super) fn sequence_of(key: &RowKey) -> Option<u64> {
    let (_, digits) = key.key.split_once('/')?;

    u64::from_str_radix(digits, 16).ok()
}

/// A journal row's content.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct JournalRow {
    /// Names the transaction that wrote the row.
    pub witness: Box<str>,
    /// The entries, in order.
    pub entries: Vec<Entry>,
}

/// The part of a row that names the transaction which wrote it.
#[derive(Debug, Deserialize)]
pub(super) struct Witness {
    /// The name.
    pub witness: Box<str>,
}

/// One fact about a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub(super) enum Entry {
    /// A program was opened.
    Opened(OpenedEntry),
    /// A call that must not be repeated is about to be sent.
    Intent(IntentEntry),
    /// What became of an intent.
    Outcome(OutcomeEntry),
    /// A repeatable call ran to its end.
    Turn(TurnEntry),
    /// A family of programs may spend up to this much without another entry.
    Granted(GrantedEntry),
    /// A family of programs has spent this much, and may spend no more without an entry.
    Settled {
        /// The topmost program of the family.
        program: ProgramId,
        /// The sum it has spent, all told.
        spent: Tokens,
    },
    /// A program ended.
    Ended {
        /// The program.
        program: ProgramId,
    },
}

impl Entry {
    /// Tells whether the entry states what already happened, so that it is written again
    /// after the platform refused it. The others only ask leave for what is to happen.
    pub fn is_fact(&self) -> bool {
        matches!(self, Self::Outcome(_) | Self::Turn(_) | Self::Settled { .. } | Self::Ended { .. })
    }

    /// Returns the program that the entry is about.
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

    /// Returns the bytes of the entry's texts.
    pub fn text_bytes(&self) -> usize {
        match self {
            Self::Intent(intent) => intent.call.input.len(),
            Self::Turn(turn) => turn.call.input.len() + turn.outcome.text_bytes(),
            Self::Outcome(entry) => entry.outcome.as_ref().map_or(0, Recorded::text_bytes),
            Self::Opened(_) | Self::Granted(_) | Self::Settled { .. } | Self::Ended { .. } => 0,
        }
    }
}

/// A program was opened.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct OpenedEntry {
    /// The program.
    pub program: ProgramId,
    /// The tenant's id.
    pub tenant: u64,
    /// The template's name.
    pub template: Box<str>,
    /// The class's id.
    pub class: u64,
    /// The program that this one is a sub-agent of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<ProgramId>,
    /// The program whose budget it spends: itself, or the topmost ancestor.
    pub root: ProgramId,
    /// How many programs are above it.
    pub depth: u8,
    /// The digest of what the caller asked, to tell a repeat.
    #[serde_as(as = "Hex")]
    pub body: Digest,
    /// Whether the caller may repeat the opening.
    pub repeatable: bool,
    /// The budget; only a root's counts.
    pub budget: Tokens,
    /// What the family may spend until a later entry grants more.
    pub granted: Tokens,
    /// The time left to the deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left_ms")]
    pub left: Duration,
}

/// A call that must not be repeated is about to be sent.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct IntentEntry {
    /// The program.
    pub program: ProgramId,
    /// Names this intent; its outcome refers to it.
    pub attempt: Box<str>,
    /// The call.
    pub call: CallText,
    /// The time left to the deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left_ms")]
    pub left: Duration,
}

/// What became of an intent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct OutcomeEntry {
    /// The program.
    pub program: ProgramId,
    /// The intent.
    pub attempt: Box<str>,
    /// What became of it; `None` if it was proved never to have been sent or run.
    pub outcome: Option<Recorded>,
}

/// A repeatable call ran to its end.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct TurnEntry {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallText,
    /// What came of it.
    pub outcome: Recorded,
    /// What the family may spend until a later entry grants more.
    pub granted: Tokens,
    /// The time left to the deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left_ms")]
    pub left: Duration,
}

/// A family of programs may spend up to this much without another entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct GrantedEntry {
    /// The topmost program of the family.
    pub program: ProgramId,
    /// The sum it may spend, all told.
    pub granted: Tokens,
}

/// What a caller asked in a call.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct CallText {
    /// The caller's idempotency key.
    pub key: Box<str>,
    /// The digest of the body.
    #[serde_as(as = "Hex")]
    pub body: Digest,
    /// The target's name in the template.
    pub target: Box<str>,
    /// The input, as JSON text.
    pub input: Arc<str>,
}

/// What came of a call that counts in its program's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub(super) enum Recorded {
    /// It ran.
    Done {
        /// The output, as JSON text.
        output: Arc<str>,
        /// The tokens it took.
        usage: Usage,
    },
    /// It ran, and the target answered with a failure.
    Failed {
        /// The target's reason.
        message: Arc<str>,
    },
    /// It may have run, and is not repeated.
    Unknown,
}

impl Recorded {
    /// Returns the bytes of its text.
    fn text_bytes(&self) -> usize {
        match self {
            Self::Done { output, .. } => output.len(),
            Self::Failed { message } => message.len(),
            Self::Unknown => 0,
        }
    }
}
