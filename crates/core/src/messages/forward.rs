//! Requests on their way from the entry host to a program's home, and back.

/// A request passed on to the home of its program.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// The request's number at the entry host.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// The tenant whose key came with it.
    #[prost(fixed64, tag = "2")]
    pub tenant: u64,
    /// The key, by its public name's id; the secret stays at the entry host.
    #[prost(fixed64, tag = "3")]
    pub key: u64,
    /// A [`crate::calls::Request`] as JSON: the caller's own payload is JSON already.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
}

/// A part of a streamed answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    /// The request's number at the entry host.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// The place of this part in the stream, from 0. A gap ends the stream with an error.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// The text generated.
    #[prost(string, tag = "3")]
    pub text: String,
}

/// The final answer to a request passed on.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// The request's number at the entry host.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// How many chunks went before it.
    #[prost(uint32, tag = "2")]
    pub chunks: u32,
    /// A [`crate::calls::Reply`] as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
}

/// The caller of a request passed on is gone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallerGone {
    /// The request's number at the entry host.
    #[prost(uint64, tag = "1")]
    pub request: u64,
}

/// An operator, through another host, wants the receiver to leave.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Drain {}
