//! Tokens that go from one run to another, or back to the budget.

use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;

use super::account::Account;
use super::{BudgetRow, Budgets, ProgramKey, RunId};

impl Budgets {
    /// Gives this host's unused tokens back to the budget, and returns the resulting row. Another
    /// host requests this when the rest of the budget does not cover its turn or is withheld.
    ///
    /// The returned total of a run only grows and is changed by that run alone, so rows still merge
    /// by the highest figure. If the requesting host does not write the row, nobody can spend the
    /// tokens until some other write contains the returned total; they are never granted twice.
    pub fn return_unused(&mut self, program: ProgramKey) -> Option<BudgetRow> {
        let account = self.accounts.get_mut(&program)?;
        let rest = account.balance(self.run).saturating_sub(account.spent + account.reserved);
        // Tokens received from other runs are recorded in the row as granted to those runs, so this
        // run cannot return them.
        let rest = rest.min(account.row.held_by(self.run));

        if rest > 0 {
            *account.row.returned.entry(self.run).or_default() += rest;
        }
        Some(account.row.clone())
    }

    /// Gives the unused tokens of all programs that ran within `recently` back to their budgets, for
    /// a host that shuts down. Returns the rows to write, with the versions that they replace.
    pub fn return_all_unused(
        &mut self,
        now: Instant,
        recently: Duration,
    ) -> Vec<(ProgramKey, BudgetRow, RowVersion)> {
        let is_running = |a: &Account| now.since(a.last_used) <= recently && !a.has_unstored;
        let running: Vec<_> =
            self.accounts.iter().filter(|(_, a)| is_running(a)).map(|(p, _)| *p).collect();

        running
            .into_iter()
            .filter_map(|program| {
                let before = self.row(program)?.returned.clone();
                let row = self.return_unused(program)?;
                let version = self.accounts.get(&program)?.version;
                (row.returned != before).then_some((program, row, version))
            })
            .collect()
    }

    /// Transfers unused tokens to the run `to` of another host, until it has received `total` from
    /// this host or no unused ones are left. Returns how many it has received from this host in
    /// all.
    ///
    /// Requests and replies carry totals, so a lost or repeated message does no harm.
    ///
    /// ```
    /// use camphorwalk_policy::entry::budgets::{
    ///     BudgetRow, Budgets, ProgramKey, ReserveOutcome, RunId,
    /// };
    /// use camphorwalk_core::platform::RowVersion;
    /// use camphorwalk_core::time::Instant;
    /// let (now, program) = (Instant(0), ProgramKey(9));
    /// let (mut from, mut to) = (Budgets::new(RunId(1)), Budgets::new(RunId(2)));
    /// let row =
    ///     BudgetRow { budget: 500, granted: [(RunId(1), 300)].into(), ..BudgetRow::default() };
    /// from.merge_stored_row(now, program, row.clone(), RowVersion(5));
    /// to.merge_stored_row(now, program, row, RowVersion(5));
    /// let wanted = to.transferred_from(program, RunId(1)) + 100;
    /// let total = from.transfer_to(now, program, RunId(2), wanted);
    /// to.record_transfer_from(program, RunId(1), total);
    /// assert_eq!(to.reserve(now, program, 500, 100), ReserveOutcome::Reserved);
    /// assert_eq!(from.transfer_to(now, program, RunId(2), 100), 100);
    /// ```
    pub fn transfer_to(&mut self, now: Instant, program: ProgramKey, to: RunId, total: u64) -> u64 {
        let Some(account) = self.accounts.get_mut(&program) else { return 0 };
        let is_spendable = account.is_row_fresh(now) && !account.has_expired_grants(now);
        let free = account.spendable(self.run).saturating_sub(account.spent + account.reserved);
        let free = if is_spendable { free } else { 0 };
        let before = account.transferred_to.get(&to).copied().unwrap_or(0);
        let given = before + free.min(total.saturating_sub(before));
        if given > before {
            account.transferred_to.insert(to, given);
        }

        given
    }

    /// Records that the run `from` of another host has given this host `total` tokens in all.
    pub fn record_transfer_from(&mut self, program: ProgramKey, from: RunId, total: u64) {
        let Some(account) = self.accounts.get_mut(&program) else { return };
        let received = account.transferred_from.entry(from).or_default();

        // Turns that spend these tokens do not write the row. Without a refresh, other hosts would
        // consider the program idle and delete its row.
        account.refresh_due |= total > *received;
        *received = total.max(*received);
    }

    /// Returns the total of tokens that this host has received from a run of another host.
    pub fn transferred_from(&self, program: ProgramKey, from: RunId) -> u64 {
        let account = self.accounts.get(&program);

        account.and_then(|account| account.transferred_from.get(&from)).copied().unwrap_or(0)
    }

    /// Returns the total of tokens that this host has given to a run of another host.
    pub fn transferred_to(&self, program: ProgramKey, to: RunId) -> u64 {
        let account = self.accounts.get(&program);

        account.and_then(|account| account.transferred_to.get(&to)).copied().unwrap_or(0)
    }

    /// Returns the runs of other hosts to which this host has given tokens of a program.
    pub fn transfer_recipients(&self, program: ProgramKey) -> Vec<RunId> {
        let account = self.accounts.get(&program);

        account.into_iter().flat_map(|a| a.transferred_to.keys().copied()).collect()
    }
}
