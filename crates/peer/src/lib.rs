//! Authenticated frames between the hosts of a fleet.
//!
//! [`Peers`] keeps at most one outgoing connection to each known host and takes incoming
//! ones from all. A frame carries one [`PeerMessage`](camphorwalk_core::messages::PeerMessage).
//! Frames may be lost with their connection; those of one connection arrive in order.
//!
//! # What is trusted
//!
//! Both ends prove at connect that they hold the fleet's secret, each over the other's
//! fresh nonce (see [`handshake`]). Each later frame carries a MAC over its number and
//! content, under a key of that connection and direction: without it, whoever relays a
//! connection could put frames of its own behind the true handshake. Frames are not
//! encrypted, so the network between hosts must be trusted not to *listen*.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod codec;
pub mod errors;
pub mod handshake;
mod incoming;
mod metrics;
mod notices;
mod options;
mod outgoing;
mod peers;
mod pulse;
pub mod secret;
mod sending;

pub use errors::{Error, Result};
pub use options::PeerOptions;
pub use peers::{Inbound, Peers};
pub use secret::Secret;
