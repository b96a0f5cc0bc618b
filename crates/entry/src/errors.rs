//! The error type of this crate.

use std::net::SocketAddr;

use thiserror::Error;

/// Why a host could not start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The host cannot listen on an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The client of the store could not be created.
    #[error("store: {0}")]
    Store(#[from] camphorwalk_store::Error),
    /// The metrics could not be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The result of starting a host.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates the error for an address on which the host cannot listen.
    pub(crate) fn listen(address: SocketAddr, source: std::io::Error) -> Self {
        Self::Listen { address, source }
    }
}
