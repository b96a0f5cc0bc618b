//! A client of the platform's store: transactions, rows, objects and the list of hosts.
//!
//! Each attempt has a timeout, retries are limited by a budget, and requests by the host's quota.
//! If the response to a write is lost, the client determines its outcome where it can and reports
//! it as unknown otherwise. It never reports such a write as failed.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod attempt_log;
mod client;
pub mod errors;
mod limits;
mod metrics;
mod operations;
mod options;
pub mod protocol;
mod transport;
mod witness;

pub use client::{Client, OnRateLimit, Report};
pub use errors::{Error, Result};
pub use options::{ClientOptions, QuotaOptions, RetryOptions};
pub use protocol::StoreProtocol;
