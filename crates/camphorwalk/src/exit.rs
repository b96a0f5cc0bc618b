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

impl Exit {
    /// Returns the exit code.
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
