//! The runtime of an entry host.
//!
//! One thread holds the control state and makes every decision ([`control`]); tokio's
//! threads carry the traffic: callers and operators by `dropshot`, targets by `hyper-util`,
//! peers and the platform by the crates for them. The two sides talk by channels.

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
