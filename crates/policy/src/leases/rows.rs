//! The content of lease and session rows in the platform.

use std::net::SocketAddr;
use std::time::Duration;

use camphorwalk_core::ids::Epoch;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The table of leases.
pub const LEASE_TABLE: &str = "lease";

/// The table of sessions.
pub const SESSION_TABLE: &str = "session";

/// The content of a lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Incremented each time the lease is taken.
    pub epoch: Epoch,
    /// The key of the session that holds the lease; empty after the lease was released.
    pub session: Box<str>,
}

impl LeaseRow {
    /// Serializes the row's content.
    pub fn to_json(&self) -> Box<str> {
        serde_json::to_string(self).expect("a lease row is plain data").into()
    }
}

/// The content of a session row: a live host, as of its last renewal.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRow {
    /// The host's name.
    pub host: Box<str>,
    /// Its availability zone's name.
    pub zone: Box<str>,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Incremented with each renewal.
    pub renewal: u64,
    /// The time after which the session expires if it is not renewed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lifetime_ms")]
    pub lifetime: Duration,
    /// Whether the host is leaving and takes no more leases.
    pub leaving: bool,
}

impl SessionRow {
    /// Serializes the row's content.
    pub fn to_json(&self) -> Box<str> {
        serde_json::to_string(self).expect("a session row is plain data").into()
    }
}
