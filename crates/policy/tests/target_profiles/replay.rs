//! The choice of targets of different speeds, replayed with the load of the measured deployments.

use std::time::Duration;

use crate::world::{Plan, Sums, World};

const ENGINES: usize = 44;
const UNEVEN: [f64; 3] = [0.7, 0.7, 1.7];

fn plan(speeds: [f64; 3], uses_profiles: bool) -> Plan {
    Plan { hosts: 84, turns_per_second: 500.0, speeds, uses_profiles }
}

/// Runs a world for so many seconds and returns the sums over this time.
fn run(world: &mut World, seconds: u64) -> Sums {
    world.take_sums();
    world.run(Duration::from_secs(seconds));

    world.take_sums()
}

fn slow_engines() -> impl Iterator<Item = usize> {
    (0..ENGINES).filter(|i| i % 3 == 2)
}

/// Returns how many of some paces are within 20% of the true ones.
fn correct(world: &World, sums: &Sums, host: usize, engines: impl Iterator<Item = usize>) -> usize {
    let (known, real) = (world.paces(host), world.true_paces(sums));

    engines.filter(|i| (0.8..=1.2).contains(&(known[*i] / real[*i]))).count()
}

#[test]
fn slow_targets_are_known_to_all_hosts_and_get_less_work() {
    // Guards against spreading turns evenly over engines of which a third is 2.4 times slower.
    let mut even = World::new(plan(UNEVEN, false), ENGINES, 1);
    run(&mut even, 3);
    let before = run(&mut even, 8);

    let mut world = World::new(plan(UNEVEN, true), ENGINES, 1);
    let learning = run(&mut world, 3);
    // In three seconds some engines have two or three spells, others none.
    let correct = (0..84).map(|host| correct(&world, &learning, host, 0..ENGINES));
    assert!(correct.min().unwrap() >= 38);
    let after = run(&mut world, 8);

    let (faster, share) =
        (after.mean_turn_ms() / before.mean_turn_ms(), after.share_of(slow_engines()));
    assert!(faster <= 0.9, "{faster}");
    assert!(share <= 0.6, "{share}");
}

/// Returns the prompt tokens read per turn with the part, relative to those without it.
fn relative_tokens(speeds: [f64; 3]) -> f64 {
    let tokens = |uses_profiles| -> f64 {
        let per_turn = (1..=3).map(|seed| {
            let plan = Plan { hosts: 24, ..plan(speeds, uses_profiles) };
            let mut world = World::new(plan, ENGINES, seed);
            run(&mut world, 3);
            run(&mut world, 40).tokens_per_turn()
        });
        per_turn.sum()
    };

    tokens(true) / tokens(false)
}

#[test]
fn noise_moves_no_conversations_between_targets_of_equal_speed() {
    // Guards against reading prompts again because a spell of a target is taken for its speed.
    let relative = relative_tokens([1.0; 3]);

    assert!(relative < 1.02, "{relative}");
}

#[test]
fn small_differences_move_no_conversations() {
    // Guards against reading prompts again for differences in speed that are worth less.
    let relative = relative_tokens([1.0, 1.0, 1.3]);

    assert!(relative < 1.02, "{relative}");
}

#[test]
fn a_restarted_target_is_judged_anew() {
    // Guards against avoiding a target for the speed of the process that ran there before.
    let mut world = World::new(plan(UNEVEN, true), ENGINES, 2);
    run(&mut world, 4);
    assert!(world.paces(5)[2] > 1.4);

    world.restart(2, 0.7);
    world.restart(3, 1.7);
    assert_eq!((world.paces(5)[2], world.paces(5)[3]), (1.0, 1.0));
    run(&mut world, 3);

    let paces = world.paces(5);
    assert!(paces[2] < 1.25 && paces[3] > 1.4, "{paces:?}");
}

#[test]
fn a_restarted_host_learns_from_the_others() {
    // Guards against a host that sends calls to slow targets until it has measured them itself.
    let mut world = World::new(plan(UNEVEN, true), ENGINES, 3);
    run(&mut world, 4);

    world.restart_host(7);
    run(&mut world, 2);

    // Some slow engines got too few turns in this time to be judged.
    let paces = world.paces(7);
    assert!(slow_engines().filter(|i| paces[*i] > 1.25).count() >= 10, "{paces:?}");
    assert!((0..ENGINES).all(|i| i % 3 == 2 || paces[i] <= 1.25), "{paces:?}");
}

#[test]
fn the_new_targets_of_a_release_are_told_from_the_old_ones() {
    // Guards against treating all targets alike while half of them run a slower version.
    let mut world = World::new(plan([1.0; 3], true), ENGINES, 4);
    run(&mut world, 3);
    for engine in 0..ENGINES / 2 {
        world.restart(engine, 1.9);
        world.run(Duration::from_millis(100));
    }
    run(&mut world, 3);

    let paces = world.paces(0);
    assert!(paces[..ENGINES / 2].iter().all(|pace| *pace > 1.25), "{paces:?}");
    assert!(paces[ENGINES / 2..].iter().all(|pace| *pace < 1.0), "{paces:?}");
    let share = run(&mut world, 5).share_of(0..ENGINES / 2);
    assert!(share < 0.75, "{share}");
}

#[test]
fn each_side_of_a_partition_keeps_its_own_evidence() {
    // Guards against old evidence that stays in force, and against a side without any.
    let mut world = World::new(plan(UNEVEN, true), ENGINES, 5);
    run(&mut world, 4);

    world.partition();
    run(&mut world, 20);
    let sums = run(&mut world, 5);

    for host in 0..4 {
        let (own, other): (Vec<_>, Vec<_>) =
            (0..ENGINES).partition(|i| (i % 4 >= 2) == (host >= 2));
        let paces = world.paces(host);
        assert!(own.iter().filter(|i| *i % 3 == 2).all(|i| paces[*i] > 1.25), "{paces:?}");
        assert!(other.iter().all(|i| paces[*i] == 1.0), "{paces:?}");
    }
    let share = sums.share_of(slow_engines());
    assert!(share <= 0.6, "{share}");
}
