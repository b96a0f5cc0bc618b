//! Admission control while more programs want to start than engines can run, replayed in virtual
//! time: 24 hosts in three zones, 44 engines of 6 slots, 78 tenants.

mod world;

use std::time::Duration;

use camphorwalk_core::time::Instant;

use world::{Kind, Load, World};

/// Programs per second that engines run without difficulty.
const USUAL: Load = Load { first_rank: 36.0, large_tenant: 8.0, others: 46.0 };

/// 2.4 times the programs of the second rank, with one tenant at seven times its usual load.
const BURST: Load = Load { first_rank: 36.0, large_tenant: 56.0, others: 74.0 };

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Replays a load that begins after the usual one, and measures the programs that arrive from two
/// seconds after its beginning on.
fn replay(fair: bool, seed: u64, load: Load) -> World {
    let mut world = World::new(fair, seed);
    world.run(seconds(2), USUAL);
    world.run(seconds(2), load);
    world.measures = true;
    world.run(seconds(5), load);
    world.measures = false;
    world.run(seconds(4), USUAL);

    world
}

#[test]
fn one_tenants_burst_does_not_displace_the_programs_of_others() {
    // Guards against a tenant that gets most places because it sends most starts.
    let refused = |world: &World| world.tally(Kind::Others).refused();
    let without_tenant = replay(true, 1, Load { large_tenant: 0.0, ..BURST });
    let without_control = replay(false, 1, BURST);

    let world = replay(true, 1, BURST);

    assert!(refused(&without_control) > 0.15, "{}", refused(&without_control));
    assert!(refused(&world) <= refused(&without_tenant) + 0.05, "{}", refused(&world));
    assert!(world.tally(Kind::LargeTenant).served() > 0.25, "it may still use its share");
}

#[test]
fn each_kind_is_served_by_its_priority() {
    // Guards against programs of the first rank that are refused while others start, and against a
    // second rank that starves.
    let more_of_both = Load { first_rank: 72.0, large_tenant: 56.0, others: 120.0 };

    for load in [BURST, more_of_both] {
        let world = replay(true, 2, load);
        let first = world.tally(Kind::FirstRank);
        let second = world.tally(Kind::LargeTenant).plus(world.tally(Kind::Others));
        let all = first.plus(second);

        assert!(first.served() >= second.served(), "{first:?}, {second:?}");
        assert!(second.served() >= 0.25 * all.served(), "{second:?}, {all:?}");
    }
}

#[test]
fn unused_capacity_is_lent_and_reclaimed() {
    // Guards against capacity that lies idle because a tenant has used more than its share, and
    // against others that wait for it when they want it back.
    let alone = Load { first_rank: 0.0, large_tenant: 200.0, others: 0.0 };
    let started = |world: &World| world.tally(Kind::LargeTenant).started();
    let without_control = replay(false, 3, alone);
    let lent = replay(true, 3, alone);

    let mut world = World::new(true, 3);
    world.run(seconds(5), alone);
    world.run(seconds(2), Load { large_tenant: 200.0, ..USUAL });
    world.measures = true;
    world.run(seconds(5), Load { large_tenant: 200.0, ..USUAL });
    world.measures = false;
    world.run(seconds(4), USUAL);

    let (lent, all) = (f64::from(started(&lent)), f64::from(started(&without_control)));
    assert!(lent >= 0.9 * all, "{lent} of {all}");
    let others = world.tally(Kind::Others);
    assert!(others.refused() <= 0.05, "{others:?}");
}

#[test]
fn refused_programs_return_evenly() {
    // Guards against a second burst that consists of the refused programs of the first.
    let world = replay(true, 4, BURST);

    let begin = world.told.iter().min().unwrap();
    let tenth = |at: &Instant| (at.since(*begin).as_millis() / 100) as usize;
    let mut counts = vec![0u32; 60];
    world.told.iter().filter(|at| tenth(at) < 60).for_each(|at| counts[tenth(at)] += 1);
    let counts = &counts[5..45];
    let mean = f64::from(counts.iter().sum::<u32>()) / counts.len() as f64;
    assert!(mean > 5.0, "{mean}");
    assert!(counts.iter().all(|count| f64::from(*count) <= 2.0 * mean), "{counts:?}, {mean}");
}
