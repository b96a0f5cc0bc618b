//! Parses JSON documents, checks their shape and converts them to types.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::errors::Fault;
use crate::shapes::{Findings, Shape};
use crate::values;

/// The path of a document's root.
pub(crate) const ROOT: &str = "$";

/// A parsed JSON document and the file that it came from.
pub(crate) struct Document {
    /// The file's name, as faults show it.
    file: Box<str>,
    /// The parsed content.
    value: Value,
    /// The paths of duplicate fields.
    duplicates: Vec<String>,
}

/// The result of converting a document to a type.
pub(crate) struct Conversion<T> {
    /// The value, with placeholders where the document had faults. `None` if `serde` rejected it.
    pub(crate) item: Option<T>,
    /// The faults of the document.
    pub(crate) faults: Vec<Fault>,
    /// The paths of the placeholders. Faults found there later concern the placeholder and not the
    /// document, and are dropped.
    pub(crate) placeholders: Placeholders,
}

/// The paths of placeholders in one file.
pub(crate) struct Placeholders {
    /// The file's name, as faults show it.
    file: Box<str>,
    /// The paths of the placeholders.
    paths: Vec<String>,
}

impl Placeholders {
    /// Returns whether the path of a fault is that of a placeholder or lies within one.
    pub(crate) fn covers(&self, fault: &Fault) -> bool {
        self.file == fault.file && self.paths.iter().any(|path| is_within(&fault.path, path))
    }

    /// Returns whether a placeholder is at this path, within it or around it.
    pub(crate) fn overlaps(&self, path: &str) -> bool {
        self.paths.iter().any(|other| is_within(other, path) || is_within(path, other))
    }
}

/// Returns whether `path` is `outer` or lies within it.
fn is_within(path: &str, outer: &str) -> bool {
    let rest = path.strip_prefix(outer);

    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

impl Document {
    /// Parses a document. Returns a fault if it is not JSON.
    pub(crate) fn parse(file: &str, bytes: &[u8]) -> Result<Self, Fault> {
        match values::parse(bytes) {
            Ok((value, duplicates)) => Ok(Self { file: file.into(), value, duplicates }),
            Err(error) => Err(fault(file, ROOT, format!("not valid JSON: {error}"))),
        }
    }

    /// Converts this document to a type that has this shape, and collects all faults.
    pub(crate) fn convert<T: DeserializeOwned>(self, shape: Shape) -> Conversion<T> {
        let Self { file, mut value, duplicates } = self;
        let mut findings = Findings::default();
        findings.check_and_repair(shape, &mut value, ROOT);

        let found = findings.faults.iter().map(|(path, reason)| fault(&file, path, &**reason));
        let duplicates = duplicates.iter().map(|path| fault(&file, path, "stands twice"));
        let mut faults: Vec<_> = found.chain(duplicates).collect();

        let item = serde_path_to_error::deserialize(value)
            .map_err(|error: serde_path_to_error::Error<serde_json::Error>| {
                let path = format!("{ROOT}.{}", error.path());
                faults.push(fault(&file, &path, error.into_inner().to_string()));
            })
            .ok();

        let placeholders = Placeholders { file, paths: findings.placeholders };
        Conversion { item, faults, placeholders }
    }
}

/// Returns a fault at a path of a file.
pub(crate) fn fault(file: &str, path: &str, reason: impl Into<Box<str>>) -> Fault {
    Fault { file: file.into(), path: path.into(), reason: reason.into() }
}
