//! Programs' budgets of tokens over all hosts, by grants that are written to the store.
//!
//! A row for each program holds its budget and how many tokens each run of a host was granted.
//! A host spends from its own grant without asking; before it spends more it raises its grant
//! by a transaction on the row's version. So the tokens of all hosts together never exceed the
//! budget by more than one turn, over restarts, cuts and lost answers: what a host that died was
//! granted counts as spent.

use camphorwalk_core::hash::Map;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A program's name within the fleet: a hash of its tenant and its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
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
    spent: u64,
    reserved: u64,
    used_at: Instant,
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
    ///
    /// The last turn may go over the budget, as long as there was any of it left: the caller
    /// asked for its most, and mostly uses less.
    pub fn reserve(
        &mut self,
        now: Instant,
        program: ProgramKey,
        budget: u64,
        most: u64,
    ) -> Reservation {
        let run = self.run;
        let account = self.accounts.entry(program).or_insert_with(|| Account {
            row: BudgetRow { budget, granted: BTreeMap::new() },
            version: RowVersion::ABSENT,
            spent: 0,
            reserved: 0,
            used_at: now,
        });
        account.used_at = now;

        let own = account.row.granted.get(&run).copied().unwrap_or(0);
        let others = account.row.granted.values().sum::<u64>() - own;
        let committed = account.spent + account.reserved;

        if own >= committed + most && account.version != RowVersion::ABSENT {
            account.reserved += most;
            return Reservation::Reserved;
        }
        if others + committed >= account.row.budget {
            return Reservation::Spent { certain: others == 0 };
        }

        let needed = committed + most;
        let free = account.row.budget.saturating_sub(others + needed);
        let mut row = account.row.clone();
        row.granted.insert(run, own.max(needed + (free / SPARE_PART).min(most)));

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
        let account = self.accounts.entry(program).or_insert_with(|| Account {
            row: BudgetRow::default(),
            version,
            spent: 0,
            reserved: 0,
            used_at: now,
        });

        if version >= account.version {
            account.row = row;
            account.version = version;
        }
    }

    /// Settles a turn: of the `most` tokens reserved, `used` were generated.
    pub fn settle(&mut self, program: ProgramKey, most: u64, used: u64) {
        let Some(account) = self.accounts.get_mut(&program) else { return };

        account.reserved = account.reserved.saturating_sub(most);
        account.spent += used;
    }

    /// Returns what this host should write to give back what it will not use of a program, if
    /// anything: asked by a host that found the budget spent.
    pub fn release(&mut self, program: ProgramKey) -> Option<(BudgetRow, RowVersion)> {
        let account = self.accounts.get(&program)?;
        let own = account.row.granted.get(&self.run).copied()?;
        let committed = account.spent + account.reserved;

        if own <= committed {
            return None;
        }

        let mut row = account.row.clone();
        row.granted.insert(self.run, committed);
        Some((row, account.version))
    }

    /// Returns whether this host knows a program's row.
    pub fn knows(&self, program: ProgramKey) -> bool {
        self.accounts.get(&program).is_some_and(|a| a.version != RowVersion::ABSENT)
    }

    /// Returns the other runs that were granted tokens of a program.
    pub fn holders(&self, program: ProgramKey) -> Vec<RunId> {
        let account = self.accounts.get(&program);
        let runs = account.into_iter().flat_map(|a| a.row.granted.keys().copied());

        runs.filter(|run| *run != self.run).collect()
    }

    /// Forgets programs that ran nothing for `idle`, and returns them with the versions of
    /// their rows, which are then needless.
    pub fn forget(&mut self, now: Instant, idle: Duration) -> Vec<(ProgramKey, RowVersion)> {
        let is_old = |a: &Account| a.reserved == 0 && now.since(a.used_at) > idle;
        let old = self.accounts.extract_if(|_, account| is_old(account));

        old.map(|(program, account)| (program, account.version)).collect()
    }
}
