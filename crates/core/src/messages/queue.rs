//! Requests for a place at a target, the right to have one call in flight there.
//!
//! One host of each zone runs the queue of a pool and grants the places. The home of a program, the
//! host that holds the lease of the program's partition, requests places for the program's calls.

/// A message between a program's home and the host that runs a pool's queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QueueMessage {
    /// The content.
    #[prost(oneof = "QueueBody", tags = "1, 2, 3, 4")]
    pub body: Option<QueueBody>,
}

/// The content of a [`QueueMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum QueueBody {
    /// Requests a place for a call.
    #[prost(message, tag = "1")]
    RequestPlace(RequestPlace),
    /// Grants a place at a target.
    #[prost(message, tag = "2")]
    Grant(Grant),
    /// Refuses a place because the call cannot be served in time.
    #[prost(message, tag = "3")]
    RefusePlace(RefusePlace),
    /// Releases a place because the call has ended or was cancelled.
    #[prost(message, tag = "4")]
    ReleasePlace(ReleasePlace),
}

/// Requests a place at a target of a pool for a call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestPlace {
    /// The number of the request, chosen by the requesting host.
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
    /// The high half of the program's id.
    #[prost(fixed64, tag = "5")]
    pub program_high: u64,
    /// The low half of the program's id.
    #[prost(fixed64, tag = "6")]
    pub program_low: u64,
    /// The tokens of service that the program has received so far.
    #[prost(uint64, tag = "7")]
    pub attained_tokens: u64,
    /// Tokens of the prompt.
    #[prost(uint64, tag = "8")]
    pub prompt_tokens: u64,
    /// The maximum number of tokens to generate.
    #[prost(uint32, tag = "9")]
    pub output_tokens: u32,
    /// Milliseconds left until the program's deadline.
    #[prost(uint64, tag = "10")]
    pub deadline_left_ms: u64,
    /// A target to avoid because this call just failed there; 0 for none.
    #[prost(fixed64, tag = "11")]
    pub avoid: u64,
    /// Whether the call was in flight when a target crashed. It must then run alone, so that a
    /// further crash shows whether it is the cause.
    #[prost(bool, tag = "12")]
    pub suspect: bool,
}

/// Grants a place at a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    /// The number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The target.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
}

/// Refuses a place because the call cannot be served in time.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RefusePlace {
    /// The number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// After how many milliseconds a retry may succeed.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// Releases the place of a call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReleasePlace {
    /// The number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The outcome at the target: 0 not sent, 1 finished, 2 failed, 3 the target crashed.
    #[prost(uint32, tag = "2")]
    pub end: u32,
    /// The prompt tokens that were not in the engine's cache.
    #[prost(uint64, tag = "3")]
    pub computed_tokens: u64,
    /// The tokens generated.
    #[prost(uint64, tag = "4")]
    pub output_tokens: u64,
    /// Whether the program has ended, so that its cached prefix is no longer needed.
    #[prost(bool, tag = "5")]
    pub program_over: bool,
}
