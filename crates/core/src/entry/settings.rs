//! What a process of the deployment is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

/// What the store takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Writes a second.
    pub writes_per_second: f64,
    /// Reads a second.
    pub reads_per_second: f64,
}

/// The settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// The host's name; a new process of the same host has the same.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Whether the whole deployment starts for the first time: then nothing was before.
    pub is_first_start: bool,
    /// Where callers reach it.
    pub callers_address: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready_address: SocketAddr,
    /// Where its peers reach it.
    pub peers_address: SocketAddr,
    /// Where its metrics are read.
    pub metrics_address: SocketAddr,
    /// Where the store listens.
    pub store_address: SocketAddr,
    /// What the store takes from all hosts together.
    pub store_limits: StoreLimits,
    /// How often targets write their entries.
    pub target_heartbeat: Duration,
    /// How long a process may go on after it was asked to end.
    pub shutdown_grace: Duration,
    /// The most memory of the process, in bytes.
    pub memory_bytes: u64,
}
