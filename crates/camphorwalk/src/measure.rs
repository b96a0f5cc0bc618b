//! Measurements behind the pages docs/MEASUREMENTS.md and docs/CAPACITY.md.

pub mod control;
mod declared;
mod driver;
pub mod memory;
pub mod path;
mod resident;
