//! What the home remembers: partitions, programs, their calls, and calls under way.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::calls::Request;
use camphorwalk_core::hash::{Digest, digest};
use camphorwalk_core::ids::{
    AttemptId, ClassId, KeyId, PartitionId, PoolId, ProgramId, RequestOrigin, TargetId, TenantId,
};
use camphorwalk_core::platform::ObjectName;
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use super::budget::AccountKey;
use super::compaction::Compaction;
use super::entries::{CallText, Recorded};
use super::journal::Tenure;
use crate::shared_types::CallId;

slotmap::new_key_type! {
    /// A program that this host remembers.
    pub(super) struct ProgramKey;
}

/// Bytes of text that count as one token where no engine has counted yet.
const BYTES_PER_TOKEN: u64 = 4;

/// Returns the tokens that a text is taken for before an engine counts it.
pub(super) fn estimate(text: &str) -> Tokens {
    Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN))
}

/// A request that waits until its partition's journal is read.
#[derive(Debug)]
pub(super) struct Parked {
    /// Where the answer goes.
    pub ticket: RequestOrigin,
    /// The tenant.
    pub tenant: TenantId,
    /// The key that came with it.
    pub key: KeyId,
    /// What it asks.
    pub request: Request,
    /// When it is refused if the journal is still not read.
    pub until: Instant,
}

/// A partition whose journal is being read.
#[derive(Debug)]
pub(super) struct Recovering {
    /// What was read so far; `next` is one past the last row.
    pub tenure: Tenure,
    /// What is read next.
    pub reading: Reading,
    /// The checkpoint that was read, if there is one.
    pub compaction: Compaction,
    /// The last row that the checkpoint holds.
    pub upto: u64,
    /// The last key read, or empty.
    pub after: Box<str>,
    /// Requests that came meanwhile.
    pub parked: Vec<Parked>,
    /// Whether reading has not begun, because a write of this host is still under way.
    pub blocked: bool,
    /// When the next page is asked for, after the platform was away.
    pub retry_at: Option<Instant>,
}

/// What is read next of a partition.
#[derive(Debug)]
pub(super) enum Reading {
    /// The checkpoint row.
    Checkpoint,
    /// The checkpoint's objects, the next one first.
    Parts(VecDeque<ObjectName>),
    /// The journal's rows.
    Rows,
}

/// Where a program stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProgramState {
    /// Its opening is not durable yet.
    Opening,
    /// It takes calls.
    Open,
    /// It is over, which may not be durable yet.
    Ended,
}

/// A program.
#[derive(Debug)]
pub(super) struct Program {
    /// Its id.
    pub id: ProgramId,
    /// The tenant that opened it.
    pub tenant: TenantId,
    /// Its template's name.
    pub template: Box<str>,
    /// Its class.
    pub class: ClassId,
    /// Its partition.
    pub partition: PartitionId,
    /// The program that it is a sub-agent of.
    pub parent: Option<ProgramId>,
    /// The program whose budget it spends.
    pub root: ProgramId,
    /// How many programs are above it.
    pub depth: u8,
    /// The family's budget.
    pub account: AccountKey,
    /// The digest of the opening.
    pub body: Digest,
    /// Whether the opening may be repeated.
    pub repeatable: bool,
    /// When it must be done.
    pub deadline: Instant,
    /// Where it stands.
    pub state: ProgramState,
    /// Finished calls, in order.
    pub calls: Vec<Record>,
    /// How many of `calls` the platform holds.
    pub stored: u32,
    /// The tokens of all inputs and outputs, so that none is counted twice.
    pub history: Tokens,
    /// Tokens it has been served, prompts and outputs.
    pub attained: Tokens,
    /// The call under way, if any.
    pub running: Option<CallId>,
    /// The sub-agents it opened that are remembered.
    pub children: Vec<ProgramId>,
    /// How many sub-agents it opened.
    pub openings: u32,
    /// The last journal row that its image in a checkpoint holds.
    pub upto: u64,
    /// Whether the write of an intent that will never be sent may still take effect. Until
    /// that is known no entry of this program may go behind it, so calls are refused.
    pub in_doubt: bool,
    /// The last intent read from the journal, if its outcome was not there and nothing came
    /// after it.
    pub open_intent: Option<(Box<str>, CallText)>,
    /// Whether the partition was lost while a call ran: only that call's answer is left.
    pub orphan: bool,
    /// Who waits for the opening.
    pub opening: Vec<RequestOrigin>,
    /// Who waits for the end.
    pub ending: Vec<RequestOrigin>,
    /// Whether the platform holds that the program is over.
    pub end_stored: bool,
    /// When an ended program is forgotten.
    pub forget_at: Option<Instant>,
}

/// A finished call.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// What was asked.
    pub call: CallText,
    /// What came of it.
    pub outcome: Recorded,
    /// The hash of the history up to and with this call.
    pub hash: Digest,
    /// The hash of the texts alone, up to and with this call: equal for two programs whose
    /// prompts are equal.
    pub texts: Digest,
    /// The name of its intent, if it had one and this home saw the outcome.
    pub attempt: Option<Box<str>>,
}

impl Program {
    /// Returns the number of the last finished call.
    pub fn head(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Returns the hash of the history up to and with call `number`.
    pub fn hash_at(&self, number: u32) -> Option<Digest> {
        match number {
            0 => Some(digest(&[b"program", &self.id.0.to_be_bytes()])),
            n => self.calls.get(n as usize - 1).map(|record| record.hash),
        }
    }

    /// Returns the number of the finished call with this idempotency key.
    pub fn find(&self, key: &str) -> Option<u32> {
        // The call that is repeated is mostly the last one.
        let index = self.calls.iter().rposition(|record| &*record.call.key == key)?;

        Some(index as u32 + 1)
    }

    /// Appends a finished call and returns its number.
    pub fn append(&mut self, call: CallText, outcome: Recorded) -> u32 {
        let before = self.hash_at(self.head()).unwrap_or_default();
        let hash = chain(&before, &call, &outcome);
        let mut tokens = estimate(&call.input);
        let mut texts = digest(&[&self.texts(), call.input.as_bytes()]);

        if let Recorded::Done { output, usage } = &outcome {
            tokens = tokens.plus(estimate(output));
            texts = digest(&[&texts, output.as_bytes()]);
            self.attained = self.attained.plus(usage.prompt_tokens).plus(usage.output_tokens);
        }

        self.history = self.history.plus(tokens);

        // Where the engine counts more than the estimate, its count holds.
        if let Recorded::Done { usage, .. } = &outcome {
            let counted = usage.prompt_tokens.plus(usage.output_tokens);
            self.history = self.history.max(counted);
        }

        self.calls.push(Record { call, outcome, hash, texts, attempt: None });

        self.head()
    }

    /// Takes back the last call, whose outcome was unknown and now is known.
    pub fn pop_unknown(&mut self) {
        if let Some(record) = self.calls.pop() {
            self.history = self.history.minus(estimate(&record.call.input));
        }
    }

    /// Returns the hash of all texts of the history.
    pub fn texts(&self) -> Digest {
        self.calls.last().map(|record| record.texts).unwrap_or_default()
    }

    /// Returns the prompt of a model turn: the history and the new input.
    pub fn prompt(&self, input: &Arc<str>) -> Vec<Arc<str>> {
        let mut parts = Vec::with_capacity(self.calls.len() * 2 + 1);

        for record in &self.calls {
            parts.push(record.call.input.clone());

            if let Recorded::Done { output, .. } = &record.outcome {
                parts.push(output.clone());
            }
        }

        parts.push(input.clone());
        parts
    }

    /// Returns the time left.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline - now
    }
}

/// Returns the hash of a history that ends with this call.
pub(super) fn chain(before: &Digest, call: &CallText, outcome: &Recorded) -> Digest {
    let (kind, text): (&[u8], &str) = match outcome {
        Recorded::Done { output, .. } => (b"done", output),
        Recorded::Failed { message } => (b"failed", message),
        Recorded::Unknown => (b"unknown", ""),
    };

    digest(&[
        before,
        call.key.as_bytes(),
        &call.body,
        call.target.as_bytes(),
        call.input.as_bytes(),
        kind,
        text.as_bytes(),
    ])
}

/// What kind of work a call is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A model turn.
    Turn {
        /// The most tokens to generate.
        max_tokens: u32,
    },
    /// An operation of a plain service that may be run again.
    Repeatable(Box<str>),
    /// An operation of a plain service that must not be run again.
    Once(Box<str>),
}

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for the tenant's rate.
    Admitting,
    /// Waits until its family may spend more.
    Granting,
    /// Waits for a place at a target.
    Placing,
    /// Holds a place and waits for its intent to be durable.
    Intending,
    /// Sent to a target.
    Running,
    /// Done; waits for its record to be durable.
    Recording,
}

/// One who waits for a call's answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller {
    /// Where the answer goes.
    pub ticket: RequestOrigin,
    /// The key that came with the request.
    pub key: KeyId,
    /// Whether it wants the answer streamed.
    pub stream: bool,
}

/// A call under way.
#[derive(Debug)]
pub(super) struct Call {
    /// The program.
    pub program: ProgramKey,
    /// What was asked.
    pub text: CallText,
    /// What kind of work it is.
    pub kind: Kind,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Its number, if it runs to an end.
    pub number: u32,
    /// Who waits for it.
    pub callers: Vec<Caller>,
    /// The key to check once more before it is sent.
    pub key: KeyId,
    /// How far it is.
    pub stage: Stage,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens reserved for the attempt under way or to come.
    pub reserved: Tokens,
    /// The target whose place it holds.
    pub target: Option<TargetId>,
    /// The attempt under way, or the name of its intent.
    pub attempt: Option<AttemptId>,
    /// A target to avoid, because the call just failed there.
    pub avoid: Option<TargetId>,
    /// Whether a target crashed under it.
    pub suspect: bool,
    /// Whether an attempt was lost or failed, so that "not run" cannot be said any more.
    pub may_have_run: bool,
    /// Digest of what is asked, to know a request that crashes targets.
    pub digest: Digest,
    /// When its stage takes too long.
    pub stage_until: Option<Instant>,
}
