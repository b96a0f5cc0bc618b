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
}
