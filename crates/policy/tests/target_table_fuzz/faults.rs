//! Cases of faults that random tests have found, each reduced to its shortest form.

use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::target_table::{EntryRow, TargetTable};

use crate::targets::{HEARTBEAT, Step};
use crate::world::{Link, Mode, Outage, World};

const SEED: u64 = 0;

/// The target that all cases use.
const TARGET: usize = 0;

/// The host that has the faults.
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

/// Guards against a host that gets its table from other hosts mistaking an unchanged store for a
/// silent one. Targets that left would then be treated as ones whose rows may reappear.
#[test]
fn a_copy_of_the_same_version_confirms_the_copy() {
    let at = Instant::from_millis;
    let mut other = TargetTable::new(HEARTBEAT);
    let mut table = TargetTable::new(HEARTBEAT);
    other.apply_full_read(at(0), at(0), vec![], RowVersion(10));
    table.apply_full_read(at(0), at(0), vec![], RowVersion(10));

    for now in (400..=4_000).step_by(400) {
        other.apply_changes(at(now), at(now), RowVersion(10), vec![], RowVersion(10));
        let copy = other.copy_for(at(now), RowVersion(10)).unwrap();
        table.apply_peer_copy(at(now), at(now), copy);
    }

    assert!(!table.is_store_silent(at(4_000)));
}

/// Guards against a host that has just started and read the full table telling one with an older
/// copy that nothing has changed. A target that left would stay in use there until the next full
/// read.
#[test]
fn a_host_that_has_just_started_sends_all_rows_to_one_with_an_older_copy() {
    let at = Instant::from_millis;
    let row = EntryRow { id: "x".into(), version: RowVersion(2), entry: None };
    let mut behind = TargetTable::new(HEARTBEAT);
    let mut other = TargetTable::new(HEARTBEAT);
    behind.apply_full_read(at(0), at(0), vec![row], RowVersion(2));
    other.apply_full_read(at(400), at(400), vec![], RowVersion(4));

    let copy = other.copy_for(at(500), RowVersion(2)).unwrap();
    behind.apply_peer_copy(at(500), at(500), copy);

    let rows = behind.copy_for(at(500), RowVersion::default()).unwrap().rows;
    assert_eq!(rows.unwrap_or_default(), []);
}

/// Guards against calls to a target that has left, at a host that the store rejects for long.
#[test]
fn a_host_that_the_store_rejects_drops_a_target_in_time_although_nothing_else_changes() {
    let mut world = with_one_target(SEED);
    world.set_mode(HOST, Mode::Refuses);
    run(&mut world, 6_000);

    world.step(TARGET, Step::Leave);

    world.converge();
}

/// Guards against calls to a target that has left, at a host that was isolated until then. Once the
/// isolation ends, the host must drop the target by the time it counts as in contact. The isolation
/// may end at any point of the host's polling round.
#[test]
fn a_host_that_was_isolated_drops_a_target_in_time() {
    let isolation_lengths = (6_000..6_800).step_by(80);

    for (seed, length) in
        (0..20).flat_map(|seed| isolation_lengths.clone().map(move |length| (seed, length)))
    {
        let mut world = with_one_target(seed);
        world.set_link(HOST, Link::Partitioned);
        run(&mut world, length);

        world.set_link(HOST, Link::Good);
        world.step(TARGET, Step::Leave);

        run(&mut world, 4_000);
    }
}

/// Guards against dropping running targets when the store becomes unavailable again before they
/// could write their rows.
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
