//! Shared types of camphorwalk: ids, units, time, declarations, platform rows, calls and
//! the messages between hosts.
//!
//! Nothing here does I/O. Each other crate of the workspace builds on this one.

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
