//! Requests that an entry host forwards to a program's home, and the answers of the home.
//!
//! The entry host is the host that received the request from its caller. The home is the host that
//! holds the lease of the program's partition.

/// A request forwarded to the home of its program.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// The request's number at the entry host.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// The tenant that the caller's key belongs to.
    #[prost(fixed64, tag = "2")]
    pub tenant: u64,
    /// The id of the caller's key, derived from its public name. The secret is not forwarded.
    #[prost(fixed64, tag = "3")]
    pub key: u64,
    /// A [`crate::calls::Request`] as JSON, since the caller's payload in it is JSON already.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
}

/// A part of a streamed answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    /// The request's number at the entry host.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// The index of this part in the stream, from 0. A gap ends the stream with an error.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// The generated text.
    #[prost(string, tag = "3")]
    pub text: String,
}

/// The final answer to a forwarded request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// The request's number at the entry host.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// The number of chunks sent before this answer.
    #[prost(uint32, tag = "2")]
    pub chunks: u32,
    /// A [`crate::calls::Reply`] as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
}

/// The caller of a forwarded request has disconnected.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallerGone {
    /// The request's number at the entry host.
    #[prost(uint64, tag = "1")]
    pub request: u64,
}

/// An operator asks the receiver, through another host, to shut down.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Drain {}
