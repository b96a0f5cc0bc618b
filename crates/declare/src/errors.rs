//! Faults of declarations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One fault in the declarations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fault {
    /// The file's path within the folder, or `config` for a configuration that was not read from a
    /// folder.
    pub file: Box<str>,
    /// The JSON path within the file, for example `$.targets[2].window`.
    pub path: Box<str>,
    /// What is wrong, for a human reader.
    pub reason: Box<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file, self.path, self.reason)
    }
}

/// All faults of a set of declarations, sorted. Never empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Sorts the faults and removes duplicates.
    pub(crate) fn from_unsorted(mut faults: Vec<Fault>) -> Self {
        faults.sort();
        faults.dedup();

        Self(faults)
    }

    /// Returns a set with a single fault.
    pub(crate) fn single(file: &str, path: &str, reason: impl Into<Box<str>>) -> Self {
        Self(vec![Fault { file: file.into(), path: path.into(), reason: reason.into() }])
    }

    /// Returns the faults in sorted order.
    pub fn as_slice(&self) -> &[Fault] {
        &self.0
    }

    /// Converts the set to a vector in sorted order.
    pub fn into_vec(self) -> Vec<Fault> {
        self.0
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, fault) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }

        Ok(())
    }
}

impl std::error::Error for Faults {}

/// The result of reading declarations; the error lists all faults.
pub type Result<T> = std::result::Result<T, Faults>;
