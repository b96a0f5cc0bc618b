//! The subcommands of `camphorwalk`, one module each.

pub mod bench;
pub mod demo;
