//! A target as it registers itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a target takes new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes calls.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The name of this run of the target.
    pub id: Box<str>,
    /// The service that it runs.
    pub service: Box<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Box<str>,
    /// The calls that it runs together.
    pub slots: u32,
    /// Whether it takes new calls.
    pub state: TargetState,
    /// When this run began, in Unix milliseconds; a target may start again under its id.
    pub born: u64,
}
