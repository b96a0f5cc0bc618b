//! The error of this crate.

use thiserror::Error;

/// Why a client could not be created, or why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Error {
    /// The platform refused, could not be reached, or did not respond in time.
    #[error("the platform is unavailable")]
    Unavailable,
    /// The host's quota of reads is used up, so the client sent no request.
    #[error("the host's request quota at the platform is used up")]
    OverQuota,
    /// The availability zone's name is not a valid HTTP header value.
    #[error("the availability zone's name has control characters: {zone:?}")]
    BadZone {
        /// The name.
        zone: Box<str>,
    },
    /// The metrics could not be created or registered.
    #[error("metrics: {message}")]
    Metrics {
        /// The message of the metrics library.
        message: Box<str>,
    },
}

/// The result of creating a client or of a request to the platform.
pub type Result<T> = std::result::Result<T, Error>;

impl From<prometheus::Error> for Error {
    fn from(error: prometheus::Error) -> Self {
        Self::Metrics { message: error.to_string().into() }
    }
}
