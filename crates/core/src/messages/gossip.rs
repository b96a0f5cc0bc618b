//! The gossip messages by which hosts exchange their knowledge of the fleet.

/// The sender's knowledge of the fleet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Gossip {
    /// The sender, followed by a limited number of other hosts, the most recent changes first.
    #[prost(message, repeated, tag = "1")]
    pub hosts: Vec<HostInfo>,
    /// The configuration version in force at the sender.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// The name of that configuration's object.
    #[prost(string, tag = "3")]
    pub config_object: String,
    /// The ids of withdrawn keys.
    #[prost(fixed64, repeated, tag = "4")]
    pub withdrawn_keys: Vec<u64>,
    /// The digests of requests that crash targets.
    #[prost(bytes = "vec", repeated, tag = "5")]
    pub quarantined: Vec<Vec<u8>>,
    /// The holders of partitions that the sender knows, with the epochs of their leases.
    #[prost(message, repeated, tag = "6")]
    pub partitions: Vec<PartitionHolder>,
    /// The complete configuration, sent to a peer that has an older one and cannot reach the
    /// platform.
    #[prost(bytes = "vec", tag = "7")]
    pub config: Vec<u8>,
    /// Hosts of which only the heartbeat has changed.
    #[prost(message, repeated, tag = "8")]
    pub beats: Vec<HostHeartbeat>,
    /// Whether the sender cannot renew its session at the platform. If so, the sender promises not
    /// to end other hosts' sessions for some time after it sent this message.
    #[prost(bool, tag = "9")]
    pub without_platform: bool,
    /// The latest heartbeat of the receiver that the sender knows. The receiver measures the
    /// promise's duration from when it sent that heartbeat, which was before the promise.
    #[prost(uint64, tag = "10")]
    pub echo: u64,
    /// The session of the receiver that the heartbeat in `echo` belongs to.
    #[prost(fixed64, tag = "11")]
    pub echo_session: u64,
}

/// The heartbeat of a host whose [`HostInfo`] the receiver already has. It takes a third of the
/// bytes of a `HostInfo`.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HostHeartbeat {
    /// The host's id.
    #[prost(fixed64, tag = "1")]
    pub host: u64,
    /// The random number that identifies this run of its process.
    #[prost(fixed64, tag = "2")]
    pub session: u64,
    /// A counter that the host increments.
    #[prost(uint64, tag = "3")]
    pub heartbeat: u64,
}

/// What is known about a host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HostInfo {
    /// The host's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The address that its peers connect to.
    #[prost(string, tag = "3")]
    pub peer_address: String,
    /// The random number that identifies this run of its process.
    #[prost(fixed64, tag = "4")]
    pub session: u64,
    /// A counter that the host increments, so that newer information replaces older.
    #[prost(uint64, tag = "5")]
    pub heartbeat: u64,
    /// Whether it is shutting down.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}

/// The host that holds the lease of a partition.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartitionHolder {
    /// The partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// The epoch of its lease.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The id of the host that holds it.
    #[prost(fixed64, tag = "3")]
    pub holder: u64,
}
