//! The error of this crate.

use thiserror::Error;

/// A fault found while reading one of the shared types.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Error {
    /// A text that should be an id is malformed.
    #[error("malformed {what}: {text}")]
    Malformed {
        /// What was expected, for example `program id`.
        what: &'static str,
        /// The offending text, cut to a readable length.
        text: Box<str>,
    },
}

/// The result of reading one of the shared types.
pub type Result<T> = std::result::Result<T, Error>;

/// The longest part of an offending text that an error repeats, in characters.
const SHOWN_CHARS: usize = 60;

/// Makes the error for a malformed text.
pub(crate) fn malformed(what: &'static str, text: &str) -> Error {
    Error::Malformed { what, text: text.chars().take(SHOWN_CHARS).collect() }
}
