//! The measurements of `camphorwalk bench` other than the comparisons in the bench crate. Their
//! results are published in docs/MEASUREMENTS.md and docs/CAPACITY.md.

pub mod control;
mod driver;
mod fleet_config;
pub mod memory;
pub mod path;
mod resident;
