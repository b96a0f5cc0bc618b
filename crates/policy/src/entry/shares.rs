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
pub const HISTORY_COMPLETE_AFTER: Duration = Duration::from_secs(90);

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
pub struct FleetView {
    /// Whether no host has granted tokens without the store for a while, as far as they tell.
    pub is_all_stored: bool,
    /// How many hosts there are.
    pub known_hosts: usize,
    /// How many of them are heard.
    pub live_hosts: usize,
    /// How many of those that are heard know of all grants that were made without the store.
    pub complete_histories: usize,
    /// How many of these know of no such grant to any program.
    pub without_unstored_grants: usize,
}

impl FleetView {
    /// Adds the host itself, by whether it remembers and whether it knows of grants without the store.
    pub fn including_self(self, remembers: bool, knows_of_loose: bool) -> Self {
        Self {
            complete_histories: self.complete_histories + usize::from(remembers),
            without_unstored_grants: self.without_unstored_grants
                + usize::from(remembers && !knows_of_loose),
            ..self
        }
    }

    /// Returns whether a majority of the hosts is heard and remembers.
    fn majority_remembers(&self) -> bool {
        self.complete_histories * 2 > self.known_hosts
    }

    /// Returns whether all that remember agree that nothing was granted without the store.
    ///
    /// One host alone may have been cut off while others granted.
    fn agree_on_none(&self) -> bool {
        const LEAST: usize = 2;

        self.without_unstored_grants == self.complete_histories && self.complete_histories >= LEAST
    }
}

/// Returns how much of budgets a host may have granted by the store.
///
/// A grant without the store needs a majority and is known to most hosts of a small fleet. If a majority
/// remembers and none of it has granted any for a while, the store has all grants that there are.
///
/// ```
/// use camphorwalk_policy::entry::shares::{Doubt, FleetView, Limit, limit};
/// let calm = FleetView {
///     is_all_stored: true,
///     known_hosts: 5,
///     live_hosts: 4,
///     complete_histories: 3,
///     without_unstored_grants: 3,
/// };
/// assert_eq!(limit(calm), Limit::Whole);
/// assert_eq!(limit(FleetView { live_hosts: 2, ..calm }), Limit::Share(Doubt::Unsettled));
/// assert_eq!(limit(FleetView { complete_histories: 2, ..calm }), Limit::Share(Doubt::Forgotten));
/// ```
pub fn limit(around: FleetView) -> Limit {
    let is_settled = around.is_all_stored && around.live_hosts * 2 > around.known_hosts;

    match (is_settled, around.majority_remembers()) {
        (true, true) => Limit::Whole,
        (true, false) => Limit::Share(Doubt::Forgotten),
        (false, _) => Limit::Share(Doubt::Unsettled),
    }
}

/// Whether a process knows of all grants that were made without the store.
#[derive(Clone, Copy, Debug)]
pub struct GrantHistory {
    began: Instant,
    is_complete: bool,
}

impl GrantHistory {
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
    /// use camphorwalk_policy::entry::shares::{FleetView, GrantHistory};
    /// let mut memory = GrantHistory::new(Instant(0), false);
    /// let around = FleetView {
    ///     is_all_stored: false,
    ///     known_hosts: 5,
    ///     live_hosts: 4,
    ///     complete_histories: 4,
    ///     without_unstored_grants: 1,
    /// };
    /// assert!(!memory.is_complete(Instant(0), around));
    /// assert!(memory.is_complete(Instant(0), FleetView { is_all_stored: true, ..around }));
    /// ```
    pub fn is_complete(&mut self, now: Instant, around: FleetView) -> bool {
        let is_told =
            around.is_all_stored && (around.majority_remembers() || around.agree_on_none());
        self.is_complete |= is_told || now.since(self.began) > HISTORY_COMPLETE_AFTER;

        self.is_complete
    }
}
