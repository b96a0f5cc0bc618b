//! The main crate of camphorwalk. It re-exports the other crates and contains the code of its two
//! programs: `camphorwalkd`, which runs an entry host, and `camphorwalk`, the command-line tool
//! for operators.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod arguments;
pub mod client;
pub mod commands;
pub mod demo;
pub mod exit;
pub mod logs;
pub mod measure;
pub mod operator;
pub mod output;
pub mod platform_host;

pub use camphorwalk_bench as bench;
pub use camphorwalk_core as core;
pub use camphorwalk_declare as declare;
pub use camphorwalk_node as node;
pub use camphorwalk_peer as peer;
pub use camphorwalk_policy as policy;
pub use camphorwalk_store as platform;
