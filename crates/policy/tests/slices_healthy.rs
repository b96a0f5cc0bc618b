//! Tests that a healthy fleet admits the same calls as a single exact token bucket.

use camphorwalk_bench::limits::{ExactBucket, Fleet, MILLI, SECOND, config};
use camphorwalk_core::hash::rendezvous;
use camphorwalk_core::ids::TenantId;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const RATE: f64 = 20.0;
const BURST: u32 = 10;

/// The delay of a message, and so the time between a call's arrival and the decision on it at
/// another host.
const MESSAGE_DELAY: u64 = MILLI;

/// Sends calls at four fifths of the rate, in bursts of one to three, most of them at one host.
/// Returns the numbers of calls admitted by a single exact bucket at the admission host, and by
/// the fleet.
fn count_admitted(hosts: usize, seed: u64) -> (u64, u64) {
    let config = config(&["a", "b", "c"][..hosts.min(3)], 16, &[("ramps", RATE, BURST)]);
    let mut fleet = Fleet::new(config, hosts, seed);
    fleet.net.delay = (MESSAGE_DELAY, MESSAGE_DELAY + 1);
    let admission_host =
        rendezvous(TenantId::from_name("ramps").0, fleet.nodes.iter().map(|n| n.id.0));
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut decided = Vec::new();
    fleet.run(20 * SECOND);

    for _ in 0..1_000 {
        let entry = if rng.random_bool(0.8) { 0 } else { rng.random_range(0..hosts) };
        let delay = if admission_host == Some(fleet.nodes[entry].id.0) { 0 } else { MESSAGE_DELAY };

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
fn a_healthy_fleet_admits_what_one_bucket_would_admit() {
    // Callers within their rate are refused if the fleet loses refill. When slices are drained
    // one after another, the others stay full, and a full slice loses its refill.
    for hosts in [1, 2, 4, 11] {
        for seed in 0..5 {
            let (expected, admitted) = count_admitted(hosts, seed);

            assert_eq!(admitted, expected, "{hosts} hosts, seed {seed}");
        }
    }
}
