//! Messages between entry hosts: status updates several times a second, manifests, and queries
//! with their replies.

/// A status update, which each entry host sends to the others several times a second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryStatus {
    /// The demand of tenants at the sender: of all tenants that had calls there, or only of those
    /// whose values changed (see `all_demand`).
    #[prost(message, repeated, tag = "1")]
    pub demand: Vec<Demand>,
    /// The number of calls that the sender has in flight at each target.
    #[prost(message, repeated, tag = "2")]
    pub in_flight: Vec<InFlight>,
    /// The version of the manifest in force at the sender; 0 for none.
    #[prost(uint64, tag = "3")]
    pub manifest_version: u64,
    /// What the sender found out about crashes of targets since its last update. Tag 4 is not used
    /// any more.
    #[prost(message, optional, boxed, tag = "22")]
    pub crashes: Option<Box<CrashUpdates>>,
    /// Whether `demand` lists all tenants that had calls at the sender.
    #[prost(bool, tag = "10")]
    pub all_demand: bool,
    /// Random number that identifies the run of the sender's process.
    #[prost(fixed64, tag = "6")]
    pub run: u64,
    /// Whether the sender gets answers from the platform's store.
    #[prost(bool, tag = "7")]
    pub store_answers: bool,
    /// Whether the store, or a part of it, does not answer the sender or answers slowly. A process
    /// that has just started sets neither this flag nor `store_answers`.
    #[prost(bool, tag = "8")]
    pub store_away: bool,
    /// The numbers of the partitions of programs whose grant lease the sender holds.
    #[prost(uint32, repeated, tag = "15")]
    pub grant_leases: Vec<u32>,
    /// Whether the sender acquires vacant leases.
    #[prost(bool, tag = "16")]
    pub claims_leases: bool,
    /// The number of calls queued at the sender for a place at a target, for each service that has
    /// any.
    #[prost(message, repeated, tag = "9")]
    pub waiting: Vec<WaitingCalls>,
    /// The prompts that the sender sent to targets since its last update. They show which prompt
    /// parts each target has cached.
    #[prost(message, repeated, tag = "11")]
    pub prompts: Vec<SentPrompts>,
    /// The number of the sender's round of updates; 0 from a build that neither numbers its updates
    /// nor forwards those of others.
    #[prost(uint64, tag = "17")]
    pub sequence: u64,
    /// The update covers the changes after the sender's round with this number.
    #[prost(uint64, tag = "18")]
    pub changes_since: u64,
    /// The turns of running programs that arrived at the sender since its last update, by service.
    #[prost(message, repeated, tag = "19")]
    pub turns: Vec<TurnCounts>,
    /// The programs whose start the sender refused since its last update, the latest first; only to
    /// hosts of its zone. Of each number, the upper 56 bits are a hash of tenant and program, the
    /// next one tells whether the tenant used no more than its share, and the lowest seven are the
    /// time from which the program may return, in hundredths of a second from the update.
    #[prost(fixed64, repeated, tag = "20")]
    pub refused_programs: Vec<u64>,
    /// The events that targets sent the sender since its last update. The receivers add them up, so
    /// they are sent to each only once.
    #[prost(message, repeated, tag = "21")]
    pub target_events: Vec<TargetEvents>,
}

/// Status updates that a host forwards within its zone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardedStatuses {
    /// The updates.
    #[prost(message, repeated, tag = "1")]
    pub updates: Vec<ForwardedStatus>,
}

/// A status update on its way through a host that forwards it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardedStatus {
    /// Id of the host whose status it is.
    #[prost(fixed64, tag = "1")]
    pub host: u64,
    /// The `run`, `sequence`, `changes_since` and `all_demand` of the update, so that copies of one
    /// that is known need not be decoded.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// See `run`.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// See `run`.
    #[prost(uint64, tag = "4")]
    pub changes_since: u64,
    /// See `run`.
    #[prost(bool, tag = "5")]
    pub all_demand: bool,
    /// When it was sent, in microseconds of a clock of the sender that only goes forward.
    #[prost(uint64, tag = "6")]
    pub sent_us: u64,
    /// The encoded [`EntryStatus`].
    #[prost(bytes = "bytes", tag = "7")]
    pub status: bytes::Bytes,
    /// When the sender's process started, in milliseconds since the Unix epoch by its clock.
    #[prost(uint64, tag = "8")]
    pub started_ms: u64,
}

/// Asks an entry host for a status update with the demand of all tenants.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StatusRequest {}

/// The number of calls queued at one host for a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WaitingCalls {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of queued calls.
    #[prost(uint32, tag = "2")]
    pub calls: u32,
}

/// The load that the sender causes. It is sent to few hosts, many times a second while it changes,
/// and replaces what they know from status updates.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadNotice {
    /// Random number that identifies the run of the sender's process.
    #[prost(fixed64, tag = "1")]
    pub run: u64,
    /// The number of the notice in this run, from 1.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The number of calls that the sender has in flight at each target.
    #[prost(message, repeated, tag = "3")]
    pub in_flight: Vec<InFlight>,
    /// The number of calls queued at the sender, for each service that has any.
    #[prost(message, repeated, tag = "4")]
    pub waiting: Vec<WaitingCalls>,
}

/// A tenant's demand at one host, and the state of its rate limit there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Calls per second that arrive at the sender.
    #[prost(double, tag = "2")]
    pub per_second: f64,
    /// Number of calls that the sender has admitted since its process started.
    #[prost(uint64, tag = "3")]
    pub admitted: u64,
    /// Level of the tenant's token bucket at the sender; infinite if its process has just started
    /// and does not know the level.
    #[prost(double, tag = "4")]
    pub level: f64,
    /// Reserved share: the fraction of the tenant's rate, from 0 to 1, that the sender leaves to
    /// silent hosts.
    #[prost(double, tag = "5")]
    pub withheld: f64,
    /// Time until the reserved share expires, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub withheld_ms: u32,
    /// Whether all hosts are live for the sender, so that `level` contains no estimate.
    #[prost(bool, tag = "7")]
    pub hears_all: bool,
    /// Number of programs that the sender has started since its process started; 0 if it does not
    /// count them.
    #[prost(uint64, tag = "8")]
    pub programs: u64,
}

/// The number of calls that one host has in flight at a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InFlight {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Number of calls in flight.
    #[prost(uint32, tag = "2")]
    pub calls: u32,
}

/// The events that a target sent a host since the host's last status update, without the first event
/// of each stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetEvents {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Number of events. A call without a stream counts as one.
    #[prost(uint32, tag = "2")]
    pub events: u32,
    /// The time that they took, in microseconds.
    #[prost(uint64, tag = "3")]
    pub time_us: u64,
}

/// The prompts that a host sent to a target since its last status update.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SentPrompts {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Id of the last part of each prompt.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
    /// Length in tokens of each of these parts, in the same order.
    #[prost(uint32, repeated, tag = "3")]
    pub tokens: Vec<u32>,
}

/// What a host found out about crashes of targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashUpdates {
    /// Crashes, which may have been reported before.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<CrashReport>,
    /// Calls that were in flight at crashes and have been answered completely since, by the hashes
    /// of [`CrashReport`].
    #[prost(fixed64, repeated, tag = "2")]
    pub cleared: Vec<u64>,
}

/// A crash of a target, and the calls that the sender had in flight there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashReport {
    /// Hash of the id and the start of the process that crashed.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// Hash of its service and version.
    #[prost(fixed64, tag = "2")]
    pub release: u64,
    /// Whether it had answered a call of the sender.
    #[prost(bool, tag = "3")]
    pub has_answered: bool,
    /// How long before the update the sender noticed the crash, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Hashes of the content of the calls, by which a repeated call is recognized.
    #[prost(fixed64, repeated, tag = "5")]
    pub calls: Vec<u64>,
    /// For each of them, the hash of its content without the earlier turns of its conversation; 0
    /// if it has none.
    #[prost(fixed64, repeated, tag = "6")]
    pub inputs: Vec<u64>,
}

/// The turns of running programs that arrived at one host for a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TurnCounts {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of turns whose program has a deadline.
    #[prost(uint32, tag = "2")]
    pub turns: u32,
    /// Number of those that arrived after it.
    #[prost(uint32, tag = "3")]
    pub late: u32,
}

/// A manifest as stored.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Manifest {
    /// Its JSON text.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// A query to another entry host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerQuery {
    /// Number of the query, unique at the sender.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The query, as JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub question: Vec<u8>,
}

/// The reply to a [`PeerQuery`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerQueryReply {
    /// Number of the query that it answers.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The reply's content, as JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub reply: Vec<u8>,
}
