//! Merging rows gives the same result in any order, and merging a row again changes nothing.

use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{BudgetRow, Budgets, ProgramKey, RunId};
use proptest::prelude::*;

const PROGRAM: ProgramKey = ProgramKey(7);
const NOW: Instant = Instant(0);
const BUDGET: u64 = 1_000;

fn rows() -> impl Strategy<Value = BudgetRow> {
    let tokens = || prop::collection::btree_map((1..5_u64).prop_map(RunId), 0..600_u64, 0..4);

    (tokens(), tokens()).prop_map(|(granted, returned)| BudgetRow {
        budget: BUDGET,
        granted,
        returned,
    })
}

/// Merges rows, each in one of the ways in which a host receives them.
fn merged(rows: &[(&BudgetRow, u8)]) -> BudgetRow {
    let mut budgets = Budgets::new(RunId(9));

    for (number, (row, way)) in rows.iter().enumerate() {
        match way % 3 {
            0 => budgets.merge_row(NOW, PROGRAM, row),
            1 => budgets.accept_unstored_grant(NOW, PROGRAM, row),
            _ => {
                let version = RowVersion(number as u64 + 1);
                budgets.merge_stored_row(NOW, PROGRAM, (*row).clone(), version);
            }
        }
    }
    budgets.row(PROGRAM).cloned().expect("rows were taken in")
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn rows_merge_in_any_order_and_again(
        a in rows(),
        b in rows(),
        c in rows(),
        ways in prop::array::uniform4(any::<u8>()),
    ) {
        let [w, x, y, z] = ways;

        let once = merged(&[(&a, w), (&b, x), (&c, y)]);

        prop_assert_eq!(&once, &merged(&[(&c, z), (&a, y), (&b, w)]));
        prop_assert_eq!(&once, &merged(&[(&b, x), (&c, z), (&a, y), (&b, w)]));
        prop_assert_eq!(&once, &merged(&[(&once, w), (&a, x)]));
    }
}
