//! Every decision of camphorwalk, without I/O, clocks or randomness of its own.
//!
//! Each controller is a plain struct with a `step(now, event, out)` function: time and seeds
//! are passed in, and what to do next comes back as an enum. Any bench can drive it event by
//! event. [`shared_types`] holds what the controllers say to each other.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod configs;
pub mod entry;
pub mod host_state;
pub mod leases;
pub mod membership;
pub mod programs;
pub mod queue;
pub mod scheduler;
pub mod shared_types;
pub mod slices;
