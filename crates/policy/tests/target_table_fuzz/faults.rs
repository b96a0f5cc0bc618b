//! Faults that were found at random, each as short as it was found to be.

use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::target_table::{EntryRow, TargetTable};

use crate::targets::{HEARTBEAT, Step};
use crate::world::{Link, Mode, Outage, World};

const SEED: u64 = 0;

/// The target that all cases are about.
const TARGET: usize = 0;

/// The host that faults are about.
const HOST: usize = 0;

/// Returns a world in which all hosts use one target.
fn with_one_target(seed: u64) -> World {
    let mut world = World::new(seed);
    world.step(TARGET, Step::Start);
    run(&mut world, 5_000);

    world
}

fn run(world: &mut World, millis: u64) {
    world.run(Duration::from_millis(millis));
}

/// Guards against a quiet store, whose version stands still, being taken for a silent one by a host
/// that learns from others: what leaves then counts as what may be back.
#[test]
fn a_copy_as_of_the_same_version_confirms_the_copy() {
    let at = Instant::from_millis;
    let mut told = TargetTable::new(HEARTBEAT);
    let mut table = TargetTable::new(HEARTBEAT);
    told.apply_full_read(at(0), at(0), vec![], RowVersion(10));
    table.apply_full_read(at(0), at(0), vec![], RowVersion(10));

    for now in (400..=4_000).step_by(400) {
        told.apply_changes(at(now), at(now), RowVersion(10), vec![], RowVersion(10));
        let copy = told.copy_for(at(now), RowVersion(10)).unwrap();
        table.apply_peer_copy(at(now), at(now), copy);
    }

    assert!(!table.is_store_silent(at(4_000)));
}

/// Guards against a host that has just started and read the table whole, and then tells one that is
/// behind that nothing has changed: a target that left stays in use until the next whole read.
#[test]
fn a_host_that_has_just_started_tells_all_rows_to_one_that_is_behind() {
    let at = Instant::from_millis;
    let row = EntryRow { id: "x".into(), version: RowVersion(2), entry: None };
    let mut behind = TargetTable::new(HEARTBEAT);
    let mut told = TargetTable::new(HEARTBEAT);
    behind.apply_full_read(at(0), at(0), vec![row], RowVersion(2));
    told.apply_full_read(at(400), at(400), vec![], RowVersion(4));

    let copy = told.copy_for(at(500), RowVersion(2)).unwrap();
    behind.apply_peer_copy(at(500), at(500), copy);

    let rows = behind.copy_for(at(500), RowVersion::default()).unwrap().rows;
    assert_eq!(rows.unwrap_or_default(), []);
}

/// Guards against calls to a target that left, at a host that the store turns away for long.
#[test]
fn a_host_that_the_store_turns_away_drops_a_target_in_time_although_nothing_else_changes() {
    let mut world = with_one_target(SEED);
    world.set_mode(HOST, Mode::Refuses);
    run(&mut world, 6_000);

    world.step(TARGET, Step::Leave);

    world.converge();
}

/// Guards against calls to a target that left, at a host that was cut off until then: from the cut's
/// end on, it has the time until it is in touch. The end comes at any point of the host's round.
#[test]
fn a_host_that_was_cut_off_drops_a_target_in_time() {
    let ends = (6_000..6_800).step_by(80);

    for (seed, cut) in (0..20).flat_map(|seed| ends.clone().map(move |cut| (seed, cut))) {
        let mut world = with_one_target(seed);
        world.set_link(HOST, Link::Cut);
        run(&mut world, cut);

        world.set_link(HOST, Link::Good);
        world.step(TARGET, Step::Leave);

        run(&mut world, 4_000);
    }
}

/// Guards against living targets that are dropped when the store goes once more before they could
/// write their rows.
#[test]
fn targets_stay_in_use_over_a_short_outage_that_follows_another() {
    for pause in (200..1_800).step_by(200) {
        let mut world = with_one_target(SEED);
        world.set_outage(Some(Outage::Expiring));
        run(&mut world, 6_000);
        world.set_outage(None);
        run(&mut world, pause);

        world.set_outage(Some(Outage::Expiring));
        run(&mut world, 250);

        world.converge();
    }
}
