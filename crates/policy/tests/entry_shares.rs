//! Which share of a program's budget a host may grant.

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::shares::{
    Doubt, FleetView, GrantHistory, HISTORY_COMPLETE_AFTER, Limit, limit, share_without_store,
    store_share,
};
use proptest::prelude::*;

const NOW: Instant = Instant(0);

/// A fleet of five hosts without trouble, all of which are heard.
fn calm() -> FleetView {
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

/// Guards against a first turn that fits neither share of a small budget.
#[test]
fn a_budget_that_holds_one_turn_is_not_parted() {
    assert_eq!(store_share(350, 300), 350);
}

/// Guards against a side of a cut that grants what the other one grants without the store.
#[test]
fn a_host_that_hears_too_few_grants_a_share() {
    let cut_off =
        FleetView { live_hosts: 2, complete_histories: 2, without_unstored_grants: 2, ..calm() };

    assert_eq!(limit(cut_off), Limit::Share(Doubt::Unsettled));
}

/// Guards against grants that are made anew after all hosts were lost with what they knew.
#[test]
fn hosts_that_all_have_just_started_grant_a_share() {
    let started = FleetView { complete_histories: 0, without_unstored_grants: 0, ..calm() };
    let mut memory = GrantHistory::new(NOW, false);

    assert_eq!(limit(started), Limit::Share(Doubt::Forgotten));
    assert!(!memory.is_complete(NOW, started));
    assert!(memory.is_complete(NOW + HISTORY_COMPLETE_AFTER * 2, started));
}

/// Guards against budgets that are cut short for minutes after most hosts were killed in calm.
#[test]
fn a_few_that_know_of_no_grant_vouch_for_those_that_started() {
    let few = FleetView { complete_histories: 2, without_unstored_grants: 2, ..calm() };

    assert!(GrantHistory::new(NOW, false).is_complete(NOW, few));
}

/// Guards against grants that are lost with most hosts in an outage and made anew.
#[test]
fn a_few_of_which_one_knows_of_grants_do_not_vouch() {
    let few = FleetView { complete_histories: 2, without_unstored_grants: 1, ..calm() };

    assert!(!GrantHistory::new(NOW, false).is_complete(NOW, few));
}
