//! The error of the runtime.

use std::path::Path;

use thiserror::Error;

use crate::settings::SettingsFault;

/// A fault that keeps a host from starting.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings are wrong; each fault is listed.
    #[error("settings: {}", list(.0))]
    Settings(Vec<SettingsFault>),
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The file.
        path: Box<str>,
        /// Why.
        source: std::io::Error,
    },
    /// A listener cannot be opened.
    #[error("cannot listen for {what}: {reason}")]
    Listen {
        /// Whom the listener is for.
        what: &'static str,
        /// Why.
        reason: Box<str>,
    },
    /// The client of the platform cannot be made.
    #[error("platform client: {0}")]
    Platform(#[from] camphorwalk_store::Error),
    /// The peers cannot be started.
    #[error("peers: {0}")]
    Peers(#[from] camphorwalk_peer::Error),
    /// A metric cannot be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The result of starting a host.
pub type Result<T> = std::result::Result<T, Error>;

/// Makes the error for a file that cannot be read.
pub(crate) fn unreadable(path: &Path, source: std::io::Error) -> Error {
    Error::File { path: path.display().to_string().into(), source }
}

/// Makes the error for a listener that cannot be opened.
pub(crate) fn cannot_listen(what: &'static str, reason: impl std::fmt::Display) -> Error {
    Error::Listen { what, reason: reason.to_string().into() }
}

fn list(faults: &[SettingsFault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();

    lines.join("; ")
}
