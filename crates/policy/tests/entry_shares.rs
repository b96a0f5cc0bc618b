//! Which share of a program's budget a host may grant.

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::shares::{
    Doubt, FleetView, GrantHistory, HISTORY_COMPLETE_AFTER, Limit, limit, share_without_store,
    store_share,
};
use proptest::prelude::*;

const NOW: Instant = Instant(0);

/// A healthy fleet of five hosts, all of which are live.
fn healthy() -> FleetView {
    FleetView {
        is_all_stored: true,
        known_hosts: 5,
        live_hosts: 5,
        complete_histories: 5,
        without_unstored_grants: 5,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn both_shares_exceed_the_budget_by_one_turn_at_most(budget in 0..10_000_u64, most in 0..2_000_u64) {
        prop_assert!(store_share(budget, most) <= budget);
        prop_assert_eq!(store_share(budget, most) + share_without_store(budget, most), budget + most);
    }
}

/// Guards against a small budget neither of whose shares covers the first turn.
#[test]
fn a_budget_that_holds_one_turn_is_not_split() {
    assert_eq!(store_share(350, 300), 350);
}

/// Guards against granting tokens on one side of a network partition that the other side grants
/// without the store.
#[test]
fn a_host_that_hears_no_majority_grants_only_a_share() {
    let partitioned =
        FleetView { live_hosts: 2, complete_histories: 2, without_unstored_grants: 2, ..healthy() };

    assert_eq!(limit(partitioned), Limit::Share(Doubt::Unsettled));
}

/// Guards against granting tokens again after all hosts were killed and their knowledge of earlier
/// grants was lost.
#[test]
fn hosts_that_have_all_just_started_grant_only_a_share() {
    let started = FleetView { complete_histories: 0, without_unstored_grants: 0, ..healthy() };
    let mut history = GrantHistory::new(NOW, false);

    assert_eq!(limit(started), Limit::Share(Doubt::Forgotten));
    assert!(!history.is_complete(NOW, started));
    assert!(history.is_complete(NOW + HISTORY_COMPLETE_AFTER * 2, started));
}

/// Guards against budgets that are restricted for minutes after most hosts were killed while
/// nothing was wrong with the store.
#[test]
fn a_few_hosts_that_know_of_no_grant_complete_the_history_of_new_ones() {
    let few = FleetView { complete_histories: 2, without_unstored_grants: 2, ..healthy() };

    assert!(GrantHistory::new(NOW, false).is_complete(NOW, few));
}

/// Guards against granting tokens again after most hosts that knew of the grants were killed during
/// an outage.
#[test]
fn a_few_hosts_do_not_complete_the_history_if_one_knows_of_grants() {
    let few = FleetView { complete_histories: 2, without_unstored_grants: 1, ..healthy() };

    assert!(!GrantHistory::new(NOW, false).is_complete(NOW, few));
}
