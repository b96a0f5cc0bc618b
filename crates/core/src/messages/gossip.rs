//! What hosts tell each other of the fleet.

/// What a host knows of the fleet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Gossip {
    /// Hosts, the sender first; a bounded number of others, the newest news first.
    #[prost(message, repeated, tag = "1")]
    pub hosts: Vec<HostInfo>,
    /// The configuration version in force at the sender.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// The name of that configuration's object.
    #[prost(string, tag = "3")]
    pub config_object: String,
    /// Keys that were withdrawn, by id.
    #[prost(fixed64, repeated, tag = "4")]
    pub withdrawn_keys: Vec<u64>,
    /// Digests of requests that bring targets down.
    #[prost(bytes = "vec", repeated, tag = "5")]
    pub quarantined: Vec<Vec<u8>>,
    /// The holders of partitions that the sender knows, epochs included.
    #[prost(message, repeated, tag = "6")]
    pub partitions: Vec<PartitionHolder>,
    /// The whole configuration, sent to a peer that is behind and cannot reach the platform.
    #[prost(bytes = "vec", tag = "7")]
    pub config: Vec<u8>,
    /// Hosts of which nothing but their heartbeat is new.
    #[prost(message, repeated, tag = "8")]
    pub beats: Vec<HostHeartbeat>,
    /// Whether the sender cannot renew its session and promises to end nobody else's for a
    /// while, counted from the sending of this message.
    #[prost(bool, tag = "9")]
    pub without_platform: bool,
    /// The receiver's latest heartbeat that the sender knows: the receiver counts the promise
    /// from when it sent that one.
    #[prost(uint64, tag = "10")]
    pub echo: u64,
    /// The run of the receiver's process that the heartbeat is of.
    #[prost(fixed64, tag = "11")]
    pub echo_session: u64,
}

/// A heartbeat of a host that the receiver knows by now: a third of the bytes of its news.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HostHeartbeat {
    /// The host's id.
    #[prost(fixed64, tag = "1")]
    pub host: u64,
    /// The number of the run of its process.
    #[prost(fixed64, tag = "2")]
    pub session: u64,
    /// Counts up at its host.
    #[prost(uint64, tag = "3")]
    pub heartbeat: u64,
}

/// What is known of one host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HostInfo {
    /// The host's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Where its peers reach it.
    #[prost(string, tag = "3")]
    pub peer_address: String,
    /// A random number of this run of its process.
    #[prost(fixed64, tag = "4")]
    pub session: u64,
    /// Counts up at its host, so that newer news is told from older.
    #[prost(uint64, tag = "5")]
    pub heartbeat: u64,
    /// Whether it is leaving.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}

/// Who holds a partition.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartitionHolder {
    /// The partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// The epoch of its lease.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The holder's host id.
    #[prost(fixed64, tag = "3")]
    pub holder: u64,
}
