//! Grants whose rows are written after whoever asked for them has given up.

use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{
    BudgetRow, Budgets, KnownRow, ProgramKey, Proposal, Reservation, RunId,
};
use camphorwalk_policy::entry::shares::Limit;

const PROGRAM: ProgramKey = ProgramKey(7);
const NOW: Instant = Instant(0);

/// A budget that holds one turn of the most tokens, and not two.
const BUDGET: u64 = 500;
const MOST: u64 = 286;

const STEWARD: RunId = RunId(1);
const ASKER: RunId = RunId(2);

/// A host that wrote a grant to `ASKER`, which did not hear of it, and the row in the store.
fn steward_with_a_late_grant() -> (Budgets, BudgetRow) {
    let mut steward = Budgets::new(STEWARD);
    let asker = Budgets::new(ASKER);
    let Proposal::Write(row, _) = ask(&mut steward, &asker) else {
        panic!("nothing is granted yet")
    };
    steward.record_write(NOW, PROGRAM, row.clone(), RowVersion(1));

    (steward, row)
}

/// Asks for a turn's tokens as a host does in times of trouble.
fn ask(steward: &mut Budgets, asker: &Budgets) -> Proposal {
    let empty = BudgetRow { budget: BUDGET, ..BudgetRow::default() };
    let known = asker.known_row(PROGRAM).unwrap_or(KnownRow { row: empty, stored: 0 });

    steward.propose_within(NOW, PROGRAM, asker.claim(PROGRAM, MOST), &known.row, Limit::Whole)
}

/// Has the asking host take in what it is granted, and run turns until nothing is left. Returns how
/// many tokens these have.
fn spend(asker: &mut Budgets, proposal: Proposal) -> u64 {
    if let Proposal::Write(row, _) = proposal {
        asker.accept_stored_grant(NOW, PROGRAM, &row);
    }
    let mut spent = 0;
    while asker.reserve(NOW, PROGRAM, BUDGET, MOST) == Reservation::Reserved {
        asker.settle(PROGRAM, MOST, MOST);
        spent += MOST;
    }

    spent
}

#[test]
fn a_grant_that_came_late_is_had_by_asking_again() {
    // Guards against tokens that the row grants to a run that never heard of it, and 402 for its next try.
    let (mut steward, _) = steward_with_a_late_grant();
    let mut asker = Budgets::new(ASKER);

    let again = ask(&mut steward, &asker);

    assert_eq!(spend(&mut asker, again), MOST);
}

#[test]
fn a_grant_of_which_its_run_was_only_told_is_had_by_asking_again() {
    // Guards against a claim that counts what the run was granted and may not spend yet a second time.
    let (mut steward, row) = steward_with_a_late_grant();
    let mut asker = Budgets::new(ASKER);
    asker.merge_known_row(NOW, PROGRAM, &KnownRow { stored: MOST, row });

    let again = ask(&mut steward, &asker);

    assert_eq!(spend(&mut asker, again), MOST);
}

#[test]
fn a_grant_of_which_a_host_was_only_told_is_not_passed_on_as_one_that_the_store_has() {
    // Guards against a row with grants without the store that the next host spends as stored ones.
    let stored =
        BudgetRow { budget: BUDGET, granted: [(STEWARD, 1)].into(), ..BudgetRow::default() };
    let mut loose = stored.clone();
    loose.granted.insert(ASKER, MOST);
    let mut between = Budgets::new(RunId(3));
    between.merge_stored_row(NOW, PROGRAM, stored, RowVersion(1));
    between.merge_known_row(NOW, PROGRAM, &KnownRow { row: loose, stored: 1 });
    let mut asker = Budgets::new(ASKER);

    if let Some((row, version)) = between.stored_row(PROGRAM) {
        asker.merge_stored_row(NOW, PROGRAM, row, version);
    }

    assert_ne!(asker.reserve(NOW, PROGRAM, BUDGET, MOST), Reservation::Reserved);
}
