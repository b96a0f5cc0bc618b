//! Measures the queues and the limits of camphorwalk against baselines, in virtual time.
//!
//! [`run`] drives [`camphorwalk_policy::queue::Queues`] and two baselines through the same
//! seeded programs before small fakes of engines. [`limits`] does the like for rate and
//! burst. Neither simulates a cluster. The same options give the same report, byte for byte.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod baseline;
pub mod decisions;
pub mod drive;
pub mod engine;
pub mod experiment;
pub mod figures;
pub mod fleet;
pub mod limits;
pub mod plot;
pub mod report;
pub mod scheduler;
pub mod workload;

pub use experiment::{BenchOptions, run};
pub use report::Report;
