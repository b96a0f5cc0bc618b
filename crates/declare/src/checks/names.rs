//! Checks that names are well formed and unique.

use std::collections::BTreeMap;

use crate::declarations::Located;
use crate::errors::Fault;

/// The longest name, in bytes. Names are used in metric labels, paths and frames.
const MAX_NAME_BYTES: usize = 64;

/// Returns the reason why a name is invalid, if it is.
pub(super) fn name_fault(name: &str) -> Option<String> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');

    if name.is_empty() {
        return Some("is empty".to_owned());
    }
    if name.len() > MAX_NAME_BYTES {
        return Some(format!("is longer than {MAX_NAME_BYTES} bytes"));
    }
    if !name.bytes().all(is_allowed) {
        return Some(
            "holds another character than ASCII letters, digits, `-`, `_`, `.`".to_owned(),
        );
    }
    None
}

/// Checks the name at `subpath` of a declaration.
pub(super) fn check_name<T>(
    located: &Located<T>,
    subpath: &str,
    name: &str,
    faults: &mut Vec<Fault>,
) {
    if let Some(reason) = name_fault(name) {
        faults.push(located.fault(subpath, format!("the name {reason}")));
    }
}

/// Checks that the names of one kind, and the ids derived from them, are unique.
pub(super) struct UniqueNames<'a> {
    /// The kind of the named declarations, as faults show it.
    kind: &'static str,
    /// Derives the id from a name.
    id_of: fn(&str) -> u64,
    /// For each id, the first name that has it and the location of that name.
    seen: BTreeMap<u64, (&'a str, String)>,
}

impl<'a> UniqueNames<'a> {
    /// Creates an empty set of names of this kind.
    pub(super) fn new(kind: &'static str, id_of: fn(&str) -> u64) -> Self {
        Self { kind, id_of, seen: BTreeMap::new() }
    }

    /// Adds the name at `subpath` of a declaration, and reports a fault if the name or its id is
    /// already in use.
    pub(super) fn add<T>(
        &mut self,
        located: &Located<T>,
        subpath: &str,
        name: &'a str,
        faults: &mut Vec<Fault>,
    ) {
        let location = format!("{} {}{subpath}", located.file, located.path);

        match self.seen.get(&(self.id_of)(name)) {
            None => {
                self.seen.insert((self.id_of)(name), (name, location));
            }
            Some((other, first_location)) if *other == name => {
                let reason = format!("duplicate {} `{name}`, first at {first_location}", self.kind);
                faults.push(located.fault(subpath, reason));
            }
            // Hosts identify declarations only by the hashes of their names, so two names with the
            // same hash would be mistaken for each other.
            Some((other, location)) => {
                let kind = self.kind;
                let reason =
                    format!("the {kind} `{name}` has the same id as `{other}` at {location}");
                faults.push(located.fault(subpath, reason));
            }
        }
    }
}
