//! Status updates and rates in fleets of some hundred hosts, in virtual time.

mod exchange;
mod rates;
mod restart;
mod world;
