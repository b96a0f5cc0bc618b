//! A host's copy of the table in which targets register themselves.

use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState};
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::target_table::{
    Effect, EntryChange, EntryRow, FAILED_PAUSE, HEDGE_DELAY, LAPSE_GRACE, PEER_TIMEOUT,
    POLL_PERIOD, RETURN_DETECTION_DELAY, RemovalReason, TableCopy, TargetTable,
    max_propagation_delay,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long a call may take to connect to its target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long after the store's recovery a host counts as in contact again: the shortest time of all
/// deployments.
const CONTACT_RESTORED_AFTER: Duration = Duration::from_secs(3);

/// How long after its removal a target may still get calls: the tightest bound of all deployments.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// The store's grace period for entries that expired while it was unavailable.
const STORE_GRACE: Duration = Duration::from_secs(2);

/// The length of an outage in which all entries expire.
const OUTAGE_MS: u64 = 6_000;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        version: Some("v1".into()),
        slots: 2,
        state: TargetState::Ready,
        born: 1,
        cold_for: Duration::ZERO,
    }
}

fn row(id: &str, version: u64) -> EntryRow {
    EntryRow { id: id.into(), version: RowVersion(version), entry: Some(entry(id)) }
}

fn written(id: &str, version: u64) -> EntryChange {
    EntryChange::Written(row(id, version))
}

fn removed(id: &str) -> EntryChange {
    EntryChange::Removed(id.into())
}

fn dropped(id: &str, why: RemovalReason) -> Vec<Effect> {
    vec![Effect::Drop(id.into(), why)]
}

/// Returns a copy with one target, from a full read at time zero as of version 10.
fn with_one(id: &str) -> TargetTable {
    let mut table = TargetTable::new(HEARTBEAT);
    table.apply_full_read(at(0), at(0), vec![row(id, 5)], RowVersion(10));

    table
}

/// Applies changes that follow the copy's own version and are answered at once.
fn change(table: &mut TargetTable, now: u64, changes: Vec<EntryChange>, as_of: u64) -> Vec<Effect> {
    let after = table.as_of().unwrap();

    table.apply_changes(at(now), at(now), after, changes, RowVersion(as_of))
}

/// Applies answers without changes, one per polling period, until a time.
fn poll(table: &mut TargetTable, from: u64, until: u64) {
    for now in (from..=until).step_by(POLL_PERIOD.as_millis() as usize) {
        let as_of = table.as_of().unwrap().0 + 1;
        change(table, now, vec![], as_of);
    }
}

fn copy(table: &TargetTable, now: u64) -> TableCopy {
    table.copy_for(at(now), RowVersion::default()).unwrap()
}

/// Guards against a target that registers and leaves between two polls and then gets calls forever.
#[test]
fn an_entry_that_is_written_and_removed_between_two_polls_is_not_used() {
    let mut table = with_one("x");

    let effects = change(&mut table, 400, vec![written("y", 11), removed("y")], 12);

    assert_eq!(effects, []);
    assert_eq!(copy(&table, 400).rows.unwrap(), [row("x", 5)]);
}

/// Guards against treating a target as gone that restarted with the same id.
#[test]
fn an_entry_that_is_removed_and_written_between_two_polls_is_used() {
    let mut table = with_one("x");

    let effects = change(&mut table, 400, vec![removed("x"), written("x", 12)], 12);

    assert_eq!(effects, [Effect::Use(entry("x"))]);
}

/// Guards against calls to a target that has left but is still in the outdated copy of another
/// host.
#[test]
fn a_copy_from_before_a_removal_does_not_restore_its_target() {
    let mut behind = with_one("x");
    let mut table = with_one("x");
    change(&mut behind, 300, vec![], 15);

    let effects = change(&mut table, 400, vec![removed("x")], 20);
    let by_copy =
        [401, 5_000, 60_000].map(|now| table.apply_peer_copy(at(now), at(now), copy(&behind, now)));

    assert_eq!(effects, dropped("x", RemovalReason::Removed));
    assert_eq!(by_copy, [vec![], vec![], vec![]]);
}

/// Guards against calls to a target that has left, at a host that the store rejects.
#[test]
fn a_newer_copy_of_another_host_removes_a_target() {
    let mut ahead = with_one("x");
    change(&mut ahead, 400, vec![removed("x")], 20);
    let mut table = with_one("x");

    let effects = table.apply_peer_copy(at(600), at(600), copy(&ahead, 600));

    assert_eq!(effects, dropped("x", RemovalReason::Removed));
    assert_eq!(table.as_of(), Some(RowVersion(20)));
}

/// Guards against restoring an old entry from an answer that was requested before a newer copy
/// arrived.
#[test]
fn changes_older_than_a_newer_copy_are_ignored() {
    let mut ahead = with_one("x");
    change(&mut ahead, 400, vec![removed("x")], 20);
    let mut table = with_one("x");
    let after = table.as_of().unwrap();
    table.apply_peer_copy(at(600), at(600), copy(&ahead, 600));

    let late = vec![written("x", 11)];
    let effects = table.apply_changes(at(700), at(300), after, late, RowVersion(12));

    assert_eq!(effects, []);
}

/// Guards against a copy that differs from the store permanently.
#[test]
fn a_full_read_corrects_a_copy() {
    let mut table = with_one("x");
    change(&mut table, 400, vec![written("y", 11)], 12);

    let effects = table.apply_full_read(at(800), at(800), vec![row("x", 5)], RowVersion(14));

    assert_eq!(effects, dropped("y", RemovalReason::Removed));
}

/// Guards against losing all targets for two seconds after an outage in which all entries expired.
#[test]
fn targets_whose_entries_expired_in_an_outage_are_used_for_a_grace_period() {
    let mut table = with_one("x");
    let back = OUTAGE_MS;

    let at_return = change(&mut table, back, vec![removed("x")], 20);
    poll(&mut table, back, back + 2_000);
    let in_grace = table.expire(at(back) + STORE_GRACE);
    let after_grace = table.expire(at(back) + LAPSE_GRACE);

    assert_eq!((at_return, in_grace), (vec![], vec![]));
    assert_eq!(after_grace, dropped("x", RemovalReason::NotBack));
}

/// Guards against one lost answer making a removal look like an expiry, which would delay it by
/// seconds.
#[test]
fn a_removal_after_a_short_silence_takes_effect_at_once() {
    let mut table = with_one("x");
    let before_expiry = 1_400;

    let effects = change(&mut table, before_expiry, vec![removed("x")], 20);

    assert_eq!(effects, dropped("x", RemovalReason::Removed));
}

/// Guards against a grace period that restarts with each further silence or each copy from another
/// host.
#[test]
fn a_host_that_has_just_started_gets_only_the_remaining_grace_period() {
    let mut other = with_one("x");
    change(&mut other, OUTAGE_MS, vec![removed("x")], 20);
    let mut table = TargetTable::new(HEARTBEAT);
    let started = OUTAGE_MS + 1_000;
    table.apply_full_read(at(started), at(started), vec![], RowVersion(22));
    poll(&mut other, OUTAGE_MS + 400, started);
    change(&mut other, started, vec![], 23);

    let received_at = started + 100;
    let effects =
        table.apply_peer_copy(at(received_at), at(received_at), copy(&other, received_at));
    let end = OUTAGE_MS + LAPSE_GRACE.as_millis() as u64;
    poll(&mut table, received_at, end);
    let before_end = table.expire(at(end - 1));
    let at_end = table.expire(at(end));

    assert_eq!(effects, [Effect::Use(entry("x"))]);
    assert_eq!(before_end, []);
    assert_eq!(at_end, dropped("x", RemovalReason::NotBack));
}

/// Guards against a host that starts during an outage and knows no target.
#[test]
fn a_host_that_starts_in_an_outage_uses_the_copy_of_another() {
    let other = with_one("x");
    let mut table = TargetTable::new(HEARTBEAT);

    let effects = table.apply_peer_copy(at(3_000), at(3_000), copy(&other, 3_000));

    assert_eq!(effects, [Effect::Use(entry("x"))]);
    assert_eq!(table.as_of(), other.as_of());
}

/// Guards against treating a draining target as one whose entry expired.
#[test]
fn a_target_that_was_draining_is_not_used_after_an_outage() {
    let mut table = with_one("x");
    let draining = TargetEntry { state: TargetState::Draining, ..entry("x") };
    let row = EntryRow { id: "x".into(), version: RowVersion(11), entry: Some(draining) };
    change(&mut table, 400, vec![EntryChange::Written(row)], 12);

    let effects = change(&mut table, OUTAGE_MS, vec![removed("x")], 20);

    assert_eq!(effects, dropped("x", RemovalReason::Removed));
}

/// Guards against an entry, written by another client, that names no usable target.
#[test]
fn an_unreadable_entry_removes_its_target() {
    let mut table = with_one("x");
    let unreadable = EntryRow { id: "x".into(), version: RowVersion(11), entry: None };

    let effects = change(&mut table, 400, vec![EntryChange::Written(unreadable)], 12);

    assert_eq!(effects, dropped("x", RemovalReason::Unreadable));
}

/// Guards against periods and timeouts that each look short but together exceed the bound. It must
/// hold even if one request to another host is lost.
#[test]
fn a_change_is_known_well_within_the_bound() {
    let a_lost_question = HEDGE_DELAY + PEER_TIMEOUT + FAILED_PAUSE;

    assert!(max_propagation_delay() + a_lost_question + CONNECT_TIMEOUT < DRAIN_BOUND);
}

/// Guards against a grace period that lasts beyond the time at which the bound on calls to removed
/// targets applies again.
#[test]
fn a_grace_ends_before_the_bound_holds_again() {
    assert!(RETURN_DETECTION_DELAY + LAPSE_GRACE < CONTACT_RESTORED_AFTER);
    assert!(LAPSE_GRACE > STORE_GRACE);
}

/// Guards against a removal that is missing from another host's copy because that host never had
/// the entry.
#[test]
fn a_copy_reflects_an_entry_that_was_added_and_removed_within_one_answer() {
    let mut quick = with_one("x");
    change(&mut quick, 300, vec![written("y", 11)], 12);
    let mut other = with_one("x");
    change(&mut other, 400, vec![written("y", 11), removed("y")], 14);

    let has = quick.as_of().unwrap();
    let sent = other.copy_for(at(500), has).unwrap();
    let effects = quick.apply_peer_copy(at(500), at(500), sent);

    assert_eq!(effects, dropped("y", RemovalReason::Removed));
}

/// Guards against losing a removal because its answer arrives after another host's copy.
#[test]
fn an_answer_newer_than_a_copy_that_overtook_it_is_applied() {
    let mut table = with_one("x");
    let mut ahead = with_one("x");
    change(&mut ahead, 300, vec![], 15);
    let after = table.as_of().unwrap();
    table.apply_peer_copy(at(350), at(350), copy(&ahead, 350));

    let late = vec![removed("x")];
    let effects = table.apply_changes(at(400), at(200), after, late, RowVersion(20));

    assert_eq!(effects, dropped("x", RemovalReason::Removed));
}

/// Guards against using a target that has left because another host, with an older copy, reports
/// that its row may reappear.
#[test]
fn a_removal_of_an_unknown_target_is_remembered() {
    let mut table = with_one("x");
    let mut behind = with_one("y");
    change(&mut behind, OUTAGE_MS, vec![removed("y")], 20);
    change(&mut table, 100, vec![written("y", 11), removed("y")], 12);

    let effects = table.apply_peer_copy(at(200), at(200), copy(&behind, OUTAGE_MS));

    assert!(!effects.contains(&Effect::Use(entry("y"))));
}

/// Guards against dropping all targets when the store answers now and then but accepts no target's
/// writes.
#[test]
fn short_silences_add_up() {
    let mut table = with_one("x");
    let first = change(&mut table, 1_400, vec![], 11);

    let effects = change(&mut table, 2_800, vec![removed("x")], 20);

    assert_eq!((first, effects), (vec![], vec![]));
}
