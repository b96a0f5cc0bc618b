//! All scheduling decisions of camphorwalk, as state machines without I/O, clocks or randomness.
//!
//! Each controller is a plain struct. Most have a single method `step(now, event, out)`; the others
//! have one method for each kind of input. The caller passes in the time and random seeds, and
//! performs the actions that the controller returns or appends to `out`. This allows tests and
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
