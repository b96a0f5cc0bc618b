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
//! written. Figures of a row only grow, so rows that were written apart are merged by the
//! highest figure of each run.

use camphorwalk_core::hash::Map;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A program's name within the fleet: a hash of its tenant and its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProgramKey(pub u64);

/// The random number of a run of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// The part of the free budget that a grant may take beyond what a turn needs. More saves
/// writes; less strands fewer tokens at a host that dies or that the program leaves.
const SPARE_PART: u64 = 4;

/// What the store holds of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRow {
    /// The tokens that all turns together may generate.
    pub budget: u64,
    /// The tokens granted to each run of a host.
    pub granted: BTreeMap<RunId, u64>,
}

/// What comes of asking for a turn's tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// They are reserved.
    Reserved,
    /// The row is to be written with this content, if it still has this version; then ask again.
    Write(BudgetRow, RowVersion),
    /// The budget is spent. `certain` tells that no other host can have tokens left over.
    Spent {
        /// Whether all that was granted elsewhere is known to be spent.
        certain: bool,
    },
}

/// A program at this host.
#[derive(Clone, Debug)]
struct Account {
    row: BudgetRow,
    version: RowVersion,
    /// Whether the row has grants that the store does not have yet.
    loose: bool,
    spent: u64,
    reserved: u64,
    used_at: Instant,
}

impl Account {
    fn new(now: Instant, budget: u64) -> Self {
        Self {
            row: BudgetRow { budget, granted: BTreeMap::new() },
            version: RowVersion::ABSENT,
            loose: false,
            spent: 0,
            reserved: 0,
            used_at: now,
        }
    }

    /// Takes over the higher figure of each run.
    fn merge(&mut self, row: &BudgetRow) {
        if self.row.budget == 0 {
            self.row.budget = row.budget;
        }
        for (run, tokens) in &row.granted {
            let own = self.row.granted.entry(*run).or_default();
            *own = (*own).max(*tokens);
        }
    }

    fn granted(&self, run: RunId) -> u64 {
        self.row.granted.get(&run).copied().unwrap_or(0)
    }
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
    /// budgets.learn(Instant(0), program, row, RowVersion(5));
    /// assert_eq!(budgets.reserve(Instant(0), program, 1_000, 100), Reservation::Reserved);
    /// ```
    pub fn new(run: RunId) -> Self {
        Self { run, accounts: Map::default() }
    }

    /// Asks for the `most` tokens of a turn.
    pub fn reserve(
        &mut self,
        now: Instant,
        program: ProgramKey,
        budget: u64,
        most: u64,
    ) -> Reservation {
        let run = self.run;
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, budget));
        account.used_at = now;

        let own = account.granted(run);
        let others = account.row.granted.values().sum::<u64>() - own;
        let committed = account.spent + account.reserved;

        if own >= committed + most {
            account.reserved += most;
            return Reservation::Reserved;
        }
        if others + committed + most > account.row.budget {
            return Reservation::Spent { certain: others == 0 };
        }

        let needed = committed + most;
        let mut row = account.row.clone();
        let spare = spare(row.budget, others + needed, most);
        row.granted.insert(run, own.max(needed + spare));

        Reservation::Write(row, account.version)
    }

    /// Takes in what the store holds of a program: after a write, a conflict or a read.
    pub fn learn(
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
        account.version = version;
        account.merge(&row);
        account.loose &= account.row != row;
    }

    /// Grants a turn's tokens to the run `run` of a host, in the store's place, and returns the
    /// row as it then stands. `known` is what the asking host knows of it.
    ///
    /// Returns `None` if the budget does not hold the turn.
    pub fn grant_loose(
        &mut self,
        now: Instant,
        program: ProgramKey,
        run: RunId,
        most: u64,
        known: &BudgetRow,
    ) -> Option<BudgetRow> {
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, known.budget));
        account.used_at = now;
        account.merge(known);

        let total = account.row.granted.values().sum::<u64>();
        if total + most > account.row.budget {
            return None;
        }

        *account.row.granted.entry(run).or_default() += most;
        account.loose = true;
        Some(account.row.clone())
    }

    /// Takes in a row with loose grants, or what another host knows of one.
    pub fn learn_loose(&mut self, now: Instant, program: ProgramKey, row: &BudgetRow) {
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, row.budget));
        account.used_at = now;
        let before = account.row.clone();
        account.merge(row);
        account.loose |= account.row != before;
    }

    /// Takes in how a program's row stands at another host, which writes it itself.
    pub fn note(&mut self, now: Instant, program: ProgramKey, row: &BudgetRow) {
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(now, row.budget));
        account.used_at = now;
        account.merge(row);
    }

    /// Returns the row of a program as this host knows it.
    pub fn row(&self, program: ProgramKey) -> Option<&BudgetRow> {
        self.accounts.get(&program).map(|account| &account.row)
    }

    /// Returns the programs with grants that the store does not have, with their rows and the
    /// versions that they replace.
    pub fn loose(&self) -> Vec<(ProgramKey, BudgetRow, RowVersion)> {
        let loose = self.accounts.iter().filter(|(_, account)| account.loose);

        loose.map(|(program, a)| (*program, a.row.clone(), a.version)).collect()
    }

    /// Settles a turn: of the `most` tokens reserved, `used` were generated.
    pub fn settle(&mut self, program: ProgramKey, most: u64, used: u64) {
        let Some(account) = self.accounts.get_mut(&program) else { return };

        account.reserved = account.reserved.saturating_sub(most);
        account.spent += used;
    }

    /// Forgets programs that ran nothing for `idle`, and returns them with the versions of
    /// their rows, which are then needless.
    pub fn forget(&mut self, now: Instant, idle: Duration) -> Vec<(ProgramKey, RowVersion)> {
        let is_old = |a: &Account| a.reserved == 0 && !a.loose && now.since(a.used_at) > idle;
        let old = self.accounts.extract_if(|_, account| is_old(account));

        old.map(|(program, account)| (program, account.version))
            .filter(|(_, version)| *version != RowVersion::ABSENT)
            .collect()
    }
}

/// Returns what is granted beyond a turn's need.
fn spare(budget: u64, total: u64, most: u64) -> u64 {
    (budget.saturating_sub(total) / SPARE_PART).min(most)
}
