//! Compares the queues and the rate limits of camphorwalk with baselines, in virtual time.
//!
//! [`run`] passes the same seeded programs to [`camphorwalk_policy::queue::Queues`] and to two
//! baselines, in front of small simulated engines. [`limits`] compares methods of limiting rate and
//! burst. Neither simulates a whole cluster. The same options give the same report, byte for byte.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod baseline;
pub mod decisions;
pub mod engine;
pub mod experiment;
pub mod figures;
pub mod fleet;
pub mod limits;
pub mod plot;
pub mod report;
pub mod scheduler;
pub mod simulation;
pub mod workload;

pub use experiment::{BenchOptions, run};
pub use report::Report;
