//! The settings that an entry host starts with.

use std::net::SocketAddr;
use std::time::Duration;

/// Rate limits of the platform's store, over all hosts of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Writes per second.
    pub writes_per_second: f64,
    /// Reads per second.
    pub reads_per_second: f64,
}

/// By how much the calls to a cold target may exceed the rate that its service declares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor on the declared rate.
    pub overage: f64,
    /// Calls that may come on top of that in any second.
    pub tolerance: f64,
}

/// Optional behaviour, which a deployment switches on in its settings. Without it, calls are handled
/// as if the deployment had targets of equal speed and room for all callers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Features {
    /// The number of targets of each service in its own zone that a host prefers; `None` to treat
    /// all targets of the zone alike.
    pub preferred_targets: Option<u32>,
    /// Whether targets are chosen by their measured speed.
    pub target_profiles: bool,
    /// Whether new programs are admitted by their tenant's share of a service that is short of room.
    pub fair_admission: bool,
    /// Whether a tenant's new programs are admitted by the calls that its running ones still need.
    pub rate_projection: bool,
    /// The fraction of the process's memory that may be held for callers and targets that read
    /// slowly; `None` for no limit.
    pub held_bytes_fraction: Option<f64>,
}

/// The settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// The host's name, which stays the same when its process restarts.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Whether the whole deployment starts for the first time, so that the store holds no state
    /// of earlier processes.
    pub is_first_start: bool,
    /// Address on which the host accepts callers' requests.
    pub callers_address: SocketAddr,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address on which the host accepts connections from other hosts.
    pub peers_address: SocketAddr,
    /// Address that serves the metrics.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Rate limits of the store, over all hosts.
    pub store_limits: StoreLimits,
    /// Interval at which targets rewrite their entries in the store.
    pub target_heartbeat: Duration,
    /// The bounds on calls to cold targets.
    pub cold_bounds: ColdBounds,
    /// Time that the process may take to shut down after it was asked to.
    pub shutdown_grace: Duration,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Processor time that the process may use, in thousandths of a core.
    pub processor_millis: u32,
    /// The optional behaviour that is switched on.
    pub features: Features,
}
