//! The client of the platform: transactions, rows, objects and the list of hosts.
//!
//! Each try has a deadline for silence, each retry comes from a budget, and no more is asked than the
//! host's share. A write whose answer is lost is found out where that can be done, and is
//! told as unknown where it cannot; it is never taken for a failure.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod client;
pub mod errors;
mod limits;
mod metrics;
mod operations;
mod options;
pub mod protocol;
mod transport;
mod witness;

pub use client::Client;
pub use errors::{Error, Result};
pub use options::{ClientOptions, QuotaOptions, RetryOptions};
pub use protocol::StoreProtocol;
