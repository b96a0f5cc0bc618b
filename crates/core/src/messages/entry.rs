//! What entry hosts tell each other several times a second.

/// What an entry host has under way.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryStatus {
    /// What tenants ask of the sender: all that had calls there, or those of which something has
    /// changed.
    #[prost(message, repeated, tag = "1")]
    pub demand: Vec<Demand>,
    /// The calls that the sender has in flight at each target.
    #[prost(message, repeated, tag = "2")]
    pub in_flight: Vec<InFlight>,
    /// The version of the manifest in force at the sender; 0 for none.
    #[prost(uint64, tag = "3")]
    pub manifest_version: u64,
    /// Calls under which targets went down.
    #[prost(message, repeated, tag = "4")]
    pub crashes: Vec<CrashReport>,
    /// Whether `demand` tells of all.
    #[prost(bool, tag = "10")]
    pub all_demand: bool,
    /// The random number of the run of the sender's process.
    #[prost(fixed64, tag = "6")]
    pub run: u64,
    /// Whether the platform's store answers the sender.
    #[prost(bool, tag = "7")]
    pub store_answers: bool,
    /// Whether the store or a part of it does not answer the sender, or is slow. A process that
    /// has just started says neither.
    #[prost(bool, tag = "8")]
    pub store_away: bool,
    /// Whether the sender knows of all that hosts granted to programs without the store.
    #[prost(bool, tag = "12")]
    pub remembers: bool,
    /// Whether the sender knows that there were such grants to programs that may still return.
    #[prost(bool, tag = "14")]
    pub knows_of_loose: bool,
    /// Whether the sender grants tokens to programs without the store, or did and the store does
    /// not have all of them yet.
    #[prost(bool, tag = "13")]
    pub grants_loose: bool,
    /// The calls of programs under way that wait at the sender for a place.
    #[prost(message, repeated, tag = "9")]
    pub waiting: Vec<WaitingCalls>,
    /// The prompts that the sender sent to targets.
    #[prost(message, repeated, tag = "11")]
    pub prompts: Vec<Prompts>,
}

/// The calls that wait at one host for a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WaitingCalls {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The calls.
    #[prost(uint32, tag = "2")]
    pub calls: u32,
}

/// A tenant's demand at one host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// The tenant's name.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// The calls a second that come to the sender.
    #[prost(double, tag = "2")]
    pub per_second: f64,
    /// The calls that it has admitted since its process began.
    #[prost(uint64, tag = "3")]
    pub admitted: u64,
    /// The level of its token bucket.
    #[prost(double, tag = "4")]
    pub level: f64,
    /// The part of the rate that it leaves to hosts that it does not hear, from 0 to 1.
    #[prost(double, tag = "5")]
    pub withheld: f64,
    /// For how many milliseconds more.
    #[prost(uint32, tag = "6")]
    pub withheld_ms: u32,
    /// Whether it hears all hosts.
    #[prost(bool, tag = "7")]
    pub hears_all: bool,
}

/// One host's calls in flight at a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InFlight {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The calls.
    #[prost(uint32, tag = "2")]
    pub calls: u32,
}

/// The prompts that a host sent to a target since its last news.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Prompts {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The id of the last part of each prompt.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
    /// The tokens of each of these parts.
    #[prost(uint32, repeated, tag = "3")]
    pub tokens: Vec<u32>,
}

/// A call under which targets went down.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct CrashReport {
    /// The call's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub call: u64,
    /// How many targets went down.
    #[prost(uint32, tag = "2")]
    pub crashes: u32,
}

/// A manifest as it lies in the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Manifest {
    /// Its text.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// A question to another entry host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerQuery {
    /// The number of the question at the sender.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The question, as JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub question: Vec<u8>,
}

/// The reply to a question.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerQueryReply {
    /// The number of the question.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The reply, as JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub reply: Vec<u8>,
}
