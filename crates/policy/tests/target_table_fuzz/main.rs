//! Injects random faults and checks the hosts' copies of the targets' table: `entry::target_table`,
//! driven the way `camphorwalk-entry` drives it.
//!
//! Simulated hosts follow one store in simulated time, by changes, full reads and each other's
//! copies. The oracle knows the order of the store's changes and its clock, and checks the bounds
//! that the project's rules set. Outages start at random, but only once targets have had time to
//! write their rows since the previous outage; `faults` covers an outage that follows another
//! sooner.

mod faults;
mod fuzz;
mod host;
mod oracle;
mod queue;
mod store;
mod targets;
mod world;
