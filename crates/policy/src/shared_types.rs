//! Types that the controllers of one host exchange with each other.

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::calls::Usage;
use camphorwalk_core::ids::{
    AttemptId, ClassId, HostId, KeyId, PoolId, ProgramId, TargetId, TenantId,
};
use camphorwalk_core::units::Tokens;

slotmap::new_key_type! {
    /// Identifies a call that is in progress at its program's home, the host that runs the
    /// program's calls.
    pub struct CallId;
}

/// The result of checking whether a tenant may make one more call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call is allowed; one token of the tenant's rate was taken.
    Admitted,
    /// The tenant exceeds its rate and burst.
    Refused {
        /// The time until a token becomes available, if the tenant makes no other calls.
        retry_after: Duration,
    },
}

/// Identifies a request for a place: the right to have one call in flight at a target. The home of
/// the call's program sends the request to the host that runs the queue of the target's pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlaceRequestId {
    /// The requesting host.
    pub host: HostId,
    /// The number that the requesting host gave to the request.
    pub number: u64,
}

/// A call's request to a pool's queue for a place at one of its targets.
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
    /// Tokens that were processed for the program so far, prompts and outputs; zero marks the first
    /// call of a new program. The count of a sub-agent starts above zero.
    pub attained: Tokens,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The maximum number of tokens to generate.
    pub output: Tokens,
    /// The time left until the program's deadline when the request is sent.
    pub deadline_left: Duration,
    /// A target that must not be chosen, because this call just failed there.
    pub avoid: Option<TargetId>,
    /// Whether a target crashed while the call was in flight there: the call must run alone at its
    /// next target.
    pub suspect: bool,
}

/// The report that releases a place at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceRelease {
    /// How the attempt ended.
    pub outcome: PlaceOutcome,
    /// Prompt tokens that were not in the engine's cache and had to be computed.
    pub computed_prompt: Tokens,
    /// The number of generated tokens.
    pub output: Tokens,
    /// Whether the program ended, so that its cached prefix is no longer needed.
    pub program_ended: bool,
}

/// How an attempt ended, in the detail that queues need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlaceOutcome {
    /// Nothing was sent to the target; also used when a place request is withdrawn before it is
    /// granted.
    NotSent,
    /// The target answered with a result.
    Finished,
    /// The target refused the attempt or answered with a failure, or the attempt was cancelled or
    /// timed out.
    Failed,
    /// The target crashed during the attempt or could not be reached.
    Crashed,
}

/// An attempt of a call that is to be sent to a target.
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
    /// The API key of the call. The runtime checks it once more just before it sends the attempt.
    pub key: KeyId,
    /// The program.
    pub program: ProgramId,
    /// The call's number in the program.
    pub number: u32,
    /// The content to send.
    pub payload: AttemptPayload,
    /// The request whose caller receives the output as a stream, if a caller asked for that.
    pub stream: Option<camphorwalk_core::ids::RequestOrigin>,
    /// The time limit of the attempt.
    pub timeout: Duration,
}

/// The content that an attempt sends to its target.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptPayload {
    /// A model turn.
    Generate {
        /// The program's history and the new input, with one element for each input and output.
        prompt: Vec<Arc<str>>,
        /// The maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// An operation of a plain service.
    Operation {
        /// The operation.
        operation: Box<str>,
        /// The caller's idempotency key, for services that use it.
        key: Box<str>,
        /// The input, as JSON text.
        input: Box<str>,
    },
}

/// How an attempt ended at its target.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The complete answer arrived.
    Done {
        /// The output, as JSON text.
        output: Box<str>,
        /// The tokens that were used.
        usage: Usage,
    },
    /// No connection to the target could be made: no byte of the request was or will be sent.
    NotSent,
    /// The target answered that it did not run the request, for example because its queue was full.
    Refused {
        /// The target's reason.
        message: Box<str>,
    },
    /// The target ran the request and answered with a failure.
    Failed {
        /// The target's reason.
        message: Box<str>,
    },
    /// The connection broke or the time limit was reached after bytes were sent: the request may
    /// have run.
    Lost {
        /// Whether part of the answer was already streamed to the caller.
        streamed: bool,
        /// Whether the target crashed (connection reset), rather than being slow.
        crashed: bool,
    },
    /// The program's home cancelled the attempt.
    Cancelled,
}
