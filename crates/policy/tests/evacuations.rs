//! Copies of the evacuated zones: which one holds, and how soon a host has it.

use std::time::Duration;

use camphorwalk_core::hash::Set;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::evacuations::{
    Evacuations, EvacuationsCopy, ZoneChange, ZoneRows, max_propagation_delay,
};
use proptest::prelude::*;

/// After how long a request to the store fails.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a call may take to connect to its target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long after the store has confirmed an evacuation targets may still get calls.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

fn zones(names: &[&str]) -> Set<Box<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

fn rows(evacuated: &[&str]) -> ZoneRows {
    ZoneRows { evacuated: zones(evacuated), unreadable: Set::default() }
}

fn copy(as_of: u64, names: &[&str]) -> EvacuationsCopy {
    EvacuationsCopy { as_of: RowVersion(as_of), zones: zones(names) }
}

fn evacuated(zone: &str) -> ZoneChange {
    ZoneChange::Evacuated(zone.into())
}

fn returned(zone: &str) -> ZoneChange {
    ZoneChange::Returned(zone.into())
}

/// Returns a host's copy with zone `a` evacuated, as of version 10.
fn with_a_evacuated() -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.apply_full_read(rows(&["a"]), RowVersion(10));

    evacuations
}

/// Guards against calls to an evacuated zone after the bound: the delays in sequence of a host that
/// loses an answer of the store and one of another host must fit.
#[test]
fn an_evacuation_is_known_well_within_the_bound() {
    assert!(max_propagation_delay(STORE_TIMEOUT) + CONNECT_TIMEOUT < EVACUATION_BOUND);
}

/// Guards against a zone that stays unused: a host that missed the removal because the store dropped
/// its history must find it by a full read.
#[test]
fn a_removal_that_was_missed_is_found_by_a_full_read() {
    let mut evacuations = with_a_evacuated();

    let changes = evacuations.apply_full_read(rows(&[]), RowVersion(20));

    assert_eq!(changes, [returned("a")]);
}

/// Guards against evacuating a zone that has returned, because an older copy of another host arrives
/// late.
#[test]
fn an_older_copy_of_another_host_changes_nothing() {
    let mut evacuations = with_a_evacuated();
    evacuations.apply_changes(RowVersion(10), vec![returned("a")], RowVersion(12));

    assert_eq!(evacuations.apply_peer_copy(copy(11, &["a"])), []);
    assert_eq!(evacuations.apply_peer_copy(copy(13, &["b"])), [evacuated("b")]);
}

/// Guards against losing the order of changes that arrive in one answer.
#[test]
fn the_last_change_of_an_answer_holds() {
    let mut evacuations = with_a_evacuated();
    let changes = vec![returned("a"), evacuated("b"), evacuated("a"), returned("b")];

    assert_eq!(evacuations.apply_changes(RowVersion(10), changes, RowVersion(15)), []);
}

/// Guards against applying changes to a copy that lacks earlier ones.
#[test]
fn changes_after_a_version_that_was_not_received_are_ignored() {
    let mut evacuations = with_a_evacuated();

    let changes = evacuations.apply_changes(RowVersion(11), vec![returned("a")], RowVersion(12));

    assert_eq!(changes, []);
    assert_eq!(evacuations.as_of(), RowVersion(10));
}

/// Guards against evacuating or returning a zone by a row that cannot be read.
#[test]
fn an_unreadable_row_changes_nothing() {
    let mut evacuations = with_a_evacuated();
    let unreadable = ZoneRows { evacuated: Set::default(), unreadable: zones(&["a", "b"]) };

    assert_eq!(evacuations.apply_full_read(unreadable, RowVersion(20)), []);
}

/// What the store's rows were at each version, with one change of a zone between two versions.
fn history(changes: &[(usize, bool)]) -> Vec<Set<Box<str>>> {
    const ZONES: [&str; 3] = ["a", "b", "c"];
    let mut states = vec![Set::default()];

    for (zone, is_evacuated) in changes {
        let mut state = states.last().cloned().unwrap_or_default();
        match is_evacuated {
            true => state.insert(ZONES[*zone].into()),
            false => state.remove(ZONES[*zone]),
        };
        states.push(state);
    }
    states
}

/// Returns the changes that lead from one version of the store to a later one.
fn changes_between(changes: &[(usize, bool)], from: usize, to: usize) -> Vec<ZoneChange> {
    const ZONES: [&str; 3] = ["a", "b", "c"];
    let change = |(zone, is_evacuated): &(usize, bool)| match is_evacuated {
        true => evacuated(ZONES[*zone]),
        false => returned(ZONES[*zone]),
    };

    changes[from..to].iter().map(change).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a copy that equals no state of the store, or an older one than the newest
    /// received, in whatever order answers of the store and copies of other hosts arrive.
    #[test]
    fn a_copy_is_the_stores_state_at_the_newest_version_received(
        changes in prop::collection::vec((0..3usize, any::<bool>()), 1..20),
        answers in prop::collection::vec((0..3u8, any::<prop::sample::Index>(), any::<prop::sample::Index>()), 1..30),
    ) {
        let states = history(&changes);
        let mut evacuations = Evacuations::default();
        let mut newest = None;

        for (kind, first, second) in answers {
            let (x, y) = (first.index(states.len()), second.index(states.len()));
            let (from, to) = (x.min(y), x.max(y));
            let version = RowVersion(to as u64);
            let applies = match kind {
                0 => {
                    let changes = changes_between(&changes, from, to);
                    evacuations.apply_changes(RowVersion(from as u64), changes, version);
                    newest.is_some_and(|newest| from <= newest)
                }
                1 => {
                    let evacuated = states[to].clone();
                    let rows = ZoneRows { evacuated, unreadable: Set::default() };
                    evacuations.apply_full_read(rows, version);
                    true
                }
                _ => {
                    let zones = states[to].clone();
                    evacuations.apply_peer_copy(EvacuationsCopy { as_of: version, zones });
                    true
                }
            };
            if applies {
                newest = newest.max(Some(to));
            }
            let expected = newest.map(|newest: usize| EvacuationsCopy {
                as_of: RowVersion(newest as u64),
                zones: states[newest].clone(),
            });
            prop_assert_eq!(evacuations.copy(), expected.as_ref());
        }
    }
}
