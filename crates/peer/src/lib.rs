//! Authenticated messages between the hosts of a fleet.
//!
//! [`Peers`] keeps at most one outgoing connection to each known host and accepts incoming
//! ones from all. A frame carries one [`PeerMessage`](camphorwalk_core::messages::PeerMessage).
//! The frames of a connection arrive in order, but may be lost when it breaks.
//!
//! # Security model
//!
//! During the handshake, each end proves that it holds the fleet's secret with a MAC over the
//! other end's fresh nonce (see [`handshake`]). Each later frame carries a MAC over its sequence
//! number and content, with a key for that connection and direction. Without it, an attacker who
//! relays a connection could inject frames after the genuine handshake. Frames are not
//! encrypted, so anyone who can observe the network between hosts can read them.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod codec;
pub mod errors;
pub mod handshake;
mod incoming;
mod keepalive;
mod log_dedup;
mod metrics;
mod options;
mod outgoing;
mod peers;
pub mod secret;
mod sending;

pub use errors::{Error, Result};
pub use options::PeerOptions;
pub use peers::{Inbound, Peers};
pub use secret::Secret;
