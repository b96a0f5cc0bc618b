//! Errors that keep a host from starting.

use std::path::Path;

use thiserror::Error;

use crate::settings::SettingsFault;

/// An error that keeps a host from starting.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings have faults; all of them are listed.
    #[error("settings: {}", join_faults(.0))]
    Settings(Vec<SettingsFault>),
    /// A file of settings or secrets cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The path of the file.
        path: Box<str>,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A listener, or the control thread, cannot be started.
    #[error("cannot listen for {what}: {reason}")]
    Listen {
        /// What cannot be started: `callers`, `operators` or the control thread.
        what: &'static str,
        /// The cause, as text.
        reason: Box<str>,
    },
    /// The client of the platform cannot be created.
    #[error("platform client: {0}")]
    Platform(#[from] camphorwalk_store::Error),
    /// The connections to peers cannot be started.
    #[error("peers: {0}")]
    Peers(#[from] camphorwalk_peer::Error),
    /// A metric cannot be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The result of starting a host.
pub type Result<T> = std::result::Result<T, Error>;

/// Returns the error for a file that cannot be read.
pub(crate) fn unreadable(path: &Path, source: std::io::Error) -> Error {
    Error::File { path: path.display().to_string().into(), source }
}

/// Returns the error for a listener, or the control thread, that cannot be started.
pub(crate) fn cannot_start(what: &'static str, reason: impl std::fmt::Display) -> Error {
    Error::Listen { what, reason: reason.to_string().into() }
}

fn join_faults(faults: &[SettingsFault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();

    lines.join("; ")
}
