//! Programs' budgets of tokens over all hosts, by grants that are written to the store.
//!
//! A row for each program holds its budget and how many tokens each run of a host was granted.
//! A host spends from its own grant without asking; before it spends more it raises its grant
//! by a transaction on the row's version. So the tokens of all hosts together never exceed the
//! budget, over restarts, cuts and lost answers: what a host that died was granted counts as
//! spent.
//!
//! While the store is away for all, one host at a time grants in its place: the first in a fixed
//! order of those that a majority of the hosts hears. Its grants are *loose* until they are
//! written, and are from a share of the budget that the store does not grant (`shares`). Figures of
//! a row only grow, so rows that were written apart are merged by the highest figure of each run.
//!
//! Tokens that a host was granted and does not need may go to another host without a row that tells
//! of it: what one receives the other no longer has.

mod account;
mod row;

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;

use crate::entry::shares::{Doubt, Limit, share_without_store};
use crate::entry::write_back::writes_for_others;

use account::Account;
pub use row::{BudgetRow, Claim, KnownRow, ProgramKey, RunId};

/// The part of the free budget that a grant may take beyond what a turn needs. More saves
/// writes; less strands fewer tokens at a host that dies or that the program leaves.
const SPARE_PART: u64 = 4;

/// After how long a host that spends from its grant writes the row again: rows outlive the time in
/// which a program may return by more than this, counted from their last write.
const REFRESH_AFTER: Duration = Duration::from_secs(20);

/// What comes of asking for a turn's tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// They are reserved.
    Reserved,
    /// The row is to be written with this content, if it still has this version; then ask again.
    Write(BudgetRow, RowVersion),
    /// The rest of the budget may be granted without the store.
    Withheld(Doubt),
    /// The budget is spent. `certain` tells that no other host can have tokens left over.
    Spent {
        /// Whether all that was granted elsewhere is known to be spent.
        certain: bool,
    },
}

/// What comes of asking for a grant to a run of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// The row is to be written with this content, if it still has this version.
    Write(BudgetRow, RowVersion),
    /// The rest of the budget may be granted without the store.
    Withheld(Doubt),
    /// The budget does not hold the turn.
    Spent,
}

/// The programs that run turns at this host.
#[derive(Clone, Debug)]
pub struct Budgets {
    run: RunId,
    accounts: Map<ProgramKey, Account>,
}

impl Budgets {
    /// Begins with no programs.
    ///
    /// ```
    /// use camphorwalk_policy::entry::budgets::{Budgets, ProgramKey, Reservation, RunId};
    /// use camphorwalk_core::platform::RowVersion;
    /// use camphorwalk_core::time::Instant;
    /// let mut budgets = Budgets::new(RunId(1));
    /// let program = ProgramKey(9);
    /// let Reservation::Write(row, _) = budgets.reserve(Instant(0), program, 1_000, 100) else {
    ///     panic!("nothing is granted yet");
    /// };
    /// budgets.merge_stored_row(Instant(0), program, row, RowVersion(5));
    /// assert_eq!(budgets.reserve(Instant(0), program, 1_000, 100), Reservation::Reserved);
    /// ```
    pub fn new(run: RunId) -> Self {
        Self { run, accounts: Map::default() }
    }

    /// Asks for the `most` tokens of a turn, where nothing is granted without the store.
    pub fn reserve(
        &mut self,
        now: Instant,
        program: ProgramKey,
        budget: u64,
        most: u64,
    ) -> Reservation {
        self.reserve_within(now, program, budget, most, Limit::Whole)
    }

    /// Asks for the `most` tokens of a turn. What this host holds already is not subject to `limit`.
    pub fn reserve_within(
        &mut self,
        now: Instant,
        program: ProgramKey,
        budget: u64,
        most: u64,
        limit: Limit,
    ) -> Reservation {
        let run = self.run;
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, budget));
        account.used_at = now;

        let needed = account.spent + account.reserved + most;
        if account.may_spend(run) >= needed {
            account.reserved += most;
            account.stale |= now.since(account.written_at) > REFRESH_AFTER;
            return Reservation::Reserved;
        }
        let missing = needed.saturating_sub(account.has(run));
        let total = account.row.held() + missing;
        if total > account.row.budget {
            let others = account.row.held() - account.row.held_by(run);
            return Reservation::Spent { certain: others == 0 && account.given.is_empty() };
        }
        let limited = limit.tokens(account.row.budget, most);
        if let Limit::Share(doubt) = limit
            && total > limited
        {
            return Reservation::Withheld(doubt);
        }

        let mut row = account.row.clone();
        *row.granted.entry(run).or_default() += missing + spare(limited, total, most);

        Reservation::Write(row, account.version)
    }

    /// Takes in what the store holds of a program: after a write, a conflict or a read.
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
        // Somebody was granted tokens just now, and may return later than this host's own turns.
        if version > account.version {
            account.used_at = now;
        }
        account.version = version;
        account.stored = row.granted();
        account.merge(&row);
        account.assure(self.run, &row);
        account.loose &= account.row != row;
    }

    /// Takes in that this host has written a row.
    pub fn record_write(
        &mut self,
        now: Instant,
        program: ProgramKey,
        row: BudgetRow,
        version: RowVersion,
    ) {
        self.merge_stored_row(now, program, row, version);
        if let Some(account) = self.accounts.get_mut(&program) {
            account.written_at = now;
            account.stale = false;
        }
    }

    /// Takes in that the store has no row of a program: what this host knows is written anew.
    pub fn record_missing_row(&mut self, now: Instant, program: ProgramKey) {
        if let Some(account) = self.accounts.get_mut(&program) {
            account.version = RowVersion::ABSENT;
            account.stored = 0;
            account.loosen(now);
        }
    }

    /// Returns the row with a turn's tokens granted to the run `run` of a host, where nothing is
    /// granted without the store. `known` is what the asking host knows of it.
    ///
    /// Returns `None` if the budget does not hold the turn.
    pub fn propose(
        &mut self,
        now: Instant,
        program: ProgramKey,
        run: RunId,
        most: u64,
        known: &BudgetRow,
    ) -> Option<(BudgetRow, RowVersion)> {
        let claim = self.further(program, run, most, known);

        match self.propose_within(now, program, claim, known, Limit::Whole) {
            Proposal::Write(row, version) => Some((row, version)),
            Proposal::Withheld(_) | Proposal::Spent => None,
        }
    }

    /// Asks for what a host lacks of a turn's tokens, which the store is to grant. `known` is what that
    /// host knows of the row.
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
        account.used_at = now;
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

    /// Grants a turn's tokens to the run `run` of a host, in the store's place, and returns the
    /// row as it then stands. `known` is what the asking host knows of it. The run may spend them
    /// when a host of another zone has taken note of the row.
    ///
    /// Returns `None` if the budget does not hold the turn, or the share of it that is granted
    /// without the store does not.
    pub fn grant_turn_without_store(
        &mut self,
        now: Instant,
        program: ProgramKey,
        run: RunId,
        most: u64,
        known: &BudgetRow,
    ) -> Option<BudgetRow> {
        let claim = self.further(program, run, most, known);

        self.grant_without_store(now, program, claim, known)
    }

    /// Grants what a host lacks of a turn's tokens, as `grant_turn_without_store`.
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
        let loose = row.granted().saturating_sub(account.stored);
        if loose > share_without_store(row.budget, claim.most) {
            return None;
        }

        account.row = row;
        account.loosen(now);
        Some(account.row.clone())
    }

    /// Takes in a row with loose grants to this host, of which a host of another zone has taken
    /// note.
    pub fn accept_unstored_grant(&mut self, now: Instant, program: ProgramKey, row: &BudgetRow) {
        self.merge_unstored_row(now, program, row);
        if let Some(account) = self.accounts.get_mut(&program) {
            account.assure(self.run, row);
        }
    }

    /// Takes note of a row with loose grants, which may come to nothing.
    pub fn merge_unstored_row(&mut self, now: Instant, program: ProgramKey, row: &BudgetRow) {
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, row.budget));
        account.used_at = now;
        let before = account.row.clone();
        account.merge(row);
        if account.row != before {
            account.loosen(now);
        }
    }

    /// Takes in a row with a grant to this host that another one has written.
    pub fn accept_stored_grant(&mut self, now: Instant, program: ProgramKey, row: &BudgetRow) {
        self.merge_row(now, program, row);
        if let Some(account) = self.accounts.get_mut(&program) {
            account.assure(self.run, row);
        }
    }

    /// Takes in how a program's row stands at another host, which writes it itself.
    pub fn merge_row(&mut self, now: Instant, program: ProgramKey, row: &BudgetRow) {
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, row.budget));
        account.used_at = now;
        account.merge(row);
    }

    /// Takes in how a program's row stands at another host, and how much of it the store has.
    pub fn merge_known_row(&mut self, now: Instant, program: ProgramKey, known: &KnownRow) {
        self.merge_row(now, program, &known.row);
        if let Some(account) = self.accounts.get_mut(&program) {
            account.stored = account.stored.max(known.stored);
            // A grant that the store has may be spent, also if it came after its host gave up.
            if account.granted_loose() == 0 {
                account.assured = account.assured.max(account.row.granted_to(self.run));
            }
        }
    }

    /// Gives back what this host was granted and does not need now, and returns the row as it
    /// then stands: asked by a host that finds the budget spent.
    ///
    /// What a run has given back only grows and is set by that run alone, so that rows can be
    /// merged as before. If the asking host does not write it, the tokens are lost, not doubled.
    pub fn return_unused(&mut self, program: ProgramKey) -> Option<BudgetRow> {
        let account = self.accounts.get_mut(&program)?;
        let rest = account.has(self.run).saturating_sub(account.spent + account.reserved);
        // What other runs were granted is theirs in the row.
        let rest = rest.min(account.row.held_by(self.run));

        if rest > 0 {
            *account.row.returned.entry(self.run).or_default() += rest;
        }
        Some(account.row.clone())
    }

    /// Returns what this host lacks of the tokens of a turn.
    pub fn claim(&self, program: ProgramKey, most: u64) -> Claim {
        let account = self.accounts.get(&program);
        let lacks =
            |a: &Account| (a.spent + a.reserved + most).saturating_sub(a.may_spend(self.run));

        Claim {
            run: self.run,
            assured: account.map_or(0, |account| account.assured),
            missing: account.map_or(most, lacks),
            most,
        }
    }

    /// Returns the claim of a run to so many tokens more than it is known to be granted.
    fn further(&self, program: ProgramKey, run: RunId, most: u64, known: &BudgetRow) -> Claim {
        let here = self.row(program).map_or(0, |row| row.granted_to(run));

        Claim { run, assured: here.max(known.granted_to(run)), missing: most, most }
    }

    /// Gives tokens that this host does not need to the run `to` of another one, until that has
    /// `total` from here, and returns how many it then has.
    ///
    /// Totals make it harmless that a question or its reply is lost or comes twice.
    ///
    /// ```
    /// use camphorwalk_policy::entry::budgets::{BudgetRow, Budgets, ProgramKey, Reservation, RunId};
    /// use camphorwalk_core::platform::RowVersion;
    /// use camphorwalk_core::time::Instant;
    /// let (now, program) = (Instant(0), ProgramKey(9));
    /// let (mut from, mut to) = (Budgets::new(RunId(1)), Budgets::new(RunId(2)));
    /// let row = BudgetRow { budget: 500, granted: [(RunId(1), 300)].into(), ..BudgetRow::default() };
    /// from.merge_stored_row(now, program, row.clone(), RowVersion(5));
    /// to.merge_stored_row(now, program, row, RowVersion(5));
    /// let wanted = to.transferred_from(program, RunId(1)) + 100;
    /// let total = from.transfer_to(program, RunId(2), wanted);
    /// to.record_transfer_from(program, RunId(1), total);
    /// assert_eq!(to.reserve(now, program, 500, 100), Reservation::Reserved);
    /// assert_eq!(from.transfer_to(program, RunId(2), 100), 100);
    /// ```
    pub fn transfer_to(&mut self, program: ProgramKey, to: RunId, total: u64) -> u64 {
        let Some(account) = self.accounts.get_mut(&program) else { return 0 };
        let free = account.may_spend(self.run).saturating_sub(account.spent + account.reserved);
        let before = account.given.get(&to).copied().unwrap_or(0);
        let given = before + free.min(total.saturating_sub(before));
        if given > before {
            account.given.insert(to, given);
        }

        given
    }

    /// Takes in how many tokens this host has been given by the run `from` of another one in all.
    pub fn record_transfer_from(&mut self, program: ProgramKey, from: RunId, total: u64) {
        let Some(account) = self.accounts.get_mut(&program) else { return };
        let received = account.received.entry(from).or_default();

        // Turns that spend them write no row, and others would take it for needless.
        account.stale |= total > *received;
        *received = total.max(*received);
    }

    /// Returns how many tokens this host has been given by a run of another one in all.
    pub fn transferred_from(&self, program: ProgramKey, from: RunId) -> u64 {
        let account = self.accounts.get(&program);

        account.and_then(|account| account.received.get(&from)).copied().unwrap_or(0)
    }

    /// Returns how many tokens this host has given to a run of another one in all.
    pub fn transferred_to(&self, program: ProgramKey, to: RunId) -> u64 {
        let account = self.accounts.get(&program);

        account.and_then(|account| account.given.get(&to)).copied().unwrap_or(0)
    }

    /// Returns the runs of other hosts that this one has given tokens of a program.
    pub fn transfer_recipients(&self, program: ProgramKey) -> Vec<RunId> {
        let account = self.accounts.get(&program);

        account.into_iter().flat_map(|a| a.given.keys().copied()).collect()
    }

    /// Returns the other runs that hold tokens of a program.
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

    /// Returns whether this host knows of grants to a program that the store does not have.
    pub fn has_unstored_grants(&self, program: ProgramKey) -> bool {
        self.accounts.get(&program).is_some_and(|account| account.loose)
    }

    /// Returns the row of a program as this host knows it.
    pub fn row(&self, program: ProgramKey) -> Option<&BudgetRow> {
        self.accounts.get(&program).map(|account| &account.row)
    }

    /// Returns a program's row as this host knows it, with how much of it the store has.
    pub fn known_row(&self, program: ProgramKey) -> Option<KnownRow> {
        let account = self.accounts.get(&program)?;

        Some(KnownRow { row: account.row.clone(), stored: account.stored })
    }

    /// Returns whether the budget does not hold `most` more tokens, as far as this host knows.
    pub fn is_spent(&self, program: ProgramKey, most: u64) -> bool {
        self.row(program).is_some_and(|row| row.held() + most > row.budget)
    }

    /// Returns whether this host answers for grants to any program that the store does not have: its
    /// own, and those to runs that are not heard by `is_heard`. The others tell of theirs.
    pub fn is_responsible_for_unstored(&self, is_heard: impl Fn(RunId) -> bool) -> bool {
        let is_own = |a: &Account| a.row.granted.contains_key(&self.run);
        let any_silent = |a: &Account| !a.row.granted.keys().all(|run| is_heard(*run));

        self.accounts.values().any(|a| a.loose && (is_own(a) || any_silent(a)))
    }

    /// Returns a program's row and its version as the store holds it, if this host knows that.
    pub fn stored_row(&self, program: ProgramKey) -> Option<(BudgetRow, RowVersion)> {
        let account = self.accounts.get(&program)?;
        let is_whole = !account.loose && account.granted_loose() == 0;
        let is_stored = is_whole && account.version != RowVersion::ABSENT;

        is_stored.then(|| (account.row.clone(), account.version))
    }

    /// Returns the programs with grants that the store does not have, with their rows and the
    /// versions that they replace.
    ///
    /// Whoever spends a grant writes it; several hosts that write one row at the same time make each
    /// other's writes fail. The others do so if it has not: soon if one that runs the program is
    /// not heard by `is_heard`, and after a long time anyway.
    pub fn rows_to_write(
        &self,
        now: Instant,
        is_heard: impl Fn(RunId) -> bool,
    ) -> Vec<(ProgramKey, BudgetRow, RowVersion)> {
        let is_due = |a: &Account| {
            let age = now.since(a.loose_since);
            let all_heard = || a.row.granted.keys().all(|run| is_heard(*run));

            a.row.granted.contains_key(&self.run) || writes_for_others(age, all_heard)
        };
        let due = self.accounts.iter().filter(|(_, a)| a.stale || a.loose && is_due(a));

        due.map(|(program, a)| (*program, a.row.clone(), a.version)).collect()
    }

    /// Settles a turn: of the `most` tokens reserved, `used` were generated.
    pub fn settle(&mut self, program: ProgramKey, most: u64, used: u64) {
        let Some(account) = self.accounts.get_mut(&program) else { return };

        account.reserved = account.reserved.saturating_sub(most);
        account.spent += used;
    }

    /// Returns the programs that ran nothing for `idle`, with the versions of their rows, which are
    /// then needless: to be deleted, and then forgotten.
    ///
    /// What this host spent of a grant is remembered until the row is gone. If it came back to a
    /// row with its grant, it would spend that again. Programs of others are forgotten at once.
    pub fn take_idle(&mut self, now: Instant, idle: Duration) -> Vec<(ProgramKey, RowVersion)> {
        let run = self.run;
        let is_old =
            |a: &Account| a.reserved == 0 && !a.loose && !a.stale && now.since(a.used_at) > idle;
        let mut old = Vec::new();

        self.accounts.retain(|program, account| {
            if !is_old(account) {
                return true;
            }
            let is_own = account.row.granted.contains_key(&run) || !account.received.is_empty();
            if is_own || account.version != RowVersion::ABSENT {
                old.push((*program, account.version));
            }
            // If the row cannot be deleted, this is tried again after `idle`.
            account.used_at = now;
            is_own
        });
        old
    }

    /// Takes in that a row is deleted which was needless at `asked`.
    pub fn record_deletion(&mut self, now: Instant, program: ProgramKey, asked: Instant) {
        match self.accounts.get(&program) {
            Some(account) if account.used_at > asked => self.record_missing_row(now, program),
            _ => drop(self.accounts.remove(&program)),
        }
    }
}

/// Returns what is granted beyond a turn's need.
fn spare(budget: u64, total: u64, most: u64) -> u64 {
    (budget.saturating_sub(total) / SPARE_PART).min(most)
}
