//! What the controllers of one host say to each other.

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::calls::Usage;
use camphorwalk_core::ids::{
    AttemptId, ClassId, HostId, KeyId, PoolId, ProgramId, TargetId, TenantId,
};
use camphorwalk_core::units::Tokens;

slotmap::new_key_type! {
    /// A call that is under way at its program's home.
    pub struct CallId;
}

/// The answer to "may this tenant make one more call now".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may; the token is taken.
    Admitted,
    /// It is over its rate and burst.
    Refused {
        /// When a token will be there, if the tenant sends nothing else.
        retry_after: Duration,
    },
}

/// A question for a place at a target, from whichever host is home of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlaceRequestId {
    /// The asking host.
    pub host: HostId,
    /// Its number for the question.
    pub number: u64,
}

/// What a call asks of a pool's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceRequest {
    /// The pool.
    pub pool: PoolId,
    /// The tenant.
    pub tenant: TenantId,
    /// The class.
    pub class: ClassId,
    /// The program.
    pub program: ProgramId,
    /// Tokens that the program has been served so far, prompts and outputs; zero marks the
    /// first call of a new program. A sub-agent's count begins above zero.
    pub attained: Tokens,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// The most tokens to be generated.
    pub output: Tokens,
    /// Time left until the program's deadline.
    pub deadline_left: Duration,
    /// A target not to be chosen, because this call just failed there.
    pub avoid: Option<TargetId>,
    /// Whether the call was in flight when a target crashed: it must run alone there.
    pub suspect: bool,
}

/// How a place at a target was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceRelease {
    /// How the attempt ended.
    pub outcome: PlaceOutcome,
    /// Tokens of the prompt that were not in the engine's cache.
    pub computed_prompt: Tokens,
    /// Tokens generated.
    pub output: Tokens,
    /// Whether the program is over, so that its prefix is of no more use.
    pub program_ended: bool,
}

/// How an attempt ended, as far as the queue minds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlaceOutcome {
    /// Nothing was sent; also for a question that is withdrawn before its grant.
    NotSent,
    /// The target answered.
    Finished,
    /// The target answered with a failure, or was cancelled.
    Failed,
    /// The target went away under it.
    Crashed,
}

/// An attempt of a call, to be sent to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The call it belongs to.
    pub call: CallId,
    /// The target.
    pub target: TargetId,
    /// The tenant.
    pub tenant: TenantId,
    /// The key that came with the call, checked once more just before sending.
    pub key: KeyId,
    /// The program.
    pub program: ProgramId,
    /// The call's number in the program.
    pub number: u32,
    /// What to send.
    pub payload: AttemptPayload,
    /// Where to stream to, if the caller asked for it.
    pub stream: Option<camphorwalk_core::ids::RequestOrigin>,
    /// The time allowed for it.
    pub timeout: Duration,
}

/// What an attempt sends.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptPayload {
    /// A model turn.
    Generate {
        /// The program's history and the new input, one part for each input and output.
        prompt: Vec<Arc<str>>,
        /// The most tokens to generate.
        max_tokens: u32,
    },
    /// An operation of a plain service.
    Operation {
        /// The operation.
        operation: Box<str>,
        /// The caller's idempotency key, for services that look at it.
        key: Box<str>,
        /// The input, as JSON text.
        input: Box<str>,
    },
}

/// How an attempt ended at its target.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Done {
        /// The output, as JSON text.
        output: Box<str>,
        /// The tokens it took.
        usage: Usage,
    },
    /// The target could not be connected to: not one byte of the request was sent, and none
    /// will be.
    NotSent,
    /// The target answered that it did not run it (a full queue, a refusal).
    Refused {
        /// The target's reason.
        message: Box<str>,
    },
    /// The target ran it and answered with a failure.
    Failed {
        /// The target's reason.
        message: Box<str>,
    },
    /// The connection broke, or time ran out, after bytes were sent: it may have run.
    Lost {
        /// Whether a part of the answer already reached the caller.
        streamed: bool,
        /// Whether the target went away (connection reset), rather than being slow.
        crashed: bool,
    },
    /// It was cancelled at the wish of the home.
    Cancelled,
}
