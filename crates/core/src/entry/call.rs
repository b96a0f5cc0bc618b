//! The head of a call, as its caller sent it.

use std::time::Duration;

/// One part of a prompt; calls that share a part share its cached prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// How many tokens a generation reads and may write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// The tokens of the prompt.
    pub prompt: u32,
    /// The most tokens that this one call may generate.
    pub max_output: u32,
}

/// What a caller says of a call besides its method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's name for this attempt; a retry has another.
    pub request_id: Box<str>,
    /// The key that stands for a tenant.
    pub api_key: Option<Box<str>>,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// The program that the call belongs to.
    pub program: Option<Box<str>>,
    /// The line of turns within the program.
    pub session: Option<Box<str>>,
    /// How long until the whole program should be finished.
    pub program_deadline: Option<Duration>,
    /// The tokens that all turns of the program together may generate.
    pub budget: Option<u64>,
    /// The turn that this one continues from.
    pub previous_turn: Option<Box<str>>,
    /// The size of the generation.
    pub tokens: Option<TokenCount>,
    /// The parts of the prompt in order.
    pub prefix: Vec<PromptPart>,
    /// The object that the call concerns; a target that handled it lately is faster.
    pub affinity_key: Option<Box<str>>,
    /// The last event that the caller has of a stream that broke.
    pub last_event: Option<u64>,
}

impl CallHead {
    /// Returns whether this is a turn that begins a program, as far as its head tells.
    ///
    /// ```
    /// use camphorwalk_core::entry::CallHead;
    /// assert!(CallHead::default().starts_conversation());
    /// ```
    pub fn starts_conversation(&self) -> bool {
        self.previous_turn.is_none() && self.last_event.is_none()
    }
}
