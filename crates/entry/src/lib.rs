//! An entry host on the users' platform. It accepts the calls that callers send to it, determines
//! the route and the target of each, and forwards it.
//!
//! Everything runs on one thread, because a host has half a core or less and a second thread would
//! cost a context switch for each call. Decisions are made by `camphorwalk_policy::entry`, which
//! does no I/O; this crate carries them out.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod admission;
mod answer;
mod answer_queue;
mod budget;
mod call;
mod callers;
pub mod clock;
mod connections;
mod crash_watch;
pub mod errors;
mod events;
mod fleet;
mod forward;
mod grant_leases;
mod grants;
mod held_bytes;
mod host;
mod log_sampler;
mod manifests;
mod metrics;
mod places;
mod preferred;
mod probes;
mod queries;
mod read_limit;
mod registry;
mod retention;
mod slow_heads;
mod status_updates;
mod store;
mod stream;
mod stream_origins;
mod target_paces;
mod turn_storage;
mod turns;
mod unary;
mod watch;

pub use errors::{Error, Result};
pub use host::Host;
