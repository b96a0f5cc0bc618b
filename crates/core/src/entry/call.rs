//! The headers of a call, parsed.

use std::time::Duration;

/// One part of a prompt. Calls with the same part share its cached prefix at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part. The part that holds a conversation keeps its id as it grows.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The size of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Upper limit of the tokens that this call may generate.
    pub max_output: u32,
}

/// What a caller sends about a call besides its method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's id for this attempt; each retry has a new one.
    pub request_id: Box<str>,
    /// The API key, which identifies the tenant.
    pub api_key: Option<Box<str>>,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// The program that the call belongs to.
    pub program: Option<Box<str>>,
    /// The conversation within the program that the call belongs to.
    pub session: Option<Box<str>>,
    /// Time until the whole program should be finished.
    pub program_deadline: Option<Duration>,
    /// Upper limit of the tokens that all turns of the program together may generate.
    pub budget: Option<u64>,
    /// The id of the turn that this one continues.
    pub previous_turn: Option<Box<str>>,
    /// The size of the generation.
    pub tokens: Option<TokenCount>,
    /// The parts of the prompt, in order.
    pub prefix: Vec<PromptPart>,
    /// Key for sticky routing: a target that recently handled a call with this key is faster.
    pub affinity_key: Option<Box<str>>,
    /// The last event that the caller received of a stream that it wants to resume.
    pub last_event: Option<u64>,
    /// The request id of the attempt that brought the first event of that stream.
    pub resumes: Option<Box<str>>,
}

impl CallHead {
    /// Returns whether the call starts a conversation: it neither continues a previous turn nor
    /// resumes a stream. Its program may be running already, for example if a sub-agent starts.
    ///
    /// ```
    /// use camphorwalk_core::entry::CallHead;
    /// assert!(CallHead::default().starts_conversation());
    /// ```
    pub fn starts_conversation(&self) -> bool {
        self.previous_turn.is_none() && self.last_event.is_none()
    }
}
