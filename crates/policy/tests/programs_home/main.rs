//! Programs on their home host: scenario tests, and a randomized test of several hosts that is
//! checked by an oracle.

mod budget;
mod callers;
mod checkpoints;
mod fixture;
mod fuzz;
mod intent;
mod opening;
mod oracle;
mod order;
mod retries;
mod tails;
mod targets;
mod world;
