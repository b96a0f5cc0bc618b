//! What callers ask and what they are answered.
//!
//! These types travel as JSON: to callers, and inside the frame in which an entry host
//! passes a request on to the home of the program.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::hash::Digest;
use crate::ids::ProgramId;
use crate::units::Tokens;

/// A caller's request, after its key was checked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Request {
    /// Opens a program.
    Open(OpenRequest),
    /// Makes one call of a program.
    Call(CallRequest),
    /// Asks for a program's state.
    View {
        /// The program.
        program: ProgramId,
    },
    /// Asks for the recorded outcome of a call.
    Outcome {
        /// The program.
        program: ProgramId,
        /// The call's idempotency key.
        key: Box<str>,
    },
    /// Asks for the calls of a program in order.
    History {
        /// The program.
        program: ProgramId,
        /// The first call to return; the first of all is 1.
        from: u32,
    },
    /// Ends a program.
    End {
        /// The program.
        program: ProgramId,
    },
}

impl Request {
    /// Returns the program that it is about.
    ///
    /// ```
    /// use camphorwalk_core::calls::Request;
    /// use camphorwalk_core::ids::ProgramId;
    /// assert_eq!(Request::End { program: ProgramId(7) }.program(), ProgramId(7));
    /// ```
    pub fn program(&self) -> ProgramId {
        match self {
            Self::Open(open) => open.program,
            Self::Call(call) => call.program,
            Self::View { program }
            | Self::Outcome { program, .. }
            | Self::History { program, .. }
            | Self::End { program } => *program,
        }
    }
}

/// A request to open a program.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// The id it will have, chosen by the entry host (see [`ProgramId`]).
    pub program: ProgramId,
    /// The template's name.
    pub template: Box<str>,
    /// How long the caller waits for the whole program.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// The program that this one is a sub-agent of; its budget is drawn from.
    pub parent: Option<ProgramId>,
    /// Whether the caller gave an idempotency key: then a repeat finds the first.
    pub repeatable: bool,
}

/// A request to make one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The program.
    pub program: ProgramId,
    /// The caller's idempotency key for this call.
    pub key: Box<str>,
    /// The last call that the caller has seen; 0 at first.
    pub after: u32,
    /// The target's name in the template.
    pub target: Box<str>,
    /// The input, as JSON text.
    pub input: Box<str>,
    /// The most tokens to generate; the template's limit if left out.
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The sealed turns that were not stored yet, as the last answer gave them.
    pub tail: Option<Box<str>>,
    /// The digest of the body as the caller sent it, to tell a repeat from a reused key.
    pub body: Digest,
}

/// The tokens that a call took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the prompt that the engine had in its cache.
    pub cached_tokens: Tokens,
    /// Tokens generated.
    pub output_tokens: Tokens,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Reply {
    /// The program is open.
    Opened(Opened),
    /// The call ran; a repeat gets the same.
    Called(CompletedCall),
    /// A program's state.
    View(ProgramView),
    /// A call's recorded outcome.
    Outcome(CallOutcome),
    /// A program's calls.
    History {
        /// The calls, in order.
        calls: Vec<HistoryCall>,
    },
    /// The program is ended.
    Ended,
    /// The request was refused or failed.
    Refused(Refusal),
}

/// A program as opened.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opened {
    /// The program.
    pub program: ProgramId,
    /// What it may spend.
    pub budget_tokens: Tokens,
    /// How long is left until its deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
}

/// A call that ran to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedCall {
    /// Its number in the program; the first is 1.
    pub call: u32,
    /// The output, as JSON text.
    pub output: Box<str>,
    /// The tokens it took.
    pub usage: Usage,
    /// Whether the platform holds it.
    pub stored: bool,
    /// The sealed turns that are not stored yet, to be handed back with the next call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tail: Option<Box<str>>,
}

/// A program's state.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramView {
    /// The program.
    pub program: ProgramId,
    /// Its template.
    pub template: Box<str>,
    /// `open` or `ended`.
    pub state: Box<str>,
    /// The number of its last finished call.
    pub head: u32,
    /// What it may still spend.
    pub budget_left_tokens: Tokens,
    /// How long is left until its deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_left_ms")]
    pub deadline_left: Duration,
}

/// The recorded outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum CallOutcome {
    /// It runs, or waits to.
    Running,
    /// It ran.
    Done(CompletedCall),
    /// It failed for good.
    Failed(Refusal),
}

/// A call in a program's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryCall {
    /// Its number; the first is 1.
    pub call: u32,
    /// Its idempotency key.
    pub key: Box<str>,
    /// The target's name in the template.
    pub target: Box<str>,
    /// The input, as JSON text.
    pub input: Box<str>,
    /// The output, as JSON text.
    pub output: Box<str>,
    /// Whether the platform holds it; one that it does not hold may yet be lost, unless the
    /// caller of that call hands its sealed tail back.
    #[serde(default)]
    pub stored: bool,
}

/// Whether the call behind a refusal ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// It did not and will not: a promise. Said only by whoever can prove it.
    No,
    /// It may have run; it is not repeated.
    Maybe,
    /// It ran.
    Yes,
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The body is over the limit.
    TooLarge,
    /// The key is missing, unknown or withdrawn.
    Unauthorized,
    /// There is no such thing, or it is another tenant's.
    NotFound,
    /// The call does not follow the program's head.
    OutOfOrder,
    /// The idempotency key came before with another body.
    KeyReused,
    /// The program's budget does not cover the call.
    BudgetExhausted,
    /// The request brought targets down before.
    Quarantined,
    /// The tenant is over its rate and burst.
    OverRate,
    /// The deadline could not be met.
    Overloaded,
    /// The platform is away and the call needs it.
    PlatformUnavailable,
    /// The host is shutting down, or the program's home is moving.
    Leaving,
    /// The deadline passed.
    Deadline,
    /// The call may have run; its outcome is lost.
    OutcomeUnknown,
}

impl Code {
    /// Returns the HTTP status that goes with this code.
    ///
    /// ```
    /// use camphorwalk_core::calls::Code;
    /// assert_eq!(Code::OverRate.status(), 429);
    /// ```
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::TooLarge => 413,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::OutOfOrder | Self::KeyReused => 409,
            Self::BudgetExhausted => 403,
            Self::Quarantined => 422,
            Self::OverRate => 429,
            Self::Overloaded | Self::PlatformUnavailable | Self::Leaving => 503,
            Self::Deadline => 504,
            Self::OutcomeUnknown => 502,
        }
    }
}

/// A refusal or a failure, final for this request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// The reason for a human reader.
    pub message: Box<str>,
    /// Whether the call ran.
    pub ran: Executed,
    /// When a later try can help.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms", default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
    /// The program's head, with [`Code::OutOfOrder`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head: Option<u32>,
}

impl Refusal {
    /// Makes a refusal of a request that did not run.
    pub fn not_run(code: Code, message: impl Into<Box<str>>) -> Self {
        Self { code, message: message.into(), ran: Executed::No, retry_after: None, head: None }
    }

    /// Returns this refusal with the time after which a later try can help.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns this refusal saying this of whether the call ran.
    pub fn ran(mut self, ran: Executed) -> Self {
        self.ran = ran;
        self
    }
}
