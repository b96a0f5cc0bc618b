//! JSON documents: parsed, walked, and turned into types.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::errors::Fault;
use crate::shapes::{Shape, walk};

/// The path of a document's root.
pub(crate) const ROOT: &str = "$";

/// A JSON document and where it came from.
pub(crate) struct Document {
    /// The file, as faults name it.
    pub(crate) file: Box<str>,
    /// The bytes as read.
    bytes: Vec<u8>,
    /// The same, parsed.
    pub(crate) value: Value,
}

impl Document {
    /// Parses a document.
    pub(crate) fn parse(file: &str, bytes: Vec<u8>) -> Result<Self, Fault> {
        match serde_json::from_slice(&bytes) {
            Ok(value) => Ok(Self { file: file.into(), bytes, value }),
            Err(error) => Err(fault(file, ROOT, format!("not valid JSON: {error}"))),
        }
    }

    /// Finds all faults of this document's shape.
    pub(crate) fn walk(&self, shape: Shape) -> Vec<Fault> {
        let mut found = Vec::new();
        walk(shape, &self.value, ROOT, &mut found);

        found.into_iter().map(|(path, reason)| fault(&self.file, &path, reason)).collect()
    }

    /// Turns this document into a type.
    ///
    /// The bytes are read again: a field that stands twice is gone from the parsed value.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> Result<T, Fault> {
        let mut deserializer = serde_json::Deserializer::from_slice(&self.bytes);

        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let path = format!("{ROOT}.{}", error.path());
            fault(&self.file, &path, error.into_inner().to_string())
        })
    }
}

/// Makes a fault.
pub(crate) fn fault(file: &str, path: &str, reason: impl Into<Box<str>>) -> Fault {
    Fault { file: file.into(), path: path.into(), reason: reason.into() }
}
