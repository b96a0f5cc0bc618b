//! Names: well formed, and each once.

use std::collections::BTreeMap;

use crate::errors::Fault;
use crate::parts::Placed;

/// The longest name, in bytes. Names stand in metric labels, paths and frames.
const MAX_NAME_BYTES: usize = 64;

/// Returns what is wrong with a name.
pub(super) fn fault_of(name: &str) -> Option<String> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');

    if name.is_empty() {
        return Some("is empty".to_owned());
    }
    if name.len() > MAX_NAME_BYTES {
        return Some(format!("is longer than {MAX_NAME_BYTES} bytes"));
    }
    if !name.bytes().all(plain) {
        return Some(
            "holds another character than ASCII letters, digits, `-`, `_`, `.`".to_owned(),
        );
    }
    None
}

/// Finds a fault of the name at `below` of a thing.
pub(super) fn check_name<T>(placed: &Placed<T>, below: &str, name: &str, faults: &mut Vec<Fault>) {
    if let Some(reason) = fault_of(name) {
        faults.push(placed.fault(below, format!("the name {reason}")));
    }
}

/// The names of one kind that were met.
pub(super) struct Unique<'a> {
    /// What they are names of.
    kind: &'static str,
    /// Turns a name into its id.
    id_of: fn(&str) -> u64,
    /// The name that has each id, and where it stands.
    seen: BTreeMap<u64, (&'a str, String)>,
}

impl<'a> Unique<'a> {
    /// Makes the empty set of names of this kind.
    pub(super) fn new(kind: &'static str, id_of: fn(&str) -> u64) -> Self {
        Self { kind, id_of, seen: BTreeMap::new() }
    }

    /// Adds the name at `below` of a thing; finds a fault if it, or its id, came before.
    pub(super) fn add<T>(
        &mut self,
        placed: &Placed<T>,
        below: &str,
        name: &'a str,
        faults: &mut Vec<Fault>,
    ) {
        let here = format!("{} {}{below}", placed.file, placed.path);

        match self.seen.get(&(self.id_of)(name)) {
            None => {
                self.seen.insert((self.id_of)(name), (name, here));
            }
            Some((other, place)) if *other == name => {
                let reason = format!("duplicate {} `{name}`, first at {place}", self.kind);
                faults.push(placed.fault(below, reason));
            }
            // Hosts know things by the hash of their names alone.
            Some((other, place)) => {
                let kind = self.kind;
                let reason = format!("the {kind} `{name}` has the same id as `{other}` at {place}");
                faults.push(placed.fault(below, reason));
            }
        }
    }
}
