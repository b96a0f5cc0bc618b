//! How the programs end.

use std::process::ExitCode;

/// How a command ended, as its exit code says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked.
    Done,
    /// It was refused, or found faults.
    Refused,
    /// It was called wrongly.
    Usage,
    /// What it needs could not be reached.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
        })
    }
}
