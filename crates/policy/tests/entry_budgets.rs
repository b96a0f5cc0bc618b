//! Budgets of programs whose turns run at several hosts, against one row.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{BudgetRow, Budgets, ProgramKey, Reservation, RunId};
use proptest::prelude::*;

const PROGRAM: ProgramKey = ProgramKey(7);
const NOW: Instant = Instant(0);

/// The row as the store holds it.
#[derive(Default)]
struct Store {
    row: Option<(BudgetRow, RowVersion)>,
    version: u64,
}

impl Store {
    fn write(&mut self, row: BudgetRow, expected: RowVersion) -> bool {
        let version = self.row.as_ref().map_or(RowVersion::ABSENT, |(_, version)| *version);
        if version != expected {
            return false;
        }

        self.version += 1;
        self.row = Some((row, RowVersion(self.version)));
        true
    }
}

/// Reserves as a host does: writes, and learns from a conflict.
fn reserve(host: &mut Budgets, store: &mut Store, budget: u64, most: u64) -> bool {
    for _ in 0..6 {
        match host.reserve(NOW, PROGRAM, budget, most) {
            Reservation::Reserved => return true,
            Reservation::Spent { .. } | Reservation::Withheld(_) => return false,
            Reservation::Write(row, version) => {
                store.write(row, version);
                let (row, version) = store.row.clone().expect("a write or a conflict leaves it");
                host.merge_stored_row(NOW, PROGRAM, row, version);
            }
        }
    }

    panic!("nobody else writes");
}

#[test]
fn one_host_spends_a_budget_with_few_writes() {
    let mut store = Store::default();
    let mut host = Budgets::new(RunId(1));

    let mut turns = 0;
    while reserve(&mut host, &mut store, 2_288, 286) {
        host.settle(PROGRAM, 286, 77);
        turns += 1;
    }

    // 2,288 tokens hold 26 turns of 77 and one more of 286.
    assert_eq!(turns, 27);
    assert!(store.version <= 16, "{} writes", store.version);
}

#[test]
fn what_a_dead_host_was_granted_counts_as_spent() {
    // A host is killed while it streams. Nobody knows how much of its grant reached the caller,
    // so a host that takes over must not hand it out again.
    let mut store = Store::default();
    let mut dead = Budgets::new(RunId(1));
    let mut next = Budgets::new(RunId(2));
    assert!(reserve(&mut dead, &mut store, 572, 286));
    let granted: u64 = store.row.as_ref().unwrap().0.granted.values().sum();

    let mut handed = 0;
    while reserve(&mut next, &mut store, 572, 286) {
        next.settle(PROGRAM, 286, 286);
        handed += 286;
    }

    assert!(granted + handed <= 572, "{granted} and {handed}");
}

#[test]
fn a_spent_budget_stays_spent_at_a_host_that_never_saw_the_program() {
    // A program that was told that its budget is spent comes back at another host.
    let mut store = Store::default();
    let mut first = Budgets::new(RunId(1));
    while reserve(&mut first, &mut store, 858, 286) {
        first.settle(PROGRAM, 286, 286);
    }

    let mut other = Budgets::new(RunId(2));

    assert!(!reserve(&mut other, &mut store, 858, 286));
}

#[test]
fn grants_without_the_store_are_kept_when_it_is_back() {
    // The store is away. A host grants in its place, and the program's turns run at two others.
    // When the store is back, a host that knows nothing of it must find all that was granted.
    let mut store = Store::default();
    let mut steward = Budgets::new(RunId(1));
    let mut entry = Budgets::new(RunId(2));
    let known = BudgetRow { budget: 572, ..BudgetRow::default() };
    let row = steward
        .grant_turn_without_store(NOW, PROGRAM, RunId(2), 286, &known)
        .expect("there is enough");
    entry.accept_unstored_grant(NOW, PROGRAM, &row);
    assert_eq!(entry.reserve(NOW, PROGRAM, 572, 286), Reservation::Reserved);

    for (_, row, version) in entry.rows_to_write(NOW, |_| false) {
        assert!(store.write(row, version));
    }

    let mut stranger = Budgets::new(RunId(3));
    assert!(reserve(&mut stranger, &mut store, 572, 286));
    assert!(!reserve(&mut stranger, &mut store, 572, 286));
}

#[test]
fn a_grant_that_another_host_spends_is_written_only_if_that_host_does_not() {
    // A slow store was asked for the same rows by six hosts at a time, and took few others. The
    // host that spends a grant writes it; the one that knows of it does so if it is left alone.
    let mut witness = Budgets::new(RunId(1));
    let row = BudgetRow {
        budget: 572,
        granted: BTreeMap::from([(RunId(2), 286)]),
        ..BudgetRow::default()
    };

    witness.accept_unstored_grant(NOW, PROGRAM, &row);
    let at_once = witness.rows_to_write(NOW, |_| false);
    let later = witness.rows_to_write(Instant::from_millis(700), |_| false);
    witness.merge_stored_row(Instant::from_millis(701), PROGRAM, row, RowVersion(1));

    assert!(at_once.is_empty());
    assert_eq!(later.len(), 1);
    assert!(!witness.has_unstored_grants(PROGRAM));
}

#[test]
fn what_was_granted_twice_is_spent_once() {
    // A host's write is under way when the store turns slow, and another host is granted the same
    // tokens in the store's place. Both learn of it.
    let row = BudgetRow {
        budget: 572,
        granted: BTreeMap::from([(RunId(1), 429), (RunId(2), 429)]),
        ..BudgetRow::default()
    };
    let mut handed = 0;

    for run in [1, 2] {
        let mut host = Budgets::new(RunId(run));
        host.merge_stored_row(NOW, PROGRAM, row.clone(), RowVersion(1));
        while host.reserve(NOW, PROGRAM, 572, 100) == Reservation::Reserved {
            host.settle(PROGRAM, 100, 100);
            handed += 100;
        }
    }

    assert!(handed <= 572, "{handed}");
}

#[test]
fn loose_grants_survive_that_the_store_got_others_meanwhile() {
    // The store turned some hosts away and served others, which wrote the same program's row.
    let mut store = Store::default();
    let mut apart = Budgets::new(RunId(1));
    let mut served = Budgets::new(RunId(2));
    let known = BudgetRow { budget: 1_000, ..BudgetRow::default() };
    apart.grant_turn_without_store(NOW, PROGRAM, RunId(1), 300, &known).expect("there is enough");
    assert!(reserve(&mut served, &mut store, 1_000, 300));

    while let Some((_, row, version)) = apart.rows_to_write(NOW, |_| false).pop() {
        store.write(row, version);
        let (row, version) = store.row.clone().unwrap();
        apart.merge_stored_row(NOW, PROGRAM, row, version);
    }

    let granted = &store.row.as_ref().unwrap().0.granted;
    assert_eq!(granted.get(&RunId(1)), Some(&300));
    assert!(granted.contains_key(&RunId(2)));
}

#[test]
fn a_spent_budget_gets_nothing_from_whoever_grants_in_the_stores_place() {
    let mut steward = Budgets::new(RunId(1));
    let known = BudgetRow {
        budget: 572,
        granted: BTreeMap::from([(RunId(9), 572)]),
        ..BudgetRow::default()
    };

    let grant = steward.grant_turn_without_store(NOW, PROGRAM, RunId(2), 286, &known);

    assert_eq!(grant, None);
}

#[test]
fn one_host_grants_all_while_beliefs_about_the_store_differ() {
    // The store is slow: some hosts get answers and others give up. A program without end asks
    // for tokens at three hosts at the same time. All go to one host, which writes a grant when
    // the store takes it and grants in its place when it does not.
    let mut store = Store::default();
    let mut steward = Budgets::new(RunId(1));
    let known = BudgetRow { budget: 858, ..BudgetRow::default() };
    let mut granted = 0;

    for round in 0..9 {
        let run = RunId(2 + round % 3);
        let row = match round % 2 {
            0 => steward.propose(NOW, PROGRAM, run, 286, &known).map(|(row, version)| {
                if store.write(row.clone(), version) {
                    steward.merge_stored_row(NOW, PROGRAM, row, RowVersion(store.version));
                }
            }),
            _ => steward.grant_turn_without_store(NOW, PROGRAM, run, 286, &known).map(drop),
        };
        granted += 286 * u64::from(row.is_some());
    }

    assert_eq!(granted, 858);
}

#[test]
fn a_program_is_forgotten_only_when_nothing_of_it_runs() {
    let mut store = Store::default();
    let mut host = Budgets::new(RunId(1));
    assert!(reserve(&mut host, &mut store, 858, 286));
    let later = Instant::from_millis(100_000);

    let running = host.take_idle(later, Duration::from_secs(90));
    host.settle(PROGRAM, 286, 50);
    let idle = host.take_idle(later, Duration::from_secs(90));

    assert!(running.is_empty());
    assert_eq!(idle, [(PROGRAM, RowVersion(1))]);
}

#[test]
fn a_row_reads_as_it_was_written() {
    let row = BudgetRow {
        budget: 858,
        granted: BTreeMap::from([(RunId(u64::MAX), 286)]),
        ..BudgetRow::default()
    };

    let text = serde_json::to_string(&row).unwrap();

    assert_eq!(serde_json::from_str::<BudgetRow>(&text).unwrap(), row);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Whatever hosts run turns in whatever order, are restarted with their grants lost, give back
    /// what they do not need, or use
    /// more or less of a turn: no more than the budget is ever handed out.
    #[test]
    fn no_order_of_turns_and_restarts_exceeds_the_budget(
        steps in prop::collection::vec((0usize..4, 0u64..=100, any::<bool>()), 1..60),
        budget in 100u64..2_000,
    ) {
        let mut store = Store::default();
        let mut runs = 0..;
        let mut new = || Budgets::new(RunId(runs.next().unwrap()));
        let mut hosts: Vec<Budgets> = (0..4).map(|_| new()).collect();
        let mut handed = 0;

        for (host, used, restarts) in steps {
            if restarts && used % 5 == 0 {
                hosts[host] = new();
            }
            if used % 7 == 0 && let Some(row) = hosts[(host + 1) % 4].return_unused(PROGRAM) {
                hosts[host].merge_row(NOW, PROGRAM, &row);
            }
            if reserve(&mut hosts[host], &mut store, budget, 100) {
                hosts[host].settle(PROGRAM, 100, used);
                handed += used;
            }
        }

        prop_assert!(handed <= budget, "{} of {}", handed, budget);
    }
}

#[test]
fn a_program_from_before_a_cut_keeps_its_whole_budget_where_the_store_is() {
    let mut store = Store::default();
    let mut host = Budgets::new(RunId(1));
    assert!(reserve(&mut host, &mut store, 572, 286));
    host.settle(PROGRAM, 286, 200);

    let second = host.reserve(NOW, PROGRAM, 572, 286);

    assert!(matches!(second, Reservation::Reserved | Reservation::Write(..)), "{second:?}");
}

#[test]
fn a_turn_that_did_not_run_at_one_host_runs_at_the_next() {
    // A caller's first try is refused after its tokens were granted; its next try reaches
    // another host. The budget holds one turn and a half, and was answered as spent 38 times.
    let mut store = Store::default();
    let mut first = Budgets::new(RunId(1));
    let mut next = Budgets::new(RunId(2));
    assert!(reserve(&mut first, &mut store, 500, 286));
    first.settle(PROGRAM, 286, 0);
    assert!(!reserve(&mut next, &mut store, 500, 286));
    assert_eq!(next.holders(PROGRAM), [RunId(1)]);

    let row = first.return_unused(PROGRAM).expect("it holds all of it");
    next.merge_row(NOW, PROGRAM, &row);

    assert!(reserve(&mut next, &mut store, 500, 286));
    assert!(next.holders(PROGRAM).is_empty());
    assert!(!reserve(&mut first, &mut store, 500, 286));
}

#[test]
fn a_grant_to_itself_that_nobody_noted_is_not_spent_by_the_next_turn() {
    // A host of a zone that was cut off refused the first turn and ran the second one.
    let mut host = Budgets::new(RunId(1));
    let known = BudgetRow { budget: 858, ..BudgetRow::default() };

    let row = host
        .grant_turn_without_store(NOW, PROGRAM, RunId(1), 286, &known)
        .expect("there is enough");
    let unnoted = host.reserve(NOW, PROGRAM, 858, 286);
    host.accept_unstored_grant(NOW, PROGRAM, &row);

    assert!(matches!(unnoted, Reservation::Write(..)), "{unnoted:?}");
    assert_eq!(host.reserve(NOW, PROGRAM, 858, 286), Reservation::Reserved);
}

#[test]
fn a_grant_that_a_witness_only_heard_of_is_not_spent_by_it() {
    // The host that is granted tokens may be told of them before a host of another zone is.
    let mut host = Budgets::new(RunId(1));
    let row = BudgetRow {
        budget: 858,
        granted: BTreeMap::from([(RunId(1), 286)]),
        ..BudgetRow::default()
    };

    host.merge_unstored_row(NOW, PROGRAM, &row);

    assert!(matches!(host.reserve(NOW, PROGRAM, 858, 286), Reservation::Write(..)));
}

#[test]
fn a_host_that_only_hears_of_a_program_does_not_take_it_for_idle() {
    // It took the first turn for the last one, and deleted the row under a program of two minutes.
    let mut told = Budgets::new(RunId(2));
    for (seconds, version) in [(0, 1), (60, 2), (100, 3)] {
        let row = BudgetRow {
            budget: 4_000,
            granted: BTreeMap::from([(RunId(1), 286 * version)]),
            ..BudgetRow::default()
        };
        told.merge_stored_row(
            Instant::from_millis(seconds * 1_000),
            PROGRAM,
            row,
            RowVersion(version),
        );
    }

    let idle = Duration::from_secs(90);

    assert!(told.take_idle(Instant::from_millis(120_000), idle).is_empty());
    assert_eq!(told.take_idle(Instant::from_millis(191_000), idle), [(PROGRAM, RowVersion(3))]);
}

#[test]
fn a_host_that_spends_from_an_old_grant_writes_the_row_again() {
    // Others deleted the row 90 seconds after its last write, with the last turn 50 seconds old.
    let mut store = Store::default();
    let mut host = Budgets::new(RunId(1));
    assert!(reserve(&mut host, &mut store, 4_000, 286));
    host.settle(PROGRAM, 286, 1);
    let later = Instant::from_millis(40_000);

    assert_eq!(host.reserve(later, PROGRAM, 4_000, 286), Reservation::Reserved);
    let due = host.rows_to_write(later, |_| true);
    let (row, version) = store.row.clone().unwrap();
    host.record_write(later, PROGRAM, row, version);

    assert_eq!(due.len(), 1);
    assert!(host.rows_to_write(later, |_| true).is_empty());
}

#[test]
fn a_host_that_returns_to_a_program_does_not_spend_its_grant_again() {
    // It had forgotten what it spent, and found its grant in the row.
    let mut store = Store::default();
    let mut host = Budgets::new(RunId(1));
    assert!(reserve(&mut host, &mut store, 572, 286));
    host.settle(PROGRAM, 286, 286);
    assert!(reserve(&mut host, &mut store, 572, 286));
    host.settle(PROGRAM, 286, 286);
    let (row, version) = store.row.clone().unwrap();

    host.take_idle(Instant::from_millis(100_000), Duration::from_secs(90));
    host.merge_stored_row(Instant::from_millis(100_010), PROGRAM, row, version);

    assert!(!reserve(&mut host, &mut store, 572, 286));
}

#[test]
fn a_program_whose_row_is_deleted_is_forgotten_unless_it_ran_meanwhile() {
    let mut store = Store::default();
    let mut host = Budgets::new(RunId(1));
    assert!(reserve(&mut host, &mut store, 858, 286));
    host.settle(PROGRAM, 286, 50);
    let asked = Instant::from_millis(100_000);
    let mut busy = host.clone();
    host.take_idle(asked, Duration::from_secs(90));
    busy.take_idle(asked, Duration::from_secs(90));
    let later = Instant::from_millis(100_005);

    assert_eq!(busy.reserve(later, PROGRAM, 858, 286), Reservation::Reserved);
    busy.record_deletion(later, PROGRAM, asked);
    host.record_deletion(later, PROGRAM, asked);

    assert!(!host.has_grants(PROGRAM));
    let due = busy.rows_to_write(later, |_| true);
    assert!(matches!(&due[..], [(PROGRAM, _, RowVersion::ABSENT)]), "{due:?}");
}

#[test]
fn tokens_that_a_host_gave_away_are_asked_for_again() {
    // A program whose tries were refused at two hosts was told by the first that its budget is spent.
    let mut store = Store::default();
    let (mut first, mut next) = (Budgets::new(RunId(1)), Budgets::new(RunId(2)));
    assert!(reserve(&mut first, &mut store, 500, 286));
    first.settle(PROGRAM, 286, 0);
    next.merge_row(NOW, PROGRAM, &store.row.as_ref().unwrap().0);
    let total = first.transfer_to(PROGRAM, RunId(2), 286);
    next.record_transfer_from(PROGRAM, RunId(1), total);

    let without = first.reserve(NOW, PROGRAM, 500, 286);
    let given_to = first.transfer_recipients(PROGRAM);
    let total = next.transfer_to(PROGRAM, RunId(1), first.claim(PROGRAM, 286).missing);
    first.record_transfer_from(PROGRAM, RunId(2), total);

    assert_eq!(without, Reservation::Spent { certain: false });
    assert_eq!(given_to, [RunId(2)]);
    assert_eq!(first.reserve(NOW, PROGRAM, 500, 286), Reservation::Reserved);
    assert!(!reserve(&mut next, &mut store, 500, 286));
}
