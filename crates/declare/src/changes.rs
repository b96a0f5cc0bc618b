//! Lists the differences between two configurations.

use std::fmt;

use camphorwalk_core::config::Config;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::documents::ROOT;

/// One change between two configurations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// A value was added.
    Added {
        /// The JSON path of the value. Entries of lists are identified by their names.
        path: Box<str>,
        /// The new value.
        new: Value,
    },
    /// A value was removed.
    Removed {
        /// The JSON path of the value.
        path: Box<str>,
        /// The old value.
        old: Value,
    },
    /// A value was replaced.
    Changed {
        /// The JSON path of the value.
        path: Box<str>,
        /// The old value.
        old: Value,
        /// The new value.
        new: Value,
    },
}

impl Change {
    /// Returns the JSON path of what changes.
    pub fn path(&self) -> &str {
        match self {
            Self::Added { path, .. } | Self::Removed { path, .. } | Self::Changed { path, .. } => {
                path
            }
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { path, new } => write!(f, "+ {path}: {new}"),
            Self::Removed { path, old } => write!(f, "- {path}: {old}"),
            Self::Changed { path, old, new } => write!(f, "~ {path}: {old} -> {new}"),
        }
    }
}

/// The fields that identify the entries of a list. The first one that an entry has is used.
const IDENTIFYING_FIELDS: [&str; 3] = ["name", "id", "template"];

/// Returns the changes from `old` to `new`, sorted by path. The configurations' versions are not
/// compared.
///
/// ```
/// use camphorwalk_declare::{Change, diff, load};
/// # let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deployments/inkwick");
/// let old = load(folder.as_ref()).unwrap();
/// let mut new = old.clone();
/// new.tenants[0].burst += 1;
///
/// let changes = diff(&old, &new);
/// assert_eq!(changes.len(), 1);
/// assert!(matches!(&changes[0], Change::Changed { path, .. } if path.ends_with(".burst")));
/// ```
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(ROOT, &to_value(old), &to_value(new), &mut changes);

    changes.sort_by(|a, b| a.path().cmp(b.path()));
    changes
}

/// Converts a configuration to a JSON value without its version.
fn to_value(config: &Config) -> Value {
    let mut value = serde_json::to_value(config).expect("a configuration serializes to JSON");
    if let Value::Object(object) = &mut value {
        object.remove("version");
    }

    value
}

/// Adds the differences between two values at the same path to `changes`.
fn compare(path: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    match (old, new) {
        _ if old == new => {}
        (Value::Object(old), Value::Object(new)) => compare_fields(path, old, new, changes),
        (Value::Array(old_items), Value::Array(new_items)) => {
            match (by_name(old_items), by_name(new_items)) {
                (Some(old), Some(new)) => compare_entries(path, &old, &new, changes),
                _ => changes.push(changed(path, old, new)),
            }
        }
        _ => changes.push(changed(path, old, new)),
    }
}

/// Compares the fields of two objects.
fn compare_fields(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    changes: &mut Vec<Change>,
) {
    let old: Vec<_> = old.iter().map(|(name, value)| (name.as_str(), value)).collect();
    let new: Vec<_> = new.iter().map(|(name, value)| (name.as_str(), value)).collect();

    compare_named(&old, &new, changes, |name| format!("{path}.{name}"));
}

/// Compares two lists, matching their entries by name.
fn compare_entries(
    path: &str,
    old: &[(&str, &Value)],
    new: &[(&str, &Value)],
    changes: &mut Vec<Change>,
) {
    compare_named(old, new, changes, |name| format!("{path}[{name:?}]"));
}

/// Compares two sets of named values; `path_of` returns the path of a name.
fn compare_named(
    old: &[(&str, &Value)],
    new: &[(&str, &Value)],
    changes: &mut Vec<Change>,
    path_of: impl Fn(&str) -> String,
) {
    for (name, old_value) in old {
        let path = path_of(name);
        match find(new, name) {
            Some(new_value) => compare(&path, old_value, new_value, changes),
            None => changes.push(Change::Removed { path: path.into(), old: (*old_value).clone() }),
        }
    }

    for (name, new_value) in new {
        if find(old, name).is_none() {
            let path = path_of(name).into();
            changes.push(Change::Added { path, new: (*new_value).clone() });
        }
    }
}

/// Finds a value by its name.
fn find<'a>(named: &[(&str, &'a Value)], name: &str) -> Option<&'a Value> {
    named.iter().find(|(other, _)| *other == name).map(|(_, value)| *value)
}

/// Returns the entries of a list with their names, or `None` if an entry has no name.
fn by_name(items: &[Value]) -> Option<Vec<(&str, &Value)>> {
    let name_of = |item: &Value| IDENTIFYING_FIELDS.iter().find(|f| item[**f].is_string()).copied();

    items
        .iter()
        .map(|item| name_of(item).and_then(|field| Some((item[field].as_str()?, item))))
        .collect()
}

/// Returns the change of a value that was replaced.
fn changed(path: &str, old: &Value, new: &Value) -> Change {
    Change::Changed { path: path.into(), old: old.clone(), new: new.clone() }
}
