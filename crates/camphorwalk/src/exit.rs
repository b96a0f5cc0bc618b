//! Exit codes of the programs.

use std::process::ExitCode;

/// The outcome of a command, reported as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The request was refused, or the checked input has faults.
    Refused,
    /// The command line is invalid, or the operators' key file cannot be read.
    Usage,
    /// The host or a service that it depends on could not be reached, or the outcome of a change
    /// is unknown.
    Unreachable,
}

impl Exit {
    /// Returns the exit code as a number.
    ///
    /// ```
    /// use camphorwalk::exit::Exit;
    /// assert_eq!(Exit::Usage.code(), 2);
    /// ```
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
