//! Which share of a program's budget a host may grant, by what it knows of the other hosts.
//!
//! A budget has two shares: one is granted by writes to the store, the other by hosts that it does not
//! answer. Neither side exceeds its own, so that they need not agree on who may grant: not across a
//! cut, nor when an outage begins or ends, nor after a start. Only a host that can tell that nothing
//! is granted without the store has the whole budget granted by it.

use std::time::Duration;

use camphorwalk_core::time::Instant;
use serde::{Deserialize, Serialize};

/// The part of a budget that is kept for hosts without the store.
const KEPT_PART: u64 = 4;

/// How long a process runs before it is taken to know of all grants that matter. Those that were made
/// without the store before it began are written by then, or their programs have mostly ended.
pub const KNOWS_ALL_AFTER: Duration = Duration::from_secs(90);

/// Returns how many tokens of a budget the store grants to turns of `most` tokens while it cannot be
/// told what is granted without it.
///
/// ```
/// use camphorwalk_policy::entry::shares::store_share;
/// assert_eq!(store_share(2_000, 300), 1_500);
/// // A budget that holds one turn is not parted.
/// assert_eq!(store_share(350, 300), 350);
/// ```
pub fn store_share(budget: u64, most: u64) -> u64 {
    let share = budget - budget / KEPT_PART;

    if share < most { budget } else { share }
}

/// Returns how many tokens of a budget hosts without the store grant to turns of `most` tokens. Both
/// shares together exceed the budget by one turn, which is what a program may exceed it by.
///
/// ```
/// use camphorwalk_policy::entry::shares::{share_without_store, store_share};
/// assert_eq!(share_without_store(2_000, 300), 800);
/// assert_eq!(store_share(2_000, 300) + share_without_store(2_000, 300), 2_300);
/// ```
pub fn share_without_store(budget: u64, most: u64) -> u64 {
    budget - store_share(budget, most) + most
}

/// How much of budgets a host may have granted by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// All: nothing is granted without it.
    Whole,
    /// Its share, as the other one may be granted without it.
    Share(Doubt),
}

impl Limit {
    /// Returns how many tokens of a budget that is.
    pub fn tokens(self, budget: u64, most: u64) -> u64 {
        match self {
            Self::Whole => budget,
            Self::Share(_) => store_share(budget, most),
        }
    }
}

/// Why it cannot be told what is granted without the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Doubt {
    /// Some host may hold grants that the store does not have, or most hosts are not heard.
    Unsettled,
    /// Most hosts began too late to know. What was granted before counts as spent.
    Forgotten,
}

/// What a host knows of the fleet, itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Surroundings {
    /// Whether no host has granted tokens without the store for a while, as far as they tell.
    pub is_all_stored: bool,
    /// How many hosts there are.
    pub known: usize,
    /// How many of them are heard.
    pub heard: usize,
    /// How many of those that are heard know of all grants that were made without the store.
    pub remembering: usize,
    /// How many of these know of no such grant to any program.
    pub free_of_loose: usize,
}

impl Surroundings {
    /// Adds the host itself, by whether it remembers and whether it knows of grants without the store.
    pub fn with_itself(self, remembers: bool, knows_of_loose: bool) -> Self {
        Self {
            remembering: self.remembering + usize::from(remembers),
            free_of_loose: self.free_of_loose + usize::from(remembers && !knows_of_loose),
            ..self
        }
    }

    /// Returns whether a majority of the hosts is heard and remembers.
    fn majority_remembers(&self) -> bool {
        self.remembering * 2 > self.known
    }

    /// Returns whether all that remember agree that nothing was granted without the store.
    ///
    /// One host alone may have been cut off while others granted.
    fn agree_on_none(&self) -> bool {
        const LEAST: usize = 2;

        self.free_of_loose == self.remembering && self.remembering >= LEAST
    }
}

/// Returns how much of budgets a host may have granted by the store.
///
/// A grant without the store needs a majority and is known to most hosts of a small fleet. If a majority
/// remembers and none of it has granted any for a while, the store has all grants that there are.
///
/// ```
/// use camphorwalk_policy::entry::shares::{Doubt, Limit, Surroundings, limit};
/// let calm =
///     Surroundings { is_all_stored: true, known: 5, heard: 4, remembering: 3, free_of_loose: 3 };
/// assert_eq!(limit(calm), Limit::Whole);
/// assert_eq!(limit(Surroundings { heard: 2, ..calm }), Limit::Share(Doubt::Unsettled));
/// assert_eq!(limit(Surroundings { remembering: 2, ..calm }), Limit::Share(Doubt::Forgotten));
/// ```
pub fn limit(around: Surroundings) -> Limit {
    let is_settled = around.is_all_stored && around.heard * 2 > around.known;

    match (is_settled, around.majority_remembers()) {
        (true, true) => Limit::Whole,
        (true, false) => Limit::Share(Doubt::Forgotten),
        (false, _) => Limit::Share(Doubt::Unsettled),
    }
}

/// Whether a process knows of all grants that were made without the store.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    began: Instant,
    is_complete: bool,
}

impl Memory {
    /// Begins with a process: with nothing to know if its whole deployment starts for the first time.
    pub fn new(now: Instant, is_first_start: bool) -> Self {
        Self { began: now, is_complete: is_first_start }
    }

    /// Returns whether the process knows of all. `around` is without itself: what a majority knows
    /// is in the store by the time at which it is told so, and where nobody knows of any grant there
    /// is none.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::shares::{Memory, Surroundings};
    /// let mut memory = Memory::new(Instant(0), false);
    /// let around =
    ///     Surroundings { is_all_stored: false, known: 5, heard: 4, remembering: 4, free_of_loose: 1 };
    /// assert!(!memory.is_complete(Instant(0), around));
    /// assert!(memory.is_complete(Instant(0), Surroundings { is_all_stored: true, ..around }));
    /// ```
    pub fn is_complete(&mut self, now: Instant, around: Surroundings) -> bool {
        let is_told =
            around.is_all_stored && (around.majority_remembers() || around.agree_on_none());
        self.is_complete |= is_told || now.since(self.began) > KNOWS_ALL_AFTER;

        self.is_complete
    }
}
