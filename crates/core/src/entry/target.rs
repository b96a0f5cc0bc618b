//! The entry under which a target registers itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Whether a target takes new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// The target takes new calls.
    Ready,
    /// The target finishes its running calls, takes no new ones, and then ends.
    Draining,
}

/// What a target publishes about itself.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Id of the target.
    pub id: Box<str>,
    /// Name of the service that the target belongs to.
    pub service: Box<str>,
    /// Address on which it accepts calls.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Box<str>,
    /// The version of its software. `None` if it is not known: the target does not publish it, or
    /// the entry was copied from a host of an older build.
    #[serde(default)]
    pub version: Option<Box<str>>,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new calls or is shutting down.
    pub state: TargetState,
    /// When its process started, in Unix milliseconds. A target that restarts under the same id is
    /// recognized by a different value.
    pub born: u64,
    /// How long after writing its entry the target stays cold: it then takes only a limited rate of
    /// calls. Zero if it is not cold.
    #[serde(default)]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub cold_for: Duration,
}
