//! What the store holds of a program's budget, and what hosts tell each other of it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A program's name within the fleet: a hash of its tenant and its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProgramKey(pub u64);

/// The random number of a run of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// What the store holds of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRow {
    /// The tokens that all turns together may generate.
    pub budget: u64,
    /// The tokens granted to each run of a host.
    pub granted: BTreeMap<RunId, u64>,
    /// The tokens that each run has given back unspent.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub returned: BTreeMap<RunId, u64>,
}

impl BudgetRow {
    /// Returns what a run was granted in all.
    pub(super) fn granted_to(&self, run: RunId) -> u64 {
        self.granted.get(&run).copied().unwrap_or(0)
    }

    /// Returns what a run may spend in all.
    pub(super) fn held_by(&self, run: RunId) -> u64 {
        self.granted_to(run).saturating_sub(self.returned.get(&run).copied().unwrap_or(0))
    }

    /// Returns what all runs may spend in all.
    pub(super) fn held(&self) -> u64 {
        self.granted.keys().map(|run| self.held_by(*run)).sum()
    }

    /// Returns what all runs were granted, with what they have given back.
    pub(super) fn granted(&self) -> u64 {
        self.granted.values().sum()
    }
}

/// What a host asks for: the tokens of a turn that it does not have yet.
///
/// It is a total, so that a host which gave up waiting may ask again: what was granted to it meanwhile,
/// and it never heard of, is not granted a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The run of the host.
    pub run: RunId,
    /// What it was granted in all, as far as it knows that it may spend it.
    pub assured: u64,
    /// The tokens that it lacks.
    pub missing: u64,
    /// The most tokens of the turn.
    pub most: u64,
}

impl Claim {
    /// Returns how many tokens the run is to be granted in all.
    pub(super) fn total(&self) -> u64 {
        self.assured + self.missing
    }
}

/// A program's row as a host knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRow {
    /// The row, with what was granted without the store.
    pub row: BudgetRow,
    /// How many tokens the store has granted at least.
    pub stored: u64,
}
