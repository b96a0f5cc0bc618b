//! Rates and bursts under faults, in virtual time.

mod bucket;
mod checks;
mod fleet;

pub use bucket::ExactBucket;
pub use fleet::{Fleet, MILLI, Net, Node, SECOND, Traffic, config};
