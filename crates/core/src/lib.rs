//! Shared types of camphorwalk: ids, units, time, configuration, platform rows, calls and the
//! messages between hosts.
//!
//! This crate does no I/O. All other crates of the workspace depend on it.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod calls;
pub mod config;
pub mod entry;
pub mod errors;
pub mod hash;
pub mod ids;
pub mod messages;
pub mod platform;
pub mod time;
pub mod units;
