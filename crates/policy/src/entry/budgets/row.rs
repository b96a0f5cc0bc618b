//! The stored row of a program's budget, and what hosts send each other about it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Identifies a program within the fleet: a hash of its tenant and its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProgramKey(pub u64);

/// Identifies one run of a host's process, by a random number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// The stored state of a program's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRow {
    /// The tokens that all turns of the program together may generate.
    pub budget: u64,
    /// Total tokens granted to each run of a host, including those it has returned.
    pub granted: BTreeMap<RunId, u64>,
    /// Total tokens that each run has returned unspent.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub returned: BTreeMap<RunId, u64>,
}

impl BudgetRow {
    /// Returns the total of tokens granted to a run, including those it has returned.
    pub(super) fn granted_to(&self, run: RunId) -> u64 {
        self.granted.get(&run).copied().unwrap_or(0)
    }

    /// Returns a run's grant without the tokens that it has returned.
    pub(super) fn held_by(&self, run: RunId) -> u64 {
        self.granted_to(run).saturating_sub(self.returned.get(&run).copied().unwrap_or(0))
    }

    /// Returns the grants of all runs without the tokens that they have returned.
    pub(super) fn held(&self) -> u64 {
        self.granted.keys().map(|run| self.held_by(*run)).sum()
    }

    /// Returns the grants of all runs, including the tokens that they have returned.
    pub(super) fn granted(&self) -> u64 {
        self.granted.values().sum()
    }
}

/// A host's request for the tokens that it still lacks for a turn.
///
/// The claim amounts to a total, so a host that gave up waiting can repeat it: tokens that were
/// granted meanwhile without the knowledge of that host are not granted twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The run of the requesting host.
    pub run: RunId,
    /// The total of granted tokens that the run may spend, because the requesting host knows that
    /// the store or a host of another zone has recorded the grant.
    pub assured: u64,
    /// The tokens that the run lacks for the turn.
    pub missing: u64,
    /// The maximum number of tokens that the turn may generate.
    pub most: u64,
}

impl Claim {
    /// Returns the total that the run is to be granted.
    pub(super) fn total(&self) -> u64 {
        self.assured + self.missing
    }
}

/// A program's row as one host knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRow {
    /// The row, including grants made without the store.
    pub row: BudgetRow,
    /// Lower bound of the tokens that the stored row grants.
    pub stored: u64,
}
