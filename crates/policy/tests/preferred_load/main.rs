//! Preferred targets under load, in virtual time.

mod world;

use world::{Figures, Shape, World};

const ZONE: Shape = Shape { zones: 1, hosts: 24, engines: 15, preferred: Some(4), seed: 1 };

/// Three zones of 60 slots, each of which can serve 300 turns per second.
const FLEET: Shape = Shape { zones: 3, hosts: 12, engines: 10, preferred: Some(4), seed: 1 };

/// Runs a fleet with so many turns per second in each zone, and returns the figures of the time after
/// the first second.
fn figures(shape: Shape, rates: &[f64], turns: u32) -> Figures {
    let mut world = World::new(shape);
    world.run(1_000, rates, turns);
    world.figures = Figures::default();
    world.run(10_000, rates, turns);

    world.figures
}

#[test]
fn hosts_crowd_no_target_and_use_few_of_them() {
    // Guards against hosts that take full targets for free ones, since they know of the calls of all
    // others only when these are nearly over, and against connections that are never used again.
    for seed in 1..=3 {
        let plain = figures(Shape { preferred: None, seed, ..ZONE }, &[300.0], 1);
        let preferred = figures(Shape { seed, ..ZONE }, &[300.0], 1);

        let tenths = [plain.busiest_tenth(), preferred.busiest_tenth()];
        assert!(tenths[0] > 8 && tenths[1] <= 7, "{tenths:?}");
        assert!(
            preferred.pairs() * 2 < plain.pairs(),
            "{} of {}",
            preferred.pairs(),
            plain.pairs()
        );
        assert!(preferred.mean_held_ms() < plain.mean_held_ms());
    }
}

#[test]
fn conversations_that_reach_several_hosts_crowd_no_target() {
    // Guards against hosts that follow prompts to targets whose load they do not know.
    let plain = figures(Shape { preferred: None, ..ZONE }, &[300.0], 4);
    let preferred = figures(ZONE, &[300.0], 4);

    let tenths = [plain.busiest_tenth(), preferred.busiest_tenth()];
    assert!(tenths[1] <= tenths[0].min(7), "{tenths:?}");
    assert!(preferred.pairs() < plain.pairs(), "{} of {}", preferred.pairs(), plain.pairs());
    assert!(preferred.mean_held_ms() < plain.mean_held_ms());
}

#[test]
fn a_zone_with_more_calls_than_slots_uses_those_of_other_zones() {
    // Guards against calls that wait for preferred targets, or for those of their zone, while others
    // are idle. Zone 0 gets twice as many turns as it can serve, and all zones together nine tenths.
    let rates = [600.0, 100.0, 100.0];
    let mut world = World::new(FLEET);
    world.run(3_000, &rates, 1);
    world.figures = Figures::default();
    world.run(10_000, &rates, 1);

    let (arrived, answered) = (world.figures.arrived as f64, world.figures.answered as f64);
    let from_zone_0 = |zone| world.figures.sent[&(0, zone)] as f64 / 10.0;
    assert!(answered >= arrived * 0.95, "{answered} of {arrived} answered");
    assert!(world.waiting() < 40, "{} wait", world.waiting());
    assert!(from_zone_0(1) + from_zone_0(2) > 285.0, "{:?}", world.figures.sent);
}

#[test]
fn calls_stay_in_their_zone_while_it_has_room() {
    // Guards against calls of all zones that end when one zone is partitioned off. Without the part,
    // a third of them goes to other zones.
    let rates = [200.0; 3];
    let in_zone = |figures: &Figures| {
        let within: u64 = (0..3).map(|zone| figures.sent[&(zone, zone)]).sum();
        within as f64 / figures.sent.values().sum::<u64>() as f64
    };

    let plain = in_zone(&figures(Shape { preferred: None, ..FLEET }, &rates, 1));
    let preferred = in_zone(&figures(FLEET, &rates, 1));

    assert!(plain < 0.8 && preferred > 0.95, "{plain} {preferred}");
}

#[test]
fn two_sides_of_a_partition_within_a_zone_serve_all_calls() {
    // Guards against a side that takes the calls of the other for running as long as the partition
    // lasts, or that leaves it targets which nobody prefers then.
    let mut world = World::new(ZONE);
    world.run(2_000, &[300.0], 1);
    let pairs = world.figures.pairs();
    world.is_whole = false;
    world.figures = Figures::default();
    world.run(6_000, &[300.0], 1);

    let (arrived, answered) = (world.figures.arrived as f64, world.figures.answered as f64);
    assert!(answered >= arrived * 0.95, "{answered} of {arrived} answered");
    assert!(world.waiting() < 10, "{} wait", world.waiting());
    assert!(world.figures.pairs() < pairs * 2, "{pairs} {}", world.figures.pairs());

    world.is_whole = true;
    world.run(1_000, &[300.0], 1);
    world.figures = Figures::default();
    world.run(5_000, &[300.0], 1);
    assert!(world.figures.busiest_tenth() <= 7, "{}", world.figures.busiest_tenth());
}
