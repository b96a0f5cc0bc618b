//! Grants whose rows are written only after the requesting host has stopped waiting.

use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{
    BudgetRow, Budgets, KnownRow, ProgramKey, Proposal, ReserveOutcome, RunId,
};
use camphorwalk_policy::entry::shares::Limit;

const PROGRAM: ProgramKey = ProgramKey(7);
const NOW: Instant = Instant(0);

/// A budget that covers one turn of `MAX_TOKENS` tokens but not two.
const BUDGET: u64 = 500;
const MAX_TOKENS: u64 = 286;

const GRANTER: RunId = RunId(1);
const REQUESTER: RunId = RunId(2);

/// Returns a host that wrote a grant to `REQUESTER`, which did not learn of it, and the stored row.
fn granter_with_a_late_grant() -> (Budgets, BudgetRow) {
    let mut granter = Budgets::new(GRANTER);
    let requester = Budgets::new(REQUESTER);
    let Proposal::Write(row, _) = ask(&mut granter, &requester) else {
        panic!("a new budget covers the turn")
    };
    granter.record_write(NOW, PROGRAM, row.clone(), RowVersion(1));

    (granter, row)
}

/// Requests a turn's tokens the way a host does during an outage.
fn ask(granter: &mut Budgets, requester: &Budgets) -> Proposal {
    let empty = BudgetRow { budget: BUDGET, ..BudgetRow::default() };
    let known = requester.known_row(PROGRAM).unwrap_or(KnownRow { row: empty, stored: 0 });

    granter.propose_within(
        NOW,
        PROGRAM,
        requester.claim(PROGRAM, MAX_TOKENS),
        &known.row,
        Limit::Whole,
    )
}

/// Lets the requesting host merge its grant and run turns until its tokens are used up. Returns how
/// many tokens these turns used.
fn spend(requester: &mut Budgets, proposal: Proposal) -> u64 {
    if let Proposal::Write(row, _) = proposal {
        requester.accept_stored_grant(NOW, PROGRAM, &row);
    }
    let mut spent = 0;
    while requester.reserve(NOW, PROGRAM, BUDGET, MAX_TOKENS) == ReserveOutcome::Reserved {
        requester.settle(PROGRAM, MAX_TOKENS, MAX_TOKENS);
        spent += MAX_TOKENS;
    }

    spent
}

#[test]
fn a_late_grant_is_obtained_by_asking_again() {
    // Guards against stranded tokens: the row grants them to a run that never learned of it, and
    // the program's retry is answered with 402.
    let (mut granter, _) = granter_with_a_late_grant();
    let mut requester = Budgets::new(REQUESTER);

    let again = ask(&mut granter, &requester);

    assert_eq!(spend(&mut requester, again), MAX_TOKENS);
}

#[test]
fn a_grant_that_was_only_reported_is_obtained_by_asking_again() {
    // Guards against a claim that counts a grant twice, as granted and as missing, because the run
    // knows of the grant but may not spend it yet.
    let (mut granter, row) = granter_with_a_late_grant();
    let mut requester = Budgets::new(REQUESTER);
    requester.merge_known_row(NOW, PROGRAM, &KnownRow { stored: MAX_TOKENS, row });

    let again = ask(&mut granter, &requester);

    assert_eq!(spend(&mut requester, again), MAX_TOKENS);
}

#[test]
fn an_unstored_grant_is_not_passed_on_as_stored() {
    // Guards against an intermediate host that passes on a row with unstored grants as a stored
    // one, so that the next host spends them as if the store had granted them.
    let stored =
        BudgetRow { budget: BUDGET, granted: [(GRANTER, 1)].into(), ..BudgetRow::default() };
    let mut with_unstored = stored.clone();
    with_unstored.granted.insert(REQUESTER, MAX_TOKENS);
    let mut intermediate = Budgets::new(RunId(3));
    intermediate.merge_stored_row(NOW, PROGRAM, stored, RowVersion(1));
    intermediate.merge_known_row(NOW, PROGRAM, &KnownRow { row: with_unstored, stored: 1 });
    let mut requester = Budgets::new(REQUESTER);

    if let Some((row, version)) = intermediate.stored_row(PROGRAM) {
        requester.merge_stored_row(NOW, PROGRAM, row, version);
    }

    assert_ne!(requester.reserve(NOW, PROGRAM, BUDGET, MAX_TOKENS), ReserveOutcome::Reserved);
}
