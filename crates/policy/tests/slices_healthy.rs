//! A healthy fleet serves as one exact token bucket would.

use camphorwalk_bench::limits::{ExactBucket, Fleet, MILLI, SECOND, config};
use camphorwalk_core::hash::rendezvous;
use camphorwalk_core::ids::TenantId;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const RATE: f64 = 20.0;
const BURST: u32 = 10;

/// The time of a message, and so how much later than at its entry a call is decided.
const DELAY: u64 = MILLI;

/// Calls at four fifths of the rate, in bursts of one to three, most of them at one host.
/// Returns the calls that one exact bucket at the pool host admits, and those that the
/// fleet admits.
fn admitted(hosts: usize, seed: u64) -> (u64, u64) {
    let cfg = config(&["a", "b", "c"][..hosts.min(3)], 16, &[("ramps", RATE, BURST)]);
    let mut fleet = Fleet::new(cfg, hosts, seed);
    fleet.net.delay = (DELAY, DELAY + 1);
    let pool = rendezvous(TenantId::from_name("ramps").0, fleet.nodes.iter().map(|n| n.id.0));
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut decided = Vec::new();
    fleet.run(20 * SECOND);

    for _ in 0..1_000 {
        let entry = if rng.random_bool(0.8) { 0 } else { rng.random_range(0..hosts) };
        let delay = if pool == Some(fleet.nodes[entry].id.0) { 0 } else { DELAY };

        for _ in 0..rng.random_range(1..=3) {
            decided.push(fleet.now + delay);
            fleet.take(entry, "ramps");
        }

        fleet.run(rng.random_range(0..250 * MILLI));
    }

    fleet.run(SECOND);
    fleet.assert_all_answered();
    decided.sort_unstable();
    let mut exact = ExactBucket::full(BURST);
    let expected = decided.iter().filter(|at| exact.take(**at, RATE, BURST)).count();
    (expected as u64, fleet.admitted_calls())
}

#[test]
fn a_healthy_fleet_refuses_nothing_that_one_bucket_would_take() {
    // A caller within its rate is refused if the fleet wastes refill: slices drained one
    // after another leave the others full, and a full slice loses what flows in.
    for hosts in [1, 2, 4, 11] {
        for seed in 0..5 {
            let (expected, admitted) = admitted(hosts, seed);

            assert_eq!(admitted, expected, "{hosts} hosts, seed {seed}");
        }
    }
}
