//! The error of this crate.

use std::io;

use thiserror::Error;

/// Why a connection between hosts could not be made or had to be closed.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The listening socket could not be opened.
    #[error("cannot listen for peers: {0}")]
    Listen(#[source] io::Error),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[source] io::Error),
    /// The other side closed the connection inside a frame.
    #[error("connection closed inside a frame")]
    Truncated,
    /// A frame is longer than the limit.
    #[error("frame is longer than the limit")]
    Oversized,
    /// A frame cannot be decoded.
    #[error("frame cannot be read")]
    Malformed,
    /// The other side does not hold the fleet's secret.
    #[error("wrong proof of the fleet's secret")]
    WrongProof,
    /// A frame's MAC is wrong.
    #[error("wrong MAC on a frame")]
    WrongMac,
    /// The other side uses another protocol version.
    #[error("protocol version {0} is not ours")]
    Version(u32),
    /// The other side presents this host's own name.
    #[error("the other side presents our own name")]
    OwnName,
    /// Another host than the expected one listens at the address.
    #[error("another host answers at this address")]
    WrongHost,
    /// The other side did not respond in time.
    #[error("timeout")]
    Timeout,
    /// The other side closed the connection.
    #[error("connection closed")]
    Closed,
    /// Too many incoming connections have not completed their handshake.
    #[error("too many connections wait for their handshake")]
    TooManyHandshakes,
    /// A secret is not 64 hexadecimal digits.
    #[error("a peer secret must be 64 hexadecimal digits")]
    BadSecret,
    /// The options are invalid or inconsistent.
    #[error("bad peer options: {0}")]
    BadOptions(&'static str),
}

/// The result of an operation on a connection between hosts.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the metric label of this error.
    ///
    /// ```
    /// use camphorwalk_peer::Error;
    /// assert_eq!(Error::WrongProof.reason(), "wrong_proof");
    /// ```
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Listen(_) => "listen",
            Self::Io(_) => "io",
            Self::Truncated => "truncated",
            Self::Oversized => "oversized",
            Self::Malformed => "malformed",
            Self::WrongProof => "wrong_proof",
            Self::WrongMac => "wrong_mac",
            Self::Version(_) => "version",
            Self::OwnName => "own_name",
            Self::WrongHost => "wrong_host",
            Self::Timeout => "timeout",
            Self::Closed => "closed",
            Self::TooManyHandshakes => "crowded",
            Self::BadSecret => "bad_secret",
            Self::BadOptions(_) => "bad_options",
        }
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        // The errors of the length-delimited codec can only be told apart by their kind.
        match error.kind() {
            io::ErrorKind::InvalidData => Self::Oversized,
            io::ErrorKind::Other | io::ErrorKind::UnexpectedEof => Self::Truncated,
            _ => Self::Io(error),
        }
    }
}
