//! The error of this crate.

use thiserror::Error;

/// Why a client could not be made, or why the platform did not answer a question.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Error {
    /// The platform refused, could not be reached, or did not answer in time.
    #[error("the platform is unavailable")]
    Unavailable,
    /// The host has used up its share of the platform's reads.
    #[error("over the host's share of the platform")]
    OverQuota,
    /// The availability zone's name cannot stand in an HTTP header.
    #[error("the availability zone's name has control characters: {zone:?}")]
    BadZone {
        /// The name.
        zone: Box<str>,
    },
    /// The metrics could not be made or registered.
    #[error("metrics: {message}")]
    Metrics {
        /// What the metrics library says.
        message: Box<str>,
    },
}

/// The result of making a client or asking the platform.
pub type Result<T> = std::result::Result<T, Error>;

impl From<prometheus::Error> for Error {
    fn from(error: prometheus::Error) -> Self {
        Self::Metrics { message: error.to_string().into() }
    }
}
