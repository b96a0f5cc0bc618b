//! The rows of leases and sessions.

use std::net::SocketAddr;
use std::time::Duration;

use camphorwalk_core::ids::Epoch;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The table of leases.
pub const LEASES: &str = "lease";

/// The table of sessions.
pub const SESSIONS: &str = "session";

/// A row of the leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Counts up whenever the lease is taken.
    pub epoch: Epoch,
    /// The key of the session that holds it; empty once it was given back.
    pub session: Box<str>,
}

impl LeaseRow {
    /// Returns the row's content.
    pub fn to_json(&self) -> Box<str> {
        serde_json::to_string(self).expect("a lease row is plain data").into()
    }
}

/// A row of the sessions: a host that is alive, as of its last renewal.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRow {
    /// The host's name.
    pub host: Box<str>,
    /// Its availability zone's name.
    pub zone: Box<str>,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Counts up with each renewal.
    pub renewal: u64,
    /// The lifetime without a renewal.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lifetime_ms")]
    pub lifetime: Duration,
    /// Whether the host is leaving and takes no more leases.
    pub leaving: bool,
}

impl SessionRow {
    /// Returns the row's content.
    pub fn to_json(&self) -> Box<str> {
        serde_json::to_string(self).expect("a session row is plain data").into()
    }
}
