//! Stories of programs at their home, and a fuzz of several homes against an oracle.

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
