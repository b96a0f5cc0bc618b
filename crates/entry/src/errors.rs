//! The error of this crate.

use std::net::SocketAddr;

use thiserror::Error;

/// Why a host could not start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The store's client cannot be made.
    #[error("store: {0}")]
    Store(#[from] camphorwalk_store::Error),
    /// The metrics cannot be made.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The result of starting a host.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Makes the error of an address that cannot be listened on.
    pub(crate) fn listen(address: SocketAddr, source: std::io::Error) -> Self {
        Self::Listen { address, source }
    }
}
