//! All scheduling decisions of camphorwalk, as state machines without I/O, clocks or randomness.
//!
//! Each controller is a plain struct with a `step(now, event, out)` method: time and random seeds
//! are passed in, and the actions to perform are returned as enum values. This allows tests and
//! benchmarks to drive the controllers event by event in virtual time. [`shared_types`] holds the
//! types that the controllers exchange.

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
