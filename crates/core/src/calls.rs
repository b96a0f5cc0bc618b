//! Requests of callers and the replies to them.
//!
//! These types are encoded as JSON, both for callers and in the messages in which an entry host
//! forwards a request to the program's home. The entry host is the host that received the request
//! from the caller. The home is the host that holds the lease of the program's partition and runs
//! the program.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::hash::Digest;
use crate::ids::ProgramId;
use crate::units::Tokens;

/// A request of an authenticated caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Request {
    /// Opens a program.
    Open(OpenRequest),
    /// Makes one call of a program.
    Call(CallRequest),
    /// Returns a program's state.
    View {
        /// The program.
        program: ProgramId,
    },
    /// Returns the recorded outcome of a call.
    Outcome {
        /// The program.
        program: ProgramId,
        /// The call's idempotency key.
        key: Box<str>,
    },
    /// Returns the calls of a program in order.
    History {
        /// The program.
        program: ProgramId,
        /// The number of the first call to return. Numbers start at 1.
        from: u32,
    },
    /// Ends a program.
    End {
        /// The program.
        program: ProgramId,
    },
}

impl Request {
    /// Returns the program that the request is for.
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
    /// The id of the new program, chosen by the entry host (see [`ProgramId`]).
    pub program: ProgramId,
    /// The template's name.
    pub template: Box<str>,
    /// How long the whole program may take.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// The program that this one is a sub-agent of and whose budget it uses.
    pub parent: Option<ProgramId>,
    /// Whether the caller gave an idempotency key, so that a repeated request finds the program
    /// that the first one opened.
    pub repeatable: bool,
}

/// A request to make one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The program.
    pub program: ProgramId,
    /// The caller's idempotency key for this call.
    pub key: Box<str>,
    /// The number of the last call that the caller has seen; 0 for none.
    pub after: u32,
    /// The target's name in the template.
    pub target: Box<str>,
    /// The input, as JSON text.
    pub input: Box<str>,
    /// The maximum number of tokens to generate; the template's limit if `None`.
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The sealed turns that were not stored yet, as returned with the last answer. The seal is a
    /// MAC, so that callers cannot alter them.
    pub tail: Option<Box<str>>,
    /// The digest of the body as the caller sent it, which distinguishes a repeated request from
    /// another one with the same key.
    pub body: Digest,
}

/// The tokens that a call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The prompt tokens.
    pub prompt_tokens: Tokens,
    /// The prompt tokens that were in the engine's cache.
    pub cached_tokens: Tokens,
    /// The generated tokens.
    pub output_tokens: Tokens,
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Reply {
    /// The program is open.
    Opened(Opened),
    /// The call completed. A repeated request gets the same reply.
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
    /// The program has ended.
    Ended,
    /// The request was refused or failed.
    Refused(Refusal),
}

/// The reply for a newly opened program.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opened {
    /// The program.
    pub program: ProgramId,
    /// The tokens that it may spend.
    pub budget_tokens: Tokens,
    /// The time left until its deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
}

/// A call that completed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedCall {
    /// Its number in the program, starting at 1.
    pub call: u32,
    /// The output, as JSON text.
    pub output: Box<str>,
    /// The tokens that it used.
    pub usage: Usage,
    /// Whether the platform has stored the call.
    pub stored: bool,
    /// The sealed turns that are not stored yet. The caller has to send them with the next call.
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
    /// The tokens that it may still spend.
    pub budget_left_tokens: Tokens,
    /// The time left until its deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_left_ms")]
    pub deadline_left: Duration,
}

/// The recorded outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum CallOutcome {
    /// It is running or queued.
    Running,
    /// It completed.
    Done(CompletedCall),
    /// It failed and will not be retried.
    Failed(Refusal),
}

/// A call in a program's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryCall {
    /// Its number, starting at 1.
    pub call: u32,
    /// Its idempotency key.
    pub key: Box<str>,
    /// The target's name in the template.
    pub target: Box<str>,
    /// The input, as JSON text.
    pub input: Box<str>,
    /// The output, as JSON text.
    pub output: Box<str>,
    /// Whether the platform has stored the call. If not, it may still be lost, unless the caller
    /// sends back the sealed tail of that call.
    #[serde(default)]
    pub stored: bool,
}

/// Whether a refused or failed call was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// It was not executed and never will be. Reported only if this is certain.
    No,
    /// It may have been executed. It is not retried.
    Maybe,
    /// It was executed.
    Yes,
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller's key is missing, unknown or withdrawn.
    Unauthorized,
    /// The URL path or the program does not exist, or the program has ended or belongs to another
    /// tenant.
    NotFound,
    /// The call does not follow the program's last finished call (its head).
    OutOfOrder,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The program's budget does not cover the call.
    BudgetExhausted,
    /// The request has crashed targets before.
    Quarantined,
    /// The tenant exceeds its rate and burst.
    OverRate,
    /// The request could not be served within its deadline.
    Overloaded,
    /// The platform is unavailable and the request needs it.
    PlatformUnavailable,
    /// The host is shutting down, or the program is moving to another home.
    Leaving,
    /// The deadline passed.
    Deadline,
    /// The call may have been executed, but its outcome is lost.
    OutcomeUnknown,
}

impl Code {
    /// Returns the HTTP status for this code.
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

/// The final refusal or failure of a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// The reason as text for people.
    pub message: Box<str>,
    /// Whether the call was executed.
    pub ran: Executed,
    /// After what time a retry may succeed.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms", default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
    /// The number of the program's last finished call, with [`Code::OutOfOrder`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head: Option<u32>,
}

impl Refusal {
    /// Creates a refusal of a request that was not executed.
    pub fn not_run(code: Code, message: impl Into<Box<str>>) -> Self {
        Self { code, message: message.into(), ran: Executed::No, retry_after: None, head: None }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets whether the call was executed.
    pub fn ran(mut self, ran: Executed) -> Self {
        self.ran = ran;
        self
    }
}
