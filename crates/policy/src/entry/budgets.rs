//! Token budgets of programs, enforced across all hosts by grants recorded in the store.
//!
//! The store has one row per program. It holds the program's budget and how many tokens each run of
//! a host (`RunId`) has been granted. A host spends from its own grant without coordination. To
//! spend more it raises its grant in a transaction that is conditional on the row's version. The
//! grants, and so the tokens that all hosts spend, never exceed the budget, even across restarts,
//! network partitions and lost answers: whatever a dead host was granted counts as spent.
//!
//! While the store is unavailable, the holder of a lease grants a program's tokens in its place (see
//! `grant_leases`). Grants made without the store are *unstored* until they are written to it. They
//! come from a share of the budget that the store does not grant (see `shares`). The figures in a
//! row only ever grow, so rows that were changed independently are merged by taking the highest
//! figure for each run.
//!
//! A host can also hand unused tokens directly to another host without changing the row: each
//! transfer reduces the sender's balance by what it adds to the receiver's.

mod account;
mod row;
mod transfers;

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;

use crate::entry::grant_leases::Succession;
use crate::entry::shares::{Doubt, Limit, share_without_store, smallest_store_share};
use crate::entry::write_back::writes_for_others;

use account::Account;
pub use row::{BudgetRow, Claim, KnownRow, ProgramKey, RunId};

/// A grant may exceed what the turn needs by the rest of the budget divided by this, but by no more
/// than the turn's own maximum. A smaller divisor saves writes; a larger one strands fewer tokens
/// on a host that dies or that the program leaves.
const SPARE_DIVISOR: u64 = 4;

/// A host spends from an existing grant for this long after it wrote the row. Then it writes the row
/// again, so that other hosts do not delete it as idle: they do if it has not been written for the time
/// within which its program may return, plus a margin that is longer than this time and a turn.
const REFRESH_AFTER: Duration = Duration::from_secs(20);

/// Result of reserving a turn's tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Reserved,
    /// The caller has to write this row, provided that the stored one still has this version, and
    /// then reserve again.
    Write(BudgetRow, RowVersion),
    /// This host has the tokens, but other hosts may soon delete the row as idle. The caller has to
    /// write this row, provided that the stored one still has this version, and then reserve again.
    Refresh(BudgetRow, RowVersion),
    /// The remaining budget is not granted by the store, because hosts may grant it without the
    /// store.
    Withheld(Doubt),
    /// The budget does not cover the turn.
    Spent {
        /// Whether no other host can have tokens left over.
        certain: bool,
    },
}

/// Result of requesting a grant for a run of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// The caller has to write this row, provided that the stored one still has this version.
    Write(BudgetRow, RowVersion),
    /// The remaining budget is not granted by the store, because hosts may grant it without the
    /// store.
    Withheld(Doubt),
    /// The budget does not cover the turn.
    Spent,
}

/// The budgets of the programs that this host knows of.
#[derive(Clone, Debug)]
pub struct Budgets {
    run: RunId,
    accounts: Map<ProgramKey, Account>,
}

impl Budgets {
    /// Creates an instance for a run of a host, without any programs.
    ///
    /// ```
    /// use camphorwalk_policy::entry::budgets::{Budgets, ProgramKey, ReserveOutcome, RunId};
    /// use camphorwalk_core::platform::RowVersion;
    /// use camphorwalk_core::time::Instant;
    /// let mut budgets = Budgets::new(RunId(1));
    /// let program = ProgramKey(9);
    /// let ReserveOutcome::Write(row, _) = budgets.reserve(Instant(0), program, 1_000, 100) else {
    ///     panic!("nothing is granted yet");
    /// };
    /// budgets.merge_stored_row(Instant(0), program, row, RowVersion(5));
    /// assert_eq!(budgets.reserve(Instant(0), program, 1_000, 100), ReserveOutcome::Reserved);
    /// ```
    pub fn new(run: RunId) -> Self {
        Self { run, accounts: Map::default() }
    }

    /// Reserves `most` tokens for a turn, with the whole budget available from the store.
    pub fn reserve(
        &mut self,
        now: Instant,
        program: ProgramKey,
        budget: u64,
        most: u64,
    ) -> ReserveOutcome {
        self.reserve_within(now, program, budget, most, Limit::Whole)
    }

    /// Reserves `most` tokens for a turn. `limit` restricts new grants only, not the tokens that
    /// this host already holds.
    pub fn reserve_within(
        &mut self,
        now: Instant,
        program: ProgramKey,
        budget: u64,
        most: u64,
        limit: Limit,
    ) -> ReserveOutcome {
        let run = self.run;
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, budget));
        account.last_used = now;

        let needed = account.spent + account.reserved + most;
        if account.spendable(run) >= needed {
            if account.has_expired_grants(now) {
                return ReserveOutcome::Withheld(Doubt::Unsettled);
            }
            if !account.is_row_fresh(now) {
                return ReserveOutcome::Refresh(account.row.clone(), account.version);
            }
            account.reserved += most;
            return ReserveOutcome::Reserved;
        }
        let missing = needed.saturating_sub(account.balance(run));
        let total = account.row.held() + missing;
        if total > account.row.budget {
            let others = account.row.held() - account.row.held_by(run);
            return ReserveOutcome::Spent {
                certain: others == 0 && account.transferred_to.is_empty(),
            };
        }
        let limited = limit.tokens(account.row.budget, most);
        if let Limit::Share(doubt) = limit
            && total > limited
        {
            return ReserveOutcome::Withheld(doubt);
        }

        let mut row = account.row.clone();
        *row.granted.entry(run).or_default() += missing + spare(limited, total, most);

        ReserveOutcome::Write(row, account.version)
    }

    /// Merges a program's row as the store holds it, obtained by a write, a conflict or a read. A
    /// row with a lower version than the latest known one is ignored.
    pub fn merge_stored_row(
        &mut self,
        now: Instant,
        program: ProgramKey,
        row: BudgetRow,
        version: RowVersion,
    ) {
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, row.budget));

        if version < account.version {
            return;
        }
        // Another host may have written the row. The program then still runs there, and is not idle
        // although its last turn on this host may be long ago.
        if version > account.version {
            account.last_used = now;
        }
        account.version = version;
        account.stored = row.granted();
        account.merge(&row);
        account.mark_assured(self.run, &row);
        account.has_unstored &= account.row != row;
    }

    /// Records that this host has written a row.
    pub fn record_write(
        &mut self,
        now: Instant,
        program: ProgramKey,
        row: BudgetRow,
        version: RowVersion,
    ) {
        self.merge_stored_row(now, program, row, version);
        if let Some(account) = self.accounts.get_mut(&program) {
            account.mark_written(now);
        }
    }

    /// Records that the store has no row for a program. If this host knows the program, the row as
    /// it is known here then has to be written again.
    pub fn record_missing_row(&mut self, now: Instant, program: ProgramKey) {
        if let Some(account) = self.accounts.get_mut(&program) {
            account.version = RowVersion::ABSENT;
            account.stored = 0;
            account.mark_unstored(now);
        }
    }

    /// Returns the row to write so that the run `run` is granted `most` more tokens, with the whole
    /// budget available from the store. `known` is the row as the requesting host knows it.
    ///
    /// Returns `None` if the budget does not cover the turn.
    pub fn propose(
        &mut self,
        now: Instant,
        program: ProgramKey,
        run: RunId,
        most: u64,
        known: &BudgetRow,
    ) -> Option<(BudgetRow, RowVersion)> {
        let claim = self.additional_claim(program, run, most, known);

        match self.propose_within(now, program, claim, known, Limit::Whole) {
            Proposal::Write(row, version) => Some((row, version)),
            Proposal::Withheld(_) | Proposal::Spent => None,
        }
    }

    /// Determines whether the store may grant `claim`, and the row to write if so. `known` is the
    /// row as the requesting host knows it.
    pub fn propose_within(
        &mut self,
        now: Instant,
        program: ProgramKey,
        claim: Claim,
        known: &BudgetRow,
        limit: Limit,
    ) -> Proposal {
        let account =
            self.accounts.entry(program).or_insert_with(|| Account::new(now, known.budget));
        account.last_used = now;
        account.merge(known);

        let mut row = account.row.clone();
        let granted = row.granted.entry(claim.run).or_default();
        *granted = claim.total().max(*granted);
        match limit {
            _ if row.held() > row.budget => Proposal::Spent,
            Limit::Share(doubt) if row.held() > limit.tokens(row.budget, claim.most) => {
                Proposal::Withheld(doubt)
            }
            _ => Proposal::Write(row, account.version),
        }
    }

    /// Grants `most` more tokens to the run `run` without the store, and returns the resulting row.
    /// `known` is the row as the requesting host knows it. The run may spend the tokens once a host
    /// of another zone has acknowledged the row.
    ///
    /// Returns `None` if the budget does not cover the turn, if the share that is granted without the
    /// store does not, or if the program is closed for such grants.
    pub fn grant_turn_without_store(
        &mut self,
        now: Instant,
        program: ProgramKey,
        run: RunId,
        most: u64,
        known: &BudgetRow,
    ) -> Option<BudgetRow> {
        let claim = self.additional_claim(program, run, most, known);

        self.grant_without_store(now, program, claim, known)
    }

    /// Grants `claim` without the store, under the same conditions as `grant_turn_without_store`.
    pub fn grant_without_store(
        &mut self,
        now: Instant,
        program: ProgramKey,
        claim: Claim,
        known: &BudgetRow,
    ) -> Option<BudgetRow> {
        let proposal = self.propose_within(now, program, claim, known, Limit::Whole);
        let Proposal::Write(row, _) = proposal else { return None };
        let account = self.accounts.get_mut(&program)?;
        let unstored = row.granted().saturating_sub(account.stored);
        if account.is_closed || unstored > share_without_store(row.budget, claim.most) {
            return None;
        }

        account.has_granted_without_store = true;
        account.row = row;
        account.mark_unstored(now);
        Some(account.row.clone())
    }

    /// Stops grants of a program's tokens without the store by this host, so that the store may
    /// grant the whole budget. `known` is the row as the requesting host knows it. Returns the row as
    /// this host knows it, which contains all its grants; `None` if the program is in quarantine.
    ///
    /// ```
    /// use camphorwalk_policy::entry::budgets::{BudgetRow, Budgets, KnownRow, ProgramKey, RunId};
    /// use camphorwalk_core::time::Instant;
    /// let (now, program) = (Instant(0), ProgramKey(9));
    /// let mut holder = Budgets::new(RunId(1));
    /// let row = BudgetRow { budget: 1_000, ..BudgetRow::default() };
    /// assert!(holder.grant_turn_without_store(now, program, RunId(2), 100, &row).is_some());
    /// let closed = holder.close_for_outages(now, program, &KnownRow { row, stored: 0 }).unwrap();
    /// assert_eq!(closed.row.granted[&RunId(2)], 100);
    /// assert!(holder.grant_turn_without_store(now, program, RunId(2), 100, &closed.row).is_none());
    /// ```
    pub fn close_for_outages(
        &mut self,
        now: Instant,
        program: ProgramKey,
        known: &KnownRow,
    ) -> Option<KnownRow> {
        self.merge_known_row(now, program, known);
        let account = self.accounts.get_mut(&program)?;
        if account.is_quarantined {
            return None;
        }

        account.is_closed = true;
        Some(KnownRow { row: account.row.clone(), stored: account.stored })
    }

    /// Returns whether tokens of a program may have been granted without a trace.
    pub fn is_quarantined(&self, program: ProgramKey) -> bool {
        self.accounts.get(&program).is_some_and(|account| account.is_quarantined)
    }

    /// Merges the stored rows of a partition whose lease this host has acquired. Those that exceed
    /// the share of the store are closed for grants without it. After a holder that may have left
    /// grants without a trace, all of them are, and stay in quarantine.
    pub fn merge_partition_rows(
        &mut self,
        now: Instant,
        rows: impl IntoIterator<Item = (ProgramKey, BudgetRow, RowVersion)>,
        succession: Succession,
    ) {
        for (program, row, version) in rows {
            let is_abandoned = succession == Succession::Abandoned;
            if !is_abandoned && row.held() <= smallest_store_share(row.budget) {
                continue;
            }
            self.merge_stored_row(now, program, row, version);
            if let Some(account) = self.accounts.get_mut(&program) {
                account.is_closed = true;
                account.is_quarantined |= is_abandoned;
            }
        }
    }

    /// Returns whether the lease of a partition can be released: this host has made no grants to the
    /// programs that `is_inside` selects that are not in the store, and none of them is in
    /// quarantine.
    pub fn is_partition_settled(&self, is_inside: impl Fn(ProgramKey) -> bool) -> bool {
        let has_unstored =
            |a: &Account| a.has_unstored || a.has_granted_without_store && a.unstored_tokens() > 0;
        let mut inside = self.accounts.iter().filter(|(program, _)| is_inside(**program));

        inside.all(|(_, account)| !has_unstored(account) && !account.is_quarantined)
    }

    /// Merges a row that contains unstored grants to this host, after a host of another zone has
    /// acknowledged the row. This host may spend the grants from now on.
    pub fn accept_unstored_grant(&mut self, now: Instant, program: ProgramKey, row: &BudgetRow) {
        self.merge_unstored_row(now, program, row);
        if let Some(account) = self.accounts.get_mut(&program) {
            account.mark_assured(self.run, row);
            // The row may have been known before, from a host that is responsible for writing it.
            if account.unstored_tokens() > 0 {
                account.mark_unstored(now);
            }
            // A row that is not in the store is not deleted there.
            if account.version == RowVersion::ABSENT {
                account.mark_written(now);
            }
        }
    }

    /// Merges a row with unstored grants reported by another host. This alone does not allow this
    /// host to spend them: if no host of another zone acknowledges the row, they never take effect.
    pub fn merge_unstored_row(&mut self, now: Instant, program: ProgramKey, row: &BudgetRow) {
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, row.budget));
        account.last_used = now;
        let before = account.row.clone();
        account.merge(row);
        if account.row != before {
            account.mark_unstored(now);
        }
    }

    /// Merges a row that another host has written to the store and that contains a grant to this
    /// host. This host may spend the grant from now on.
    pub fn accept_stored_grant(&mut self, now: Instant, program: ProgramKey, row: &BudgetRow) {
        self.merge_row(now, program, row);
        if let Some(account) = self.accounts.get_mut(&program) {
            account.mark_assured(self.run, row);
            account.mark_written(now);
        }
    }

    /// Merges a row as another host knows it. That host is responsible for writing it.
    pub fn merge_row(&mut self, now: Instant, program: ProgramKey, row: &BudgetRow) {
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, row.budget));
        account.last_used = now;
        account.merge(row);
    }

    /// Merges a row as another host knows it, along with how many of its tokens are stored.
    pub fn merge_known_row(&mut self, now: Instant, program: ProgramKey, known: &KnownRow) {
        self.merge_row(now, program, &known.row);
        if let Some(account) = self.accounts.get_mut(&program) {
            account.stored = account.stored.max(known.stored);
            // If the whole row is stored, this host may spend its grant, even if the grant was
            // written only after this host had stopped waiting for it.
            if account.unstored_tokens() == 0 {
                account.assured = account.assured.max(account.row.granted_to(self.run));
            }
        }
    }

    /// Returns the claim for the tokens that this host lacks for a turn of `most` tokens.
    pub fn claim(&self, program: ProgramKey, most: u64) -> Claim {
        let account = self.accounts.get(&program);
        let lacks =
            |a: &Account| (a.spent + a.reserved + most).saturating_sub(a.spendable(self.run));

        Claim {
            run: self.run,
            assured: account.map_or(0, |account| account.assured),
            missing: account.map_or(most, lacks),
            most,
        }
    }

    /// Returns a claim of `run` for `most` tokens on top of all that it is known to be granted.
    fn additional_claim(
        &self,
        program: ProgramKey,
        run: RunId,
        most: u64,
        known: &BudgetRow,
    ) -> Claim {
        let here = self.row(program).map_or(0, |row| row.granted_to(run));

        Claim { run, assured: here.max(known.granted_to(run)), missing: most, most }
    }

    /// Returns the runs of other hosts that hold tokens of a program: granted ones, spent or not,
    /// that they have not returned.
    pub fn holders(&self, program: ProgramKey) -> Vec<RunId> {
        let row = self.accounts.get(&program).map(|account| &account.row);
        let runs = row.into_iter().flat_map(|row| row.granted.keys().map(move |run| (row, *run)));

        runs.filter(|(row, run)| *run != self.run && row.held_by(*run) > 0)
            .map(|(_, run)| run)
            .collect()
    }

    /// Returns whether this host knows of any grant to a program.
    pub fn has_grants(&self, program: ProgramKey) -> bool {
        self.accounts.get(&program).is_some_and(|account| !account.row.granted.is_empty())
    }

    /// Returns whether this host knows of unstored grants to a program.
    pub fn has_unstored_grants(&self, program: ProgramKey) -> bool {
        self.accounts.get(&program).is_some_and(|account| account.has_unstored)
    }

    /// Returns a program's row as this host knows it.
    pub fn row(&self, program: ProgramKey) -> Option<&BudgetRow> {
        self.accounts.get(&program).map(|account| &account.row)
    }

    /// Returns a program's row as this host knows it, along with how many of its tokens are stored.
    pub fn known_row(&self, program: ProgramKey) -> Option<KnownRow> {
        let account = self.accounts.get(&program)?;

        Some(KnownRow { row: account.row.clone(), stored: account.stored })
    }

    /// Returns whether the budget does not cover `most` more tokens, as far as this host knows.
    pub fn is_spent(&self, program: ProgramKey, most: u64) -> bool {
        self.row(program).is_some_and(|row| row.held() + most > row.budget)
    }

    /// Returns a program's row and version in the store, if this host knows them.
    pub fn stored_row(&self, program: ProgramKey) -> Option<(BudgetRow, RowVersion)> {
        let account = self.accounts.get(&program)?;
        let is_whole = !account.has_unstored && account.unstored_tokens() == 0;
        let is_stored = is_whole && account.version != RowVersion::ABSENT;

        is_stored.then(|| (account.row.clone(), account.version))
    }

    /// Returns the rows that this host has to write now, with the versions that they replace: rows
    /// with unstored grants that are due, and rows to refresh, also during a long turn.
    ///
    /// A host writes the rows that contain a grant to itself. It writes another row only if that is
    /// still unstored after a while: soon if one of the runs in the row is not live (`is_live`),
    /// and after a longer time in any case. Several hosts that write the same row at once would
    /// make each other's writes fail.
    pub fn rows_to_write(
        &self,
        now: Instant,
        is_live: impl Fn(RunId) -> bool,
    ) -> Vec<(ProgramKey, BudgetRow, RowVersion)> {
        let is_due = |a: &Account| {
            let age = now.since(a.unstored_since);
            let all_live = || a.row.granted.keys().all(|run| is_live(*run));

            a.row.granted.contains_key(&self.run) || writes_for_others(age, all_live)
        };
        let is_running_long =
            |a: &Account| a.reserved > 0 && now.since(a.written_at) > REFRESH_AFTER;
        let due = self
            .accounts
            .iter()
            .filter(|(_, a)| a.refresh_due || is_running_long(a) || a.has_unstored && is_due(a));

        due.map(|(program, a)| (*program, a.row.clone(), a.version)).collect()
    }

    /// Ends a turn: of the `most` tokens reserved for it, `used` were generated.
    pub fn settle(&mut self, program: ProgramKey, most: u64, used: u64) {
        let Some(account) = self.accounts.get_mut(&program) else { return };

        account.reserved = account.reserved.saturating_sub(most);
        account.spent += used;
    }

    /// Returns the programs that have been inactive for longer than `idle` and may have a row in
    /// the store, with the last known versions of their rows. The caller deletes these rows and
    /// then calls `record_deletion`.
    ///
    /// A program of which this host was granted or given tokens, or whose tokens it has granted or
    /// may not grant without the store, stays in memory until its row is deleted. All other inactive
    /// programs are removed from memory at once.
    pub fn take_idle(&mut self, now: Instant, idle: Duration) -> Vec<(ProgramKey, RowVersion)> {
        let run = self.run;
        let is_old = |a: &Account| {
            a.reserved == 0 && !a.has_unstored && !a.refresh_due && now.since(a.last_used) > idle
        };
        let mut old = Vec::new();

        self.accounts.retain(|program, account| {
            if !is_old(account) {
                return true;
            }
            let is_kept = account.is_kept(run);
            if is_kept || account.version != RowVersion::ABSENT {
                old.push((*program, account.version));
            }
            // If the row cannot be deleted, the program is returned again after `idle`.
            account.last_used = now;
            is_kept
        });
        old
    }

    /// Records that a program's row has been deleted because the program was idle at `idle_at`. If
    /// the program has run since, the row as this host knows it has to be written again.
    pub fn record_deletion(&mut self, now: Instant, program: ProgramKey, idle_at: Instant) {
        match self.accounts.get(&program) {
            Some(account) if account.last_used > idle_at => self.record_missing_row(now, program),
            _ => drop(self.accounts.remove(&program)),
        }
    }
}

/// Returns how many tokens to grant beyond what a turn of at most `most` tokens needs. `limit` is
/// how much of the budget may be granted, `total` the grants of all runs including what the turn
/// needs.
fn spare(limit: u64, total: u64, most: u64) -> u64 {
    (limit.saturating_sub(total) / SPARE_DIVISOR).min(most)
}
