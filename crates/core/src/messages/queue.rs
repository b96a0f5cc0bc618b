//! Asking a pool's queue, which one host of a zone keeps, for a place at a target.

/// A message between a program's home and the host that keeps a pool's queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QueueMessage {
    /// What it says.
    #[prost(oneof = "QueueBody", tags = "1, 2, 3, 4")]
    pub body: Option<QueueBody>,
}

/// The content of a [`QueueMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum QueueBody {
    /// A call asks for a place.
    #[prost(message, tag = "1")]
    RequestPlace(RequestPlace),
    /// The call may go to this target.
    #[prost(message, tag = "2")]
    Grant(Grant),
    /// The call cannot be served in time.
    #[prost(message, tag = "3")]
    RefusePlace(RefusePlace),
    /// The call is over, or is no longer wanted; its place is free.
    #[prost(message, tag = "4")]
    ReleasePlace(ReleasePlace),
}

/// A call asks for a place at a target of a pool.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestPlace {
    /// The asking host's number for this question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The pool.
    #[prost(fixed64, tag = "2")]
    pub pool: u64,
    /// The tenant.
    #[prost(fixed64, tag = "3")]
    pub tenant: u64,
    /// The class.
    #[prost(fixed64, tag = "4")]
    pub class: u64,
    /// The program, high half first.
    #[prost(fixed64, tag = "5")]
    pub program_high: u64,
    /// The program's low half.
    #[prost(fixed64, tag = "6")]
    pub program_low: u64,
    /// Tokens that the program has been served so far.
    #[prost(uint64, tag = "7")]
    pub attained_tokens: u64,
    /// Tokens of the prompt.
    #[prost(uint64, tag = "8")]
    pub prompt_tokens: u64,
    /// The most tokens to be generated.
    #[prost(uint32, tag = "9")]
    pub output_tokens: u32,
    /// Milliseconds left until the program's deadline.
    #[prost(uint64, tag = "10")]
    pub deadline_left_ms: u64,
    /// A target not to be chosen, because this call just failed there; 0 for none.
    #[prost(fixed64, tag = "11")]
    pub avoid: u64,
    /// Whether the call was in flight when a target crashed: it must run alone.
    #[prost(bool, tag = "12")]
    pub suspect: bool,
}

/// A call may go to a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    /// The number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The target.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
}

/// A call cannot be served in time.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RefusePlace {
    /// The number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// When a later try can help, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// A call's place is free.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReleasePlace {
    /// The number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// How it ended at the target: 0 not sent, 1 finished, 2 failed, 3 the target crashed.
    #[prost(uint32, tag = "2")]
    pub end: u32,
    /// Tokens of the prompt that were not in the engine's cache.
    #[prost(uint64, tag = "3")]
    pub computed_tokens: u64,
    /// Tokens generated.
    #[prost(uint64, tag = "4")]
    pub output_tokens: u64,
    /// Whether the program is over and its prefix is of no more use.
    #[prost(bool, tag = "5")]
    pub program_over: bool,
}
