//! A program's account on one host: the row as this host knows it, and the tokens spent from it.

use camphorwalk_core::hash::Map;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;

use crate::entry::budgets::REFRESH_AFTER;
use crate::entry::budgets::row::{BudgetRow, RunId};
use crate::entry::grant_leases::UNSTORED_GRANT_VALID_FOR;

/// A program's account on this host.
#[derive(Clone, Debug)]
pub(super) struct Account {
    /// The row as this host knows it, including grants that are not stored.
    pub(super) row: BudgetRow,
    /// The latest version of the stored row that this host knows of.
    pub(super) version: RowVersion,
    /// Lower bound of the tokens that the stored row grants.
    pub(super) stored: u64,
    /// Whether the row contains grants that are not known to be in the store. Grants that another
    /// host is about to write do not count.
    pub(super) has_unstored: bool,
    /// When this host learned of the first of these grants.
    pub(super) unstored_since: Instant,
    /// When this host last wrote the row, or another host wrote it for this one; until the first such
    /// write, when the account was created.
    pub(super) written_at: Instant,
    /// Whether the row has been written by or for this host.
    pub(super) has_written: bool,
    /// Whether the row has to be written again so that other hosts do not delete it as idle.
    pub(super) refresh_due: bool,
    /// Whether this host has granted tokens of the program without the store.
    pub(super) has_granted_without_store: bool,
    /// Whether this host grants no more tokens of the program without the store, since the store
    /// may grant the whole budget.
    pub(super) is_closed: bool,
    /// Whether tokens of the program may have been granted without a trace, so that the store must
    /// not grant more than its share.
    pub(super) is_quarantined: bool,
    /// How many of the tokens granted to this run it may spend. The store or a host of another zone
    /// has recorded that much of the grant.
    pub(super) assured: u64,
    /// Total tokens that this run has given to each other run.
    pub(super) transferred_to: Map<RunId, u64>,
    /// Total tokens that this run has received from each other run.
    pub(super) transferred_from: Map<RunId, u64>,
    /// Total tokens that turns at this host have generated.
    pub(super) spent: u64,
    /// The tokens reserved for turns that run at this host now.
    pub(super) reserved: u64,
    /// When the program was last known to run, at this host or another one.
    pub(super) last_used: Instant,
}

impl Account {
    pub(super) fn new(now: Instant, budget: u64) -> Self {
        Self {
            row: BudgetRow { budget, ..BudgetRow::default() },
            version: RowVersion::ABSENT,
            stored: 0,
            has_unstored: false,
            unstored_since: now,
            written_at: now,
            has_written: false,
            refresh_due: false,
            has_granted_without_store: false,
            is_closed: false,
            is_quarantined: false,
            assured: 0,
            transferred_to: Map::default(),
            transferred_from: Map::default(),
            spent: 0,
            reserved: 0,
            last_used: now,
        }
    }

    /// Records that the row contains grants that the store does not have.
    pub(super) fn mark_unstored(&mut self, now: Instant) {
        if !self.has_unstored {
            self.has_unstored = true;
            self.unstored_since = now;
        }
    }

    /// Returns whether the row contains grants that are too old to be spent without a record in the
    /// store.
    pub(super) fn has_expired_grants(&self, now: Instant) -> bool {
        self.has_unstored && now.since(self.unstored_since) > UNSTORED_GRANT_VALID_FOR
    }

    /// Records that the row has been written by or for this host.
    pub(super) fn mark_written(&mut self, now: Instant) {
        self.written_at = now;
        self.has_written = true;
        self.refresh_due = false;
    }

    /// Returns whether the row was written so recently that no other host deletes it as idle before
    /// the program may return after a turn that begins now.
    pub(super) fn is_row_fresh(&self, now: Instant) -> bool {
        let valid_for = if self.has_written { REFRESH_AFTER } else { REFRESH_AFTER / 2 };

        now.since(self.written_at) <= valid_for
    }

    /// Returns whether this host has to remember the account as long as the program's row exists.
    /// Otherwise it could spend its grant, or grant tokens without the store, a second time.
    pub(super) fn is_kept(&self, run: RunId) -> bool {
        let is_holder = self.row.granted.contains_key(&run) || !self.transferred_from.is_empty();

        is_holder || self.has_granted_without_store || self.is_closed
    }

    /// Records that `run`, which is this run, may spend all that `row` grants to it.
    pub(super) fn mark_assured(&mut self, run: RunId, row: &BudgetRow) {
        self.assured = self.assured.max(row.granted_to(run));
    }

    /// Returns the tokens that this run (`run`) holds, spent ones included: its own grant without
    /// what it has returned, plus transfers from other runs, minus transfers to them.
    pub(super) fn balance(&self, run: RunId) -> u64 {
        let received: u64 = self.transferred_from.values().sum();
        let given: u64 = self.transferred_to.values().sum();

        (self.row.held_by(run) + received).saturating_sub(given)
    }

    /// Returns how many tokens this run may spend in all. At the start of an outage, one host may
    /// still be writing a grant while another host grants the same tokens without the store. A run
    /// that learns of both grants does not spend the excess over the budget.
    pub(super) fn spendable(&self, run: RunId) -> u64 {
        let excess = self.row.held().saturating_sub(self.row.budget);

        self.balance(run).saturating_sub(excess).saturating_sub(self.unassured(run))
    }

    /// Returns how many of the tokens granted to a run it may not spend yet.
    pub(super) fn unassured(&self, run: RunId) -> u64 {
        self.row.granted_to(run).saturating_sub(self.assured)
    }

    /// Returns how many of the granted tokens may not be in the store.
    pub(super) fn unstored_tokens(&self) -> u64 {
        self.row.granted().saturating_sub(self.stored)
    }

    /// Merges a row by taking the higher figure of each run.
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
