//! State that the home host keeps: partitions, programs, their call history, and calls in
//! progress.

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
use super::entries::{CallText, RecordedOutcome};
use super::journal::LeaseTerm;
use crate::shared_types::CallId;

slotmap::new_key_type! {
    /// Key of a program in memory.
    pub(super) struct ProgramKey;
}

/// Estimated bytes of text per token, used until an engine reports a token count.
const BYTES_PER_TOKEN: u64 = 4;

/// Estimates the tokens of a text that no engine has counted yet.
pub(super) fn estimate(text: &str) -> Tokens {
    Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN))
}

/// A request that waits until its partition's journal has been read.
#[derive(Debug)]
pub(super) struct ParkedRequest {
    /// Identifies the request in the answer.
    pub origin: RequestOrigin,
    /// The tenant that sent it.
    pub tenant: TenantId,
    /// The API key it was sent with.
    pub key: KeyId,
    /// The request itself.
    pub request: Request,
    /// When this host refuses the request, if it has not read the journal by then.
    pub until: Instant,
}

/// A partition whose journal is being read.
#[derive(Debug)]
pub(super) struct Recovery {
    /// The lease term; `next_row` is one past the last row read so far.
    pub term: LeaseTerm,
    /// The next read to issue.
    pub next_read: ReadStep,
    /// State of the checkpoint that was read, or the default if there is none.
    pub compaction: Compaction,
    /// The last journal row that the checkpoint covers.
    pub checkpoint_row: u64,
    /// The key of the last row read; empty before the first.
    pub last_key: Box<str>,
    /// Requests that arrived while the journal is being read.
    pub parked: Vec<ParkedRequest>,
    /// Whether reading has not started yet, because a write of this host to the journal is in
    /// flight or no configuration is known.
    pub blocked: bool,
    /// When to retry a failed read.
    pub retry_at: Option<Instant>,
}

/// The next read of a recovery.
#[derive(Debug)]
pub(super) enum ReadStep {
    /// Read the checkpoint row.
    Checkpoint,
    /// Read the checkpoint's objects, in this order.
    Parts(VecDeque<ObjectName>),
    /// Scan the journal rows.
    Rows,
}

/// Lifecycle state of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProgramState {
    /// The opening is not durable yet.
    Opening,
    /// Calls are accepted.
    Open,
    /// The program ended; the end may not be durable yet.
    Ended,
}

/// A program on its home host.
#[derive(Debug)]
pub(super) struct Program {
    /// The program's id.
    pub id: ProgramId,
    /// The tenant that opened it.
    pub tenant: TenantId,
    /// The name of its template.
    pub template: Box<str>,
    /// Its scheduling class.
    pub class: ClassId,
    /// The partition that its id falls into.
    pub partition: PartitionId,
    /// The parent, if the program is a sub-agent.
    pub parent: Option<ProgramId>,
    /// The root of the family, whose budget the program spends.
    pub root: ProgramId,
    /// The number of ancestors.
    pub depth: u8,
    /// The account that holds the family's budget.
    pub account: AccountKey,
    /// The digest of the opening's parameters, to recognize a repeat of the opening.
    pub parameters_digest: Digest,
    /// Whether the caller may repeat the opening.
    pub repeatable: bool,
    /// When this host ends the program, if it is still open then.
    pub deadline: Instant,
    /// The lifecycle state.
    pub state: ProgramState,
    /// Finished calls in order; call number `n` is at index `n - 1`.
    pub calls: Vec<FinishedCall>,
    /// How many of `calls` are durable on the platform.
    pub stored: u32,
    /// Tokens of all inputs and outputs so far, each counted once.
    pub history: Tokens,
    /// Attained service: prompt and output tokens of all turns so far.
    pub attained: Tokens,
    /// The call in progress, if any.
    pub running: Option<CallId>,
    /// Sub-agents that are still in memory.
    pub children: Vec<ProgramId>,
    /// How many sub-agents the program has opened.
    pub openings: u32,
    /// The last journal row covered by the checkpoint image that the program was loaded from; 0 if
    /// it was not loaded from one.
    pub image_row: u64,
    /// Whether the write of an intent that will never be sent may still take effect. Until that
    /// is known no later entry of this program may be journaled, so calls are refused.
    pub in_doubt: bool,
    /// The last intent read from the journal, with its name, if the journal holds neither its
    /// outcome nor any later call.
    pub open_intent: Option<(Box<str>, CallText)>,
    /// Whether the partition was lost while a call was running. The program is kept only until
    /// that call is answered.
    pub orphan: bool,
    /// Callers that wait for the opening to become durable.
    pub opening_origins: Vec<RequestOrigin>,
    /// Callers that wait for the end to become durable.
    pub ending_origins: Vec<RequestOrigin>,
    /// Whether the end of the program is durable.
    pub end_stored: bool,
    /// When an ended program is removed from memory.
    pub forget_at: Option<Instant>,
}

/// A finished call in a program's history.
#[derive(Clone, Debug)]
pub(super) struct FinishedCall {
    /// The request of the call.
    pub call: CallText,
    /// The outcome.
    pub outcome: RecordedOutcome,
    /// The hash chain of the history up to and including this call.
    pub hash: Digest,
    /// The hash of the texts alone up to and including this call. It is equal for two programs
    /// with equal prompts.
    pub texts_hash: Digest,
    /// The name of its intent, if the call had one and this host saw the outcome.
    pub attempt: Option<Box<str>>,
}

impl Program {
    /// Returns the number of the last finished call; zero if there is none.
    pub fn head(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Returns the hash of the history up to and including call `number`.
    pub fn hash_at(&self, number: u32) -> Option<Digest> {
        match number {
            0 => Some(digest(&[b"program", &self.id.0.to_be_bytes()])),
            n => self.calls.get(n as usize - 1).map(|record| record.hash),
        }
    }

    /// Returns the number of the finished call with this idempotency key.
    pub fn find(&self, key: &str) -> Option<u32> {
        // A repeated call is usually the most recent one, so the search starts at the end.
        let index = self.calls.iter().rposition(|record| &*record.call.key == key)?;

        Some(index as u32 + 1)
    }

    /// Appends a finished call and returns its number.
    pub fn append(&mut self, call: CallText, outcome: RecordedOutcome) -> u32 {
        let before = self.hash_at(self.head()).unwrap_or_default();
        let hash = chain_hash(&before, &call, &outcome);
        let mut tokens = estimate(&call.input);
        let mut texts_hash = digest(&[&self.texts_hash(), call.input.as_bytes()]);

        if let RecordedOutcome::Done { output, usage } = &outcome {
            tokens = tokens.plus(estimate(output));
            texts_hash = digest(&[&texts_hash, output.as_bytes()]);
            self.attained = self.attained.plus(usage.prompt_tokens).plus(usage.output_tokens);
        }

        self.history = self.history.plus(tokens);

        // An engine's count overrides a lower estimate.
        if let RecordedOutcome::Done { usage, .. } = &outcome {
            let counted = usage.prompt_tokens.plus(usage.output_tokens);
            self.history = self.history.max(counted);
        }

        self.calls.push(FinishedCall { call, outcome, hash, texts_hash, attempt: None });

        self.head()
    }

    /// Removes the last call, whose outcome was unknown and has now been found.
    pub fn pop_unknown(&mut self) {
        if let Some(record) = self.calls.pop() {
            self.history = self.history.minus(estimate(&record.call.input));
        }
    }

    /// Returns the hash of all texts in the history.
    pub fn texts_hash(&self) -> Digest {
        self.calls.last().map(|record| record.texts_hash).unwrap_or_default()
    }

    /// Returns the prompt of a model turn: all earlier inputs and outputs, then the new input.
    pub fn prompt(&self, input: &Arc<str>) -> Vec<Arc<str>> {
        let mut parts = Vec::with_capacity(self.calls.len() * 2 + 1);

        for record in &self.calls {
            parts.push(record.call.input.clone());

            if let RecordedOutcome::Done { output, .. } = &record.outcome {
                parts.push(output.clone());
            }
        }

        parts.push(input.clone());
        parts
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline - now
    }
}

/// Returns the hash of a history after this call is appended to it.
pub(super) fn chain_hash(before: &Digest, call: &CallText, outcome: &RecordedOutcome) -> Digest {
    let (kind, text): (&[u8], &str) = match outcome {
        RecordedOutcome::Done { output, .. } => (b"done", output),
        RecordedOutcome::Failed { message } => (b"failed", message),
        RecordedOutcome::Unknown => (b"unknown", ""),
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

/// The kind of work that a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum WorkKind {
    /// A model turn on an engine.
    Turn {
        /// The maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// A service operation that is safe to run again.
    Idempotent(Box<str>),
    /// A service operation that must run at most once.
    NonIdempotent(Box<str>),
}

/// The stage that a call has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for the tenant's rate limit.
    AwaitingAdmission,
    /// Waits until a larger budget grant is durable.
    AwaitingGrant,
    /// Waits for a place at a target.
    AwaitingPlace,
    /// Holds a place and waits until its intent is durable.
    JournalingIntent,
    /// Sent to a target.
    Running,
    /// Finished; waits until its outcome is durable.
    JournalingOutcome,
}

/// A caller that waits for a call's answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller {
    /// Identifies the request in the answer.
    pub origin: RequestOrigin,
    /// The API key that the request was sent with.
    pub key: KeyId,
    /// Whether the caller wants the answer streamed.
    pub stream: bool,
}

/// A call in progress.
#[derive(Debug)]
pub(super) struct Call {
    /// The program that the call belongs to.
    pub program: ProgramKey,
    /// The request of the call.
    pub text: CallText,
    /// The kind of work.
    pub kind: WorkKind,
    /// The pool whose targets can serve the call.
    pub pool: PoolId,
    /// The number the call gets in the history when it finishes.
    pub number: u32,
    /// Callers that wait for the answer.
    pub callers: Vec<Caller>,
    /// The API key that the runtime checks again before it sends the call.
    pub key: KeyId,
    /// The stage that the call has reached.
    pub stage: Stage,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens reserved for the current or next attempt.
    pub reserved: Tokens,
    /// The target where the call holds a place.
    pub target: Option<TargetId>,
    /// The current attempt; its id also names the intent.
    pub attempt: Option<AttemptId>,
    /// A target to avoid because the last attempt failed there.
    pub avoid: Option<TargetId>,
    /// Whether a target crashed while running this request.
    pub suspect: bool,
    /// The crashes that counted against the request when the call last asked for a place.
    pub crashes_before: u8,
    /// Whether an attempt failed or was lost, so that the call can no longer be reported as not
    /// run.
    pub may_have_run: bool,
    /// Digest that identifies the request if it crashes targets.
    pub digest: Digest,
    /// When the current stage times out.
    pub stage_until: Option<Instant>,
}
