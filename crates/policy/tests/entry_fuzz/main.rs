//! Random faults against the budgets of programs: the decisions of `entry::budgets`, used the way
//! entry hosts use them.
//!
//! Simulated hosts share a store and a network in simulated time. Their behaviour follows
//! `camphorwalk-entry` step by step. Unstored grants are known in at least two zones, so the faults
//! remove only one host or zone at a time from those that know a grant. Everything else happens in
//! any order: hosts start while others hold grants, the store fails and recovers during network
//! partitions, and all hosts are killed at once. `faults` has further cases. `service` has the cases
//! in which a budget must not be withheld.

mod asks;
mod budget;
mod faults;
mod faults_lease;
mod faults_wide;
mod fuzz;
mod fuzz_wide;
mod grants;
mod host;
mod merge;
mod oracle;
mod service;
mod sim;
mod store;
mod world;
