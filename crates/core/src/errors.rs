//! The error of this crate.

use thiserror::Error;

/// An error in parsing one of the shared types.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Error {
    /// A text is not a valid id.
    #[error("malformed {what}: {text}")]
    Malformed {
        /// The expected kind of id, for example `program id`.
        what: &'static str,
        /// The invalid text, truncated to a readable length.
        text: Box<str>,
    },
}

/// The result of parsing one of the shared types.
pub type Result<T> = std::result::Result<T, Error>;

/// The maximum number of characters of an invalid text that an error includes.
const MAX_TEXT_CHARS: usize = 60;

/// Creates the error for a malformed text.
pub(crate) fn malformed(what: &'static str, text: &str) -> Error {
    Error::Malformed { what, text: text.chars().take(MAX_TEXT_CHARS).collect() }
}
