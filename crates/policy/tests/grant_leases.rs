//! Leases on grants without the store: who may hold one, and what it allows.

use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{
    BudgetRow, Budgets, KnownRow, ProgramKey, ReserveOutcome, RunId,
};
use camphorwalk_policy::entry::grant_leases::{
    Claim, Consent, GrantLeases, Holder, HolderState, HostSeen, LEASE_VALID_FOR, LeaseRow,
    MAX_HEARTBEAT_TIME, Partition, Succession, TAKEOVER_AFTER, UNSTORED_GRANT_VALID_FOR,
    holder_state, quarantine_time,
};

const PARTITION: Partition = Partition(3);
const PROGRAM: ProgramKey = ProgramKey(3);
const OTHER_PROGRAM: ProgramKey = ProgramKey(11);
const BUDGET: u64 = 1_430;
const MAX_TOKENS: u64 = 286;
const RETENTION: Duration = Duration::from_secs(60);
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(5);
const START: Instant = Instant::from_millis(1_000);

fn holder(host: &str, run: u64) -> Holder {
    Holder { host: host.into(), run: RunId(run) }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the leases of host `a`, whose heartbeat the store has just acknowledged.
fn leases(is_first_start: bool) -> GrantLeases {
    let mut leases = GrantLeases::new(holder("a", 1), is_first_start);
    leases.record_heartbeat(START, START);

    leases
}

/// Returns the leases of host `a`, which has acquired the lease of `PARTITION`.
fn acquired(succession: Succession) -> GrantLeases {
    let mut leases = leases(false);
    let quarantine = quarantine_time(RETENTION);
    leases.record_acquired(START, PARTITION, RowVersion(5), succession, quarantine);

    leases
}

/// Returns the leases of host `a`, which may grant without the store.
fn open() -> GrantLeases {
    let mut leases = acquired(Succession::Released);
    leases.record_read(START, PARTITION);

    leases
}

/// Returns what host `a` does first about the lease of `PARTITION`, which no live host reports to
/// hold for a while from `now` on.
fn claim(leases: &mut GrantLeases, now: Instant, state: HolderState) -> Option<Claim> {
    let times = [now, now + Duration::from_millis(500)];
    let mut claims = times.into_iter().flat_map(|now| {
        let all = [PARTITION].into_iter();
        leases.claims(now, all, |_| false, |_| true, |_, _| state)
    });

    claims.next().map(|(_, claim)| claim)
}

/// Lets the store acknowledge heartbeats of a host until `end`.
fn keep_alive(leases: &mut GrantLeases, end: Instant) {
    let mut now = START;
    while now < end {
        now = (now + HEARTBEAT_PERIOD).min(end);
        leases.record_heartbeat(now, now);
    }
}

/// Reads the lease row of `PARTITION` and returns what host `a` does next.
fn read(leases: &mut GrantLeases, row: Option<LeaseRow>, state: HolderState) -> Option<Claim> {
    let row = row.map(|row| (row, RowVersion(9)));

    leases.record_row(START, START, PARTITION, row, |_, _| state)
}

#[test]
fn a_host_without_the_lease_neither_grants_nor_consents() {
    // Guards against granting the same tokens on both sides of a network partition.
    let leases = leases(true);

    assert!(!leases.may_grant(START, PARTITION));
    assert_eq!(leases.consent(PARTITION), Consent::NotHolder);
}

#[test]
fn a_lease_that_may_be_in_use_is_not_taken_over() {
    // Guards against a host that takes silent hosts for gone, and grants what these still grant.
    let mut leases = leases(false);
    let row = LeaseRow { holder: Some(holder("b", 2)) };

    assert_eq!(read(&mut leases, Some(row), HolderState::MayRun), None);
}

#[test]
fn a_lease_expires_before_it_may_be_taken_over() {
    // Guards against two hosts that grant the same tokens without the store, one after the other.
    let leases = open();

    assert!(leases.may_grant(START + LEASE_VALID_FOR - seconds(1), PARTITION));
    assert!(!leases.may_grant(START + LEASE_VALID_FOR, PARTITION));
    assert!(LEASE_VALID_FOR + MAX_HEARTBEAT_TIME + seconds(2) < TAKEOVER_AFTER);
}

#[test]
fn frequent_reads_do_not_end_a_silent_holder_sooner() {
    // Guards against a takeover while the holder's lease is still valid, because reads outside of the
    // heartbeat counted as further signs of silence.
    let holder = holder("b", 2);
    let mut seen = None;
    let states: Vec<_> = (0..=20)
        .map(|second| {
            let at = START + seconds(second);
            seen = Some(HostSeen::after_read(seen, RunId(2), RowVersion(4), at, at));
            holder_state(&holder, START - seconds(1), seen)
        })
        .collect();

    assert!(states[..20].iter().all(|state| *state == HolderState::MayRun), "{states:?}");
    assert_eq!(states[20], HolderState::Ended);
}

#[test]
fn a_heartbeat_that_was_acknowledged_late_renews_no_lease() {
    // Guards against a lease that is valid for longer than other hosts assume, because the store
    // applied the heartbeat long before it answered.
    let mut leases = open();
    let began = START + seconds(5);

    leases.record_heartbeat(began, began + seconds(4));

    assert!(!leases.may_grant(START + LEASE_VALID_FOR, PARTITION));
}

#[test]
fn an_expired_lease_is_written_again_before_it_is_used() {
    // Guards against a host that uses its lease after it has returned from a long outage, while
    // another host takes the lease over.
    let mut leases = open();
    let back = START + LEASE_VALID_FOR + seconds(1);
    leases.record_heartbeat(back, back);

    let is_used = leases.may_grant(back, PARTITION);
    let first = claim(&mut leases, back, HolderState::MayRun);
    let row = LeaseRow { holder: Some(holder("a", 1)) };
    let own = Some((row.clone(), RowVersion(5)));
    let next = leases.record_row(back, back, PARTITION, own, |_, _| HolderState::MayRun);

    assert!(!is_used);
    assert_eq!(leases.consent(PARTITION), Consent::NotHolder);
    assert_eq!(first, Some(Claim::Read));
    assert_eq!(next, Some(Claim::Write(row, RowVersion(5), Succession::Renewed)));
}

#[test]
fn a_lease_that_was_renewed_keeps_what_it_allowed() {
    // Guards against a quarantine after each long outage, and against one that ends early.
    let quarantine = quarantine_time(RETENTION);
    let (mut usable, mut quarantined) = (open(), acquired(Succession::Abandoned));

    for leases in [&mut usable, &mut quarantined] {
        leases.record_acquired(START, PARTITION, RowVersion(8), Succession::Renewed, quarantine);
    }

    assert_eq!(usable.consent(PARTITION), Consent::Given(RowVersion(8)));
    assert_eq!(quarantined.consent(PARTITION), Consent::Quarantined);
}

#[test]
fn a_lease_that_was_taken_over_is_lost() {
    // Guards against a host that still uses a lease after another host has acquired it.
    let mut leases = open();
    let row = LeaseRow { holder: Some(holder("b", 2)) };

    let next = read(&mut leases, Some(row), HolderState::MayRun);

    assert_eq!((next, leases.consent(PARTITION)), (None, Consent::NotHolder));
}

#[test]
fn an_abandoned_lease_is_in_quarantine_until_lost_grants_cannot_be_used() {
    // Guards against granting again what was lost with all hosts that knew of it.
    let mut leases = acquired(Succession::Abandoned);
    let end = START + quarantine_time(RETENTION);
    keep_alive(&mut leases, end);

    let before = leases.record_read(end - seconds(1), PARTITION);
    let state = (leases.may_grant(end, PARTITION), leases.consent(PARTITION));
    let after = leases.record_read(end, PARTITION);

    assert_eq!((before, state), (None, (false, Consent::Quarantined)));
    assert_eq!(after, Some(Succession::Abandoned));
    assert!(leases.may_grant(end, PARTITION));
    assert!(quarantine_time(RETENTION) > RETENTION + UNSTORED_GRANT_VALID_FOR);
}

#[test]
fn a_program_that_outlives_a_quarantine_never_gets_the_whole_budget() {
    // Guards against granting again what was lost with all hosts, to a program that runs on.
    let mut budgets = Budgets::new(RunId(1));
    let small =
        BudgetRow { budget: BUDGET, granted: [(RunId(7), 9)].into(), ..BudgetRow::default() };
    let rows = [(PROGRAM, small.clone(), RowVersion(4))];
    budgets.merge_partition_rows(START, rows, Succession::Abandoned);

    let known = KnownRow { row: small.clone(), stored: 9 };
    let consent = budgets.close_for_outages(START, PROGRAM, &known);
    let grant = budgets.grant_turn_without_store(START, PROGRAM, RunId(2), MAX_TOKENS, &small);

    assert_eq!((consent, grant), (None, None));
    assert!(!budgets.is_partition_settled(|program| program == PROGRAM));
}

#[test]
fn a_released_lease_is_usable_once_its_budgets_are_read() {
    // Guards against budgets that are restricted for minutes after hosts were restarted in turn.
    let mut leases = leases(false);
    let claim = read(&mut leases, Some(LeaseRow { holder: None }), HolderState::MayRun);
    let Some(Claim::Write(_, RowVersion(9), succession)) = claim else { panic!("{claim:?}") };
    let quarantine = quarantine_time(RETENTION);
    leases.record_acquired(START, PARTITION, RowVersion(10), succession, quarantine);

    let unread = (leases.may_grant(START, PARTITION), leases.consent(PARTITION));
    let read = leases.record_read(START, PARTITION);

    assert_eq!(unread, (false, Consent::NotHolder));
    assert_eq!(read, Some(Succession::Released));
    assert!(leases.may_grant(START, PARTITION));
    assert_eq!(leases.consent(PARTITION), Consent::Given(RowVersion(10)));
}

#[test]
fn a_budget_that_exceeds_the_share_of_the_store_is_closed_for_the_next_holder() {
    // Guards against a new holder that grants without the store after its predecessor has consented
    // to grants of the whole budget by the store.
    let mut budgets = Budgets::new(RunId(1));
    let row = |tokens| BudgetRow {
        budget: BUDGET,
        granted: [(RunId(7), tokens)].into(),
        ..BudgetRow::default()
    };
    let rows =
        [(PROGRAM, row(BUDGET), RowVersion(4)), (OTHER_PROGRAM, row(MAX_TOKENS), RowVersion(5))];
    let empty = row(0);

    budgets.merge_partition_rows(START, rows, Succession::Released);
    let mut grant = |program| {
        budgets.grant_turn_without_store(START, program, RunId(2), MAX_TOKENS, &empty).is_some()
    };

    assert!(!grant(PROGRAM));
    assert!(grant(OTHER_PROGRAM));
}

#[test]
fn consent_ends_grants_without_the_store() {
    // Guards against the two uses of the share without the store for one program.
    let mut budgets = Budgets::new(RunId(1));
    let empty = BudgetRow { budget: BUDGET, ..BudgetRow::default() };
    let known = KnownRow { row: empty.clone(), stored: 0 };

    let closed = budgets.close_for_outages(START, PROGRAM, &known);
    let grant = budgets.grant_turn_without_store(START, PROGRAM, RunId(2), MAX_TOKENS, &empty);

    assert!(closed.is_some());
    assert_eq!(grant, None);
}

#[test]
fn a_closed_program_is_remembered_until_its_row_is_deleted() {
    // Guards against a holder that forgets its consent, or its grants, while the program runs
    // elsewhere.
    let mut budgets = Budgets::new(RunId(1));
    let empty = BudgetRow { budget: BUDGET, ..BudgetRow::default() };
    let known = KnownRow { row: empty.clone(), stored: 0 };
    budgets.close_for_outages(START, PROGRAM, &known);

    let idle = budgets.take_idle(START + seconds(200), seconds(90));
    let grant = budgets.grant_turn_without_store(
        START + seconds(200),
        PROGRAM,
        RunId(2),
        MAX_TOKENS,
        &empty,
    );

    assert_eq!(idle, [(PROGRAM, RowVersion::ABSENT)]);
    assert_eq!(grant, None);
}

#[test]
fn a_grant_without_the_store_is_not_spent_for_long_unless_it_is_stored() {
    // Guards against a host that spends a grant for so long that its program is taken for a new one.
    let mut granter = Budgets::new(RunId(1));
    let mut spender = Budgets::new(RunId(2));
    let empty = BudgetRow { budget: BUDGET, ..BudgetRow::default() };
    let row = granter
        .grant_turn_without_store(START, PROGRAM, RunId(2), MAX_TOKENS, &empty)
        .expect("a new program has its share");
    spender.accept_unstored_grant(START, PROGRAM, &row);
    let late = START + UNSTORED_GRANT_VALID_FOR + seconds(1);

    let expired = spender.reserve(late, PROGRAM, BUDGET, MAX_TOKENS);
    spender.record_write(late, PROGRAM, row, RowVersion(4));
    let stored = spender.reserve(late, PROGRAM, BUDGET, MAX_TOKENS);

    assert!(matches!(expired, ReserveOutcome::Withheld(_)), "{expired:?}");
    assert_eq!(stored, ReserveOutcome::Reserved);
}

#[test]
fn a_grant_that_nobody_has_stored_is_withheld_rather_than_refreshed() {
    // Guards against a host that refreshes, and then spends, a grant that is too old to be spent.
    let mut spender = Budgets::new(RunId(2));
    let row = BudgetRow {
        budget: BUDGET,
        granted: [(RunId(2), MAX_TOKENS)].into(),
        ..BudgetRow::default()
    };
    spender.accept_unstored_grant(START, PROGRAM, &row);
    let expiry = START + UNSTORED_GRANT_VALID_FOR;

    let expired = spender.reserve(expiry + seconds(1), PROGRAM, BUDGET, MAX_TOKENS);
    let in_time = spender.reserve(expiry, PROGRAM, BUDGET, MAX_TOKENS);

    assert!(matches!(expired, ReserveOutcome::Withheld(_)), "{expired:?}");
    assert_eq!(in_time, ReserveOutcome::Reserved);
}

#[test]
fn a_host_row_that_is_older_than_the_lease_row_says_nothing_of_the_holder() {
    // Guards against taking over the lease of a host that has just restarted and acquired it.
    let seen = HostSeen { run: RunId(1), version: RowVersion(3), since: START, at: START };
    let later = HostSeen { at: START + seconds(1), ..seen };
    let restarted = holder("b", 2);

    assert_eq!(holder_state(&restarted, START, Some(seen)), HolderState::MayRun);
    assert_eq!(holder_state(&restarted, START, Some(later)), HolderState::Ended);
    assert_eq!(holder_state(&restarted, START, None), HolderState::MayRun);
}

#[test]
fn a_deployment_without_lease_rows_may_have_older_grants() {
    // Guards against trusting the absence of a lease row in a deployment that was updated from a
    // version without leases.
    let (mut first, mut updated) = (leases(true), leases(false));

    let at_first_start = claim(&mut first, START, HolderState::MayRun);
    let after_update = read(&mut updated, None, HolderState::MayRun);

    let row = LeaseRow { holder: Some(holder("a", 1)) };
    let write = |succession| Some(Claim::Write(row.clone(), RowVersion::ABSENT, succession));
    assert_eq!(at_first_start, write(Succession::Released));
    assert_eq!(after_update, write(Succession::Abandoned));
}

#[test]
fn the_lease_of_an_earlier_process_is_not_continued() {
    // Guards against a restarted host that goes on with the lease of its former process, whose
    // grants it does not know.
    let mut leases = leases(false);
    let row = LeaseRow { holder: Some(holder("a", 77)) };

    let claim = read(&mut leases, Some(row), HolderState::MayRun);

    assert!(matches!(claim, Some(Claim::Write(_, _, Succession::Abandoned))), "{claim:?}");
}

#[test]
fn a_lease_whose_write_was_answered_late_is_acquired_all_the_same() {
    // Guards against a lease that nobody uses, because its holder never learned of it and another
    // host is the first to claim it now.
    let mut leases = leases(false);
    let written = read(&mut leases, Some(LeaseRow { holder: None }), HolderState::MayRun);
    let later = START + seconds(3);

    let all = || [PARTITION].into_iter();
    let claims = leases.claims(later, all(), |_| false, |_| false, |_, _| HolderState::MayRun);
    let own = LeaseRow { holder: Some(holder("a", 1)) };
    let row = Some((own.clone(), RowVersion(10)));
    let next = leases.record_row(later, later, PARTITION, row, |_, _| HolderState::MayRun);

    assert!(matches!(written, Some(Claim::Write(..))), "{written:?}");
    assert_eq!(claims, [(PARTITION, Claim::Read)]);
    assert_eq!(next, Some(Claim::Write(own, RowVersion(10), Succession::Released)));
}

#[test]
fn a_late_renewal_of_a_lease_is_no_quarantine() {
    // Guards against a quarantine of budgets whose holder never lost its memory: its renewal took
    // effect after it had tried again.
    let mut leases = open();
    let back = START + LEASE_VALID_FOR + seconds(1);
    leases.record_heartbeat(back, back);
    let own = LeaseRow { holder: Some(holder("a", 1)) };
    let row = |version| Some((own.clone(), RowVersion(version)));
    let state = |_: &Holder, _| HolderState::MayRun;
    leases.record_row(back, back, PARTITION, row(5), state);
    leases.record_row(back, back, PARTITION, row(5), state);
    leases.record_conflict(PARTITION);

    let next = leases.record_row(back, back, PARTITION, row(6), state);
    let quarantine = quarantine_time(RETENTION);
    leases.record_acquired(back, PARTITION, RowVersion(7), Succession::Renewed, quarantine);

    assert_eq!(next, Some(Claim::Write(own, RowVersion(6), Succession::Renewed)));
    assert_eq!(leases.consent(PARTITION), Consent::Given(RowVersion(7)));
}

#[test]
fn a_host_that_shuts_down_releases_only_what_it_can_answer_for() {
    // Guards against a successor that is told nothing of grants that are not in the store.
    let (mut settled, mut unsettled) = (open(), open());
    let mut quarantined = acquired(Succession::Abandoned);

    assert_eq!(settled.give_up_all(|_| true), [(PARTITION, RowVersion(5))]);
    assert_eq!(unsettled.give_up_all(|_| false), []);
    assert_eq!(quarantined.give_up_all(|_| true), []);
    assert_eq!(claim(&mut settled, START, HolderState::Ended), None);
    assert_eq!(settled.consent(PARTITION), Consent::NotHolder);
}
