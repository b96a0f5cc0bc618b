//! The messages between hosts.
//!
//! One [`PeerMessage`] is one frame. Fields are only ever added, with new tags: during a
//! roll-out, hosts of two versions talk to each other. The messages of each part stand in
//! a module of their own.

pub mod ended_programs;
pub mod entry;
pub mod forward;
pub mod gossip;
pub mod queue;
pub mod slices;

/// A message from one host to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerMessage {
    /// The part it is for; `None` comes from a newer version and is passed over.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}

/// The content of a [`PeerMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A request passed on to the home of its program.
    #[prost(message, tag = "1")]
    Forward(forward::Forward),
    /// A part of a streamed answer, on its way back.
    #[prost(message, tag = "2")]
    Chunk(forward::Chunk),
    /// The final answer to a request passed on.
    #[prost(message, tag = "3")]
    Answer(forward::Answer),
    /// The caller of a request passed on is gone.
    #[prost(message, tag = "4")]
    CallerGone(forward::CallerGone),
    /// What a host knows of the fleet.
    #[prost(message, tag = "5")]
    Gossip(gossip::Gossip),
    /// Lending, returning and drawing on slices.
    #[prost(message, tag = "6")]
    Slices(slices::SliceMessage),
    /// Asking a pool's queue for a place at a target.
    #[prost(message, tag = "7")]
    Queue(queue::QueueMessage),
    /// An operator wants the receiver to leave.
    #[prost(message, tag = "8")]
    Drain(forward::Drain),
    /// Asking whether programs are still open.
    #[prost(message, tag = "9")]
    EndedQuery(ended_programs::EndedQuery),
    /// Programs that are over.
    #[prost(message, tag = "10")]
    EndedPrograms(ended_programs::EndedPrograms),
    /// What an entry host has under way.
    #[prost(message, tag = "11")]
    EntryStatus(entry::EntryStatus),
    /// A manifest, for a host that has an older one.
    #[prost(message, tag = "12")]
    Manifest(entry::Manifest),
    /// A question to another entry host.
    #[prost(message, tag = "13")]
    PeerQuery(entry::PeerQuery),
    /// The reply to such a question.
    #[prost(message, tag = "14")]
    PeerQueryReply(entry::PeerQueryReply),
}

impl From<Body> for PeerMessage {
    fn from(body: Body) -> Self {
        Self { body: Some(body) }
    }
}
