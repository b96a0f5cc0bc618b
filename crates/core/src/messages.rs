//! The messages between hosts.
//!
//! Each frame holds one [`PeerMessage`]. Fields may only be added, with new tags, because hosts
//! of two versions communicate during a rollout. Each group of messages has its own module.
//!
//! The entry host of a request is the host that received it from a caller. The home of a program is
//! the host that holds the lease of the program's partition and runs the program.

pub mod ended_programs;
pub mod entry;
pub mod forward;
pub mod gossip;
pub mod queue;
pub mod slices;

/// A message from one host to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerMessage {
    /// The content. `None` if a newer version sent a message of an unknown kind, which is ignored.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18"
    )]
    pub body: Option<Body>,
}

/// The content of a [`PeerMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A request forwarded to the home of its program.
    #[prost(message, tag = "1")]
    Forward(forward::Forward),
    /// A part of a streamed answer, returned to the entry host.
    #[prost(message, tag = "2")]
    Chunk(forward::Chunk),
    /// The final answer to a forwarded request.
    #[prost(message, tag = "3")]
    Answer(forward::Answer),
    /// The caller of a forwarded request has disconnected.
    #[prost(message, tag = "4")]
    CallerGone(forward::CallerGone),
    /// The sender's knowledge of the fleet.
    #[prost(message, tag = "5")]
    Gossip(gossip::Gossip),
    /// A message about slices of tenants' rates.
    #[prost(message, tag = "6")]
    Slices(slices::SliceMessage),
    /// A message between a program's home and the host of a pool's queue.
    #[prost(message, tag = "7")]
    Queue(queue::QueueMessage),
    /// Asks the receiver to shut down, on behalf of an operator.
    #[prost(message, tag = "8")]
    Drain(forward::Drain),
    /// Asks which programs have ended.
    #[prost(message, tag = "9")]
    EndedQuery(ended_programs::EndedQuery),
    /// Programs that have ended.
    #[prost(message, tag = "10")]
    EndedPrograms(ended_programs::EndedPrograms),
    /// The status of an entry host.
    #[prost(message, tag = "11")]
    EntryStatus(entry::EntryStatus),
    /// A manifest, sent to a host that has an older one.
    #[prost(message, tag = "12")]
    Manifest(entry::Manifest),
    /// A query to another entry host.
    #[prost(message, tag = "13")]
    PeerQuery(entry::PeerQuery),
    /// The reply to a query.
    #[prost(message, tag = "14")]
    PeerQueryReply(entry::PeerQueryReply),
    /// A status update for the receiver and the other hosts of its availability zone.
    #[prost(message, tag = "15")]
    ForwardedStatus(entry::ForwardedStatus),
    /// Status updates of hosts of all zones, which the sender forwards.
    #[prost(message, tag = "17")]
    ForwardedStatuses(entry::ForwardedStatuses),
    /// Asks the receiver for a status update with the demand of all tenants.
    #[prost(message, tag = "16")]
    StatusRequest(entry::StatusRequest),
    /// The load of the sender, for the hosts that prefer the same targets.
    #[prost(message, tag = "18")]
    LoadNotice(entry::LoadNotice),
}

impl From<Body> for PeerMessage {
    fn from(body: Body) -> Self {
        Self { body: Some(body) }
    }
}
