//! The runtime of an entry host.
//!
//! One thread owns the scheduler's state and makes all decisions ([`control`]). Tokio's threads
//! handle the traffic: callers and operators with `dropshot`, targets with `hyper-util`, peers and
//! the platform with the crates `camphorwalk_peer` and `camphorwalk_store`. The control thread and
//! the traffic threads communicate through channels.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod auth;
pub mod callers;
pub mod control;
pub mod errors;
pub mod host;
pub mod metrics;
pub mod operators;
mod responses;
pub mod secrets;
pub mod settings;
pub mod streams;
pub mod targets;
mod watch;

pub use errors::{Error, Result};
pub use host::Host;
pub use secrets::Secrets;
pub use settings::Settings;
