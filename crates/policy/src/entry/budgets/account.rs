//! A program at one host: the row as it is known there, and what of it is spent.

use camphorwalk_core::hash::Map;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;

use crate::entry::budgets::row::{BudgetRow, RunId};

/// A program at this host.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) row: BudgetRow,
    pub(super) version: RowVersion,
    /// How many tokens the store has granted at least.
    pub(super) stored: u64,
    /// Whether the row has grants that the store does not have yet.
    pub(super) loose: bool,
    /// Since when.
    pub(super) loose_since: Instant,
    /// When this host wrote the row last.
    pub(super) written_at: Instant,
    /// Whether the row is to be written again, so that it is not taken for needless.
    pub(super) stale: bool,
    /// What this run was granted as far as the store or a host of another zone has it.
    pub(super) assured: u64,
    /// The tokens that this run has given to each other one in all.
    pub(super) given: Map<RunId, u64>,
    /// The tokens that this run has received from each other one in all.
    pub(super) received: Map<RunId, u64>,
    pub(super) spent: u64,
    pub(super) reserved: u64,
    pub(super) used_at: Instant,
}

impl Account {
    pub(super) fn new(now: Instant, budget: u64) -> Self {
        Self {
            row: BudgetRow { budget, ..BudgetRow::default() },
            version: RowVersion::ABSENT,
            stored: 0,
            loose: false,
            loose_since: now,
            written_at: now,
            stale: false,
            assured: 0,
            given: Map::default(),
            received: Map::default(),
            spent: 0,
            reserved: 0,
            used_at: now,
        }
    }

    /// Takes note that the row has grants that the store does not have.
    pub(super) fn loosen(&mut self, now: Instant) {
        if !self.loose {
            self.loose = true;
            self.loose_since = now;
        }
    }

    /// Takes note that what a row grants to a run may be spent by it.
    pub(super) fn assure(&mut self, run: RunId, row: &BudgetRow) {
        self.assured = self.assured.max(row.granted_to(run));
    }

    /// Returns what this run, which is `run`, has of its own grants and those of others.
    pub(super) fn has(&self, run: RunId) -> u64 {
        let received: u64 = self.received.values().sum();
        let given: u64 = self.given.values().sum();

        (self.row.held_by(run) + received).saturating_sub(given)
    }

    /// Returns what this run may spend. When trouble begins, one host may still write a grant while
    /// another is granted the same tokens in the store's place. Whoever learns of both does not spend
    /// what is too much.
    pub(super) fn may_spend(&self, run: RunId) -> u64 {
        let excess = self.row.held().saturating_sub(self.row.budget);

        self.has(run).saturating_sub(excess).saturating_sub(self.unassured(run))
    }

    /// Returns what a run was granted and may not spend yet.
    pub(super) fn unassured(&self, run: RunId) -> u64 {
        self.row.granted_to(run).saturating_sub(self.assured)
    }

    /// Returns how many tokens were granted without the store and may not be in it.
    pub(super) fn granted_loose(&self) -> u64 {
        self.row.granted().saturating_sub(self.stored)
    }

    /// Takes over the higher figure of each run.
    pub(super) fn merge(&mut self, row: &BudgetRow) {
        if self.row.budget == 0 {
            self.row.budget = row.budget;
        }
        for (run, tokens) in &row.granted {
            let own = self.row.granted.entry(*run).or_default();
            *own = (*own).max(*tokens);
        }
        for (run, tokens) in &row.returned {
            let own = self.row.returned.entry(*run).or_default();
            *own = (*own).max(*tokens);
        }
    }
}
