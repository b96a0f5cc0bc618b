//! The two shares of a program's budget. Who may grant which is tested in `grant_leases`.

use camphorwalk_policy::entry::shares::{Doubt, Limit, share_without_store, store_share};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn both_shares_exceed_the_budget_by_one_turn_at_most(budget in 0..10_000_u64, most in 0..2_000_u64) {
        let both = store_share(budget, most) + share_without_store(budget, most);

        prop_assert!(store_share(budget, most) <= budget);
        prop_assert!(both <= budget + most);
        // Nothing is withheld without need.
        prop_assert!(both == budget + most || most > budget / 2 && most <= budget);
    }

    #[test]
    fn turns_of_different_maxima_exceed_the_budget_by_the_largest_at_most(
        budget in 0..10_000_u64, most in 0..12_000_u64, other in 0..12_000_u64
    ) {
        let both = store_share(budget, most) + share_without_store(budget, other);

        prop_assert!(both <= budget + most.max(other), "{} of {}", both, budget);
    }
}

/// Guards against a small budget neither of whose shares covers the first turn.
#[test]
fn a_budget_that_holds_one_turn_is_not_split() {
    assert_eq!(store_share(350, 300), 350);
}

/// Guards against a limit that grants tokens of the other share.
#[test]
fn a_limit_is_the_share_of_the_store_or_the_whole_budget() {
    assert_eq!(Limit::Share(Doubt::Unsettled).tokens(1_000, 100), store_share(1_000, 100));
    assert_eq!(Limit::Share(Doubt::Forgotten).tokens(1_000, 100), store_share(1_000, 100));
    assert_eq!(Limit::Whole.tokens(1_000, 100), 1_000);
}
