//! JSON documents: parsed, walked, and turned into types.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::errors::Fault;
use crate::shapes::{Findings, Shape};
use crate::values;

/// The path of a document's root.
pub(crate) const ROOT: &str = "$";

/// A JSON document and where it came from.
pub(crate) struct Document {
    /// The file, as faults name it.
    file: Box<str>,
    /// The content.
    value: Value,
    /// The paths of the fields that stand twice.
    twice: Vec<String>,
}

/// What a document was read as.
pub(crate) struct Reading<T> {
    /// The type, with placeholders where the document had faults.
    pub(crate) item: Option<T>,
    /// The faults.
    pub(crate) faults: Vec<Fault>,
    /// Where placeholders stand. A further fault there would say nothing of the document.
    pub(crate) placeholders: Placeholders,
}

/// The paths of placeholders in one file.
pub(crate) struct Placeholders {
    /// The file.
    file: Box<str>,
    /// The paths.
    paths: Vec<String>,
}

impl Placeholders {
    /// Returns whether a fault lies at or below a placeholder.
    pub(crate) fn cover(&self, fault: &Fault) -> bool {
        self.file == fault.file && self.paths.iter().any(|path| is_within(&fault.path, path))
    }

    /// Returns whether a placeholder lies at, above or below this path.
    pub(crate) fn touch(&self, path: &str) -> bool {
        self.paths.iter().any(|other| is_within(other, path) || is_within(path, other))
    }
}

/// Returns whether `path` is `outer` or lies below it.
fn is_within(path: &str, outer: &str) -> bool {
    let rest = path.strip_prefix(outer);

    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

impl Document {
    /// Parses a document.
    pub(crate) fn parse(file: &str, bytes: &[u8]) -> Result<Self, Fault> {
        match values::parse(bytes) {
            Ok((value, twice)) => Ok(Self { file: file.into(), value, twice }),
            Err(error) => Err(fault(file, ROOT, format!("not valid JSON: {error}"))),
        }
    }

    /// Turns this document into a type of this shape, finding all faults on the way.
    pub(crate) fn read<T: DeserializeOwned>(self, shape: Shape) -> Reading<T> {
        let Self { file, mut value, twice } = self;
        let mut findings = Findings::default();
        findings.walk(shape, &mut value, ROOT);

        let found = findings.faults.iter().map(|(path, reason)| fault(&file, path, &**reason));
        let twice = twice.iter().map(|path| fault(&file, path, "stands twice"));
        let mut faults: Vec<_> = found.chain(twice).collect();

        let item = serde_path_to_error::deserialize(value)
            .map_err(|error: serde_path_to_error::Error<serde_json::Error>| {
                let path = format!("{ROOT}.{}", error.path());
                faults.push(fault(&file, &path, error.into_inner().to_string()));
            })
            .ok();

        let placeholders = Placeholders { file, paths: findings.placeholders };
        Reading { item, faults, placeholders }
    }
}

/// Makes a fault.
pub(crate) fn fault(file: &str, path: &str, reason: impl Into<Box<str>>) -> Fault {
    Fault { file: file.into(), path: path.into(), reason: reason.into() }
}
