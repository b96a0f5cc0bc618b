//! Stories of faults, told in a small language and run in virtual time.
//!
//! [`world`] puts the control state of some hosts between fakes: one platform, targets with
//! a ledger, and messages with delays. [`record`] holds what callers, targets and operators
//! saw; [`checks`] judges it. [`story`] reads a scenario and [`runner`] runs it.

pub mod checks;
pub mod declared;
pub mod record;
pub mod runner;
pub mod story;
pub mod world;
