//! The two shares of a program's budget.
//!
//! One share is granted by writes to the store. The other is granted without the store, by the
//! holder of a lease (see `grant_leases`). Neither side exceeds its share, so the sides need no
//! agreement on who may grant: not during a network partition, nor at the start or end of an outage,
//! nor after a restart. The whole budget is available from the store only with the consent of the
//! lease's holder, which from then on grants no more of it without the store.

use serde::{Deserialize, Serialize};

/// The share for hosts that cannot reach the store is the budget divided by this, plus one turn
/// (see [`share_without_store`]).
const WITHOUT_STORE_DIVISOR: u64 = 4;

/// Returns how many tokens of a budget the store grants to turns of at most `most` tokens while it
/// is uncertain what has been granted without it.
///
/// ```
/// use camphorwalk_policy::entry::shares::store_share;
/// assert_eq!(store_share(2_000, 300), 1_500);
/// // A budget that covers only one turn is not split.
/// assert_eq!(store_share(350, 300), 350);
/// ```
pub fn store_share(budget: u64, most: u64) -> u64 {
    let share = smallest_store_share(budget);

    if share < most { budget } else { share }
}

/// Returns how many tokens of a budget the store grants whatever the size of the turns.
pub fn smallest_store_share(budget: u64) -> u64 {
    budget - budget / WITHOUT_STORE_DIVISOR
}

/// Returns how many tokens of a budget are granted without the store to turns of at most `most`
/// tokens. Both shares together exceed the budget by one turn at most, which is the most by which a
/// program may exceed its budget.
///
/// The turns of a program may have different maxima. A turn of more than the smallest share of the
/// store makes the whole budget available from the store, so the share of other turns must not
/// exceed that turn.
///
/// ```
/// use camphorwalk_policy::entry::shares::{share_without_store, store_share};
/// assert_eq!(share_without_store(2_000, 300), 800);
/// assert_eq!(store_share(2_000, 300) + share_without_store(2_000, 300), 2_300);
/// ```
pub fn share_without_store(budget: u64, most: u64) -> u64 {
    let smallest = smallest_store_share(budget);

    (budget - smallest + most).min(smallest).max(most)
}

/// How much of a budget the store may grant on request of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// The whole budget: the holder of the lease has consented.
    Whole,
    /// Only the store's share, because the other share may be granted without the store.
    Share(Doubt),
}

impl Limit {
    /// Returns this limit in tokens, for a budget and turns of at most `most` tokens.
    pub fn tokens(self, budget: u64, most: u64) -> u64 {
        match self {
            Self::Whole => budget,
            Self::Share(_) => store_share(budget, most),
        }
    }
}

/// Why the store grants no more than its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Doubt {
    /// The holder of the lease has not consented, or cannot be reached.
    Unsettled,
    /// An earlier holder of the lease may have granted the other share without a trace. That share
    /// counts as spent.
    Forgotten,
}
