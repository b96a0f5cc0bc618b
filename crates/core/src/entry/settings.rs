//! What a process of the deployment is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

/// How far a tenant's calls may exceed its limit over a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The length of the window.
    pub window: Duration,
    /// The part of the limit that may be exceeded.
    pub overage: f64,
    /// The calls that may be exceeded besides.
    pub tolerance: f64,
}

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
    pub callers: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready: SocketAddr,
    /// Where its peers reach it.
    pub peers: SocketAddr,
    /// Where its metrics are read.
    pub metrics: SocketAddr,
    /// Where the store listens.
    pub store: SocketAddr,
    /// What the store takes from all hosts together.
    pub store_limits: StoreLimits,
    /// How long a process may go on after it was asked to end.
    pub grace: Duration,
    /// How long a target may get calls after it said that it leaves.
    pub target_drain: Duration,
    /// How far quotas may be exceeded.
    pub quota: QuotaBounds,
    /// The most memory of the process, in bytes.
    pub memory_bytes: u64,
}
