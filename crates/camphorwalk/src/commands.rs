//! The subcommands of `camphorwalk`, one module each.

pub mod demo;
