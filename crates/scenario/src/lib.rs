//! Fault scenarios, written in a small language and run in virtual time.
//!
//! [`world`] connects the schedulers of several hosts to simulated dependencies: a platform,
//! targets with a ledger, and a network with delays. [`record`] collects what callers, targets and
//! operators observed, and [`checks`] verifies it. [`language`] parses a scenario and [`runner`]
//! runs it.

pub mod checks;
pub mod fleet_config;
pub mod language;
pub mod record;
pub mod runner;
pub mod world;
