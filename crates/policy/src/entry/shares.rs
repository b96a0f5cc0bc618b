//! Which share of a program's budget a host may grant, depending on what it knows of the other
//! hosts.
//!
//! A budget has two shares. One is granted by writes to the store, the other by hosts that the
//! store does not answer. Neither side exceeds its share, so the sides need no agreement on who may
//! grant: not during a network partition, nor at the start or end of an outage, nor after a
//! restart. The whole budget is available from the store only through a host that can tell that no
//! grants exist outside the store.

use std::time::Duration;

use camphorwalk_core::time::Instant;
use serde::{Deserialize, Serialize};

/// The share for hosts that cannot reach the store is the budget divided by this, plus one turn
/// (see [`share_without_store`]).
const WITHOUT_STORE_DIVISOR: u64 = 4;

/// How long a process runs at most until its grant history counts as complete, that is, until the
/// process is assumed to know of all grants that matter. By then, grants made without the store
/// before the process started have been written to the store, or their programs have mostly ended.
pub const HISTORY_COMPLETE_AFTER: Duration = Duration::from_secs(90);

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
    let share = budget - budget / WITHOUT_STORE_DIVISOR;

    if share < most { budget } else { share }
}

/// Returns how many tokens of a budget hosts without the store grant to turns of at most `most`
/// tokens. Both shares together exceed the budget by one turn, which is the most by which a program
/// may exceed its budget.
///
/// ```
/// use camphorwalk_policy::entry::shares::{share_without_store, store_share};
/// assert_eq!(share_without_store(2_000, 300), 800);
/// assert_eq!(store_share(2_000, 300) + share_without_store(2_000, 300), 2_300);
/// ```
pub fn share_without_store(budget: u64, most: u64) -> u64 {
    budget - store_share(budget, most) + most
}

/// How much of a budget the store may grant on request of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// The whole budget: no grants exist outside the store.
    Whole,
    /// Only the store's share, because hosts may grant the other share without the store.
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

/// Why a host cannot rule out grants that are not in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Doubt {
    /// Some host may hold grants that the store does not have, or no majority of the hosts is live.
    Unsettled,
    /// The hosts that know of all grants are no majority: the others started too recently or are
    /// silent. The share that may have been granted without the store counts as spent.
    Forgotten,
}

/// What a host knows of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// Whether, for a while, neither this host nor a status update of another one has indicated
    /// unstored grants.
    pub is_all_stored: bool,
    /// The number of hosts, this one included.
    pub known_hosts: usize,
    /// The number of live hosts: this one, and those of which a status update has arrived recently.
    pub live_hosts: usize,
    /// How many of the live hosts have a complete history of the grants made without the store.
    /// This host is counted here and in the next field only after [`FleetView::including_self`].
    pub complete_histories: usize,
    /// How many of the hosts with a complete history know of no grant made without the store to any
    /// program.
    pub without_unstored_grants: usize,
}

impl FleetView {
    /// Adds this host to the last two counts, depending on whether its grant history is complete
    /// and on whether it knows of grants made without the store.
    pub fn including_self(self, has_complete_history: bool, knows_of_unstored: bool) -> Self {
        Self {
            complete_histories: self.complete_histories + usize::from(has_complete_history),
            without_unstored_grants: self.without_unstored_grants
                + usize::from(has_complete_history && !knows_of_unstored),
            ..self
        }
    }

    /// Returns whether a majority of the hosts is live and has a complete grant history.
    fn majority_has_complete_history(&self) -> bool {
        self.complete_histories * 2 > self.known_hosts
    }

    /// Returns whether all hosts with a complete history report that nothing was granted without
    /// the store.
    ///
    /// A single host with a complete history is not enough, since it may have been partitioned from
    /// the others while these made grants.
    fn none_granted_without_store(&self) -> bool {
        const MIN_HOSTS: usize = 2;

        self.without_unstored_grants == self.complete_histories
            && self.complete_histories >= MIN_HOSTS
    }
}

/// Returns how much of a budget the store may grant on request of a host.
///
/// A host grants without the store only while a majority of the hosts is live, and in a small fleet
/// most hosts know of the grant. If a majority has a complete history and none of these hosts has
/// reported an unstored grant for a while, all existing grants are in the store.
///
/// ```
/// use camphorwalk_policy::entry::shares::{Doubt, Limit, FleetView, limit};
/// let healthy = FleetView {
///     is_all_stored: true,
///     known_hosts: 5,
///     live_hosts: 4,
///     complete_histories: 3,
///     without_unstored_grants: 3,
/// };
/// assert_eq!(limit(healthy), Limit::Whole);
/// assert_eq!(limit(FleetView { live_hosts: 2, ..healthy }), Limit::Share(Doubt::Unsettled));
/// assert_eq!(
///     limit(FleetView { complete_histories: 2, ..healthy }),
///     Limit::Share(Doubt::Forgotten)
/// );
/// ```
pub fn limit(fleet: FleetView) -> Limit {
    let is_settled = fleet.is_all_stored && fleet.live_hosts * 2 > fleet.known_hosts;

    match (is_settled, fleet.majority_has_complete_history()) {
        (true, true) => Limit::Whole,
        (true, false) => Limit::Share(Doubt::Forgotten),
        (false, _) => Limit::Share(Doubt::Unsettled),
    }
}

/// Tracks whether a process has a complete history, that is, knows of all grants made without the
/// store.
#[derive(Clone, Copy, Debug)]
pub struct GrantHistory {
    began: Instant,
    is_complete: bool,
}

impl GrantHistory {
    /// Creates the state of a process that starts now. If the whole deployment starts for the first
    /// time, there are no earlier grants to know of.
    pub fn new(now: Instant, is_first_start: bool) -> Self {
        Self { began: now, is_complete: is_first_start }
    }

    /// Returns whether the history is complete. `fleet` is the view before
    /// [`FleetView::including_self`].
    ///
    /// The history counts as complete once no unstored grants are reported and either a majority
    /// has a complete history, because the store then holds all that this majority knew of, or all
    /// hosts with a complete history know of no such grant, because then there is none. It also
    /// counts as complete once the process has run for long enough.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::shares::{FleetView, GrantHistory};
    /// let mut history = GrantHistory::new(Instant(0), false);
    /// let fleet = FleetView {
    ///     is_all_stored: false,
    ///     known_hosts: 5,
    ///     live_hosts: 4,
    ///     complete_histories: 4,
    ///     without_unstored_grants: 1,
    /// };
    /// assert!(!history.is_complete(Instant(0), fleet));
    /// assert!(history.is_complete(Instant(0), FleetView { is_all_stored: true, ..fleet }));
    /// ```
    pub fn is_complete(&mut self, now: Instant, fleet: FleetView) -> bool {
        let is_informed = fleet.is_all_stored
            && (fleet.majority_has_complete_history() || fleet.none_granted_without_store());
        self.is_complete |= is_informed || now.since(self.began) > HISTORY_COMPLETE_AFTER;

        self.is_complete
    }
}
