//! Tests with random faults that no period of length t contains more than B + R t admitted calls.
//!
//! The fleet's own checks run at each step: the exact bucket, one user for each slice, one answer
//! for each request. `CAMPHORWALK_FUZZ_CASES` sets the number of cases.

use std::sync::atomic::{AtomicU64, Ordering};

use camphorwalk_bench::limits::{Fleet, MILLI, Net, SECOND, config};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const HOSTS: usize = 5;
const COLUMNS: usize = 6;
const TENANTS: [&str; 2] = ["ramps", "weddings"];

/// The rates and bursts that operators switch between. The last entry withdraws a tenant.
const LIMITS: [&[(&str, f64, u32)]; 5] = [
    &[("ramps", 4.0, 3), ("weddings", 40.0, 12)],
    &[("ramps", 9.5, 7), ("weddings", 7.3, 2)],
    &[("ramps", 0.7, 1), ("weddings", 90.0, 40)],
    &[("ramps", 30.0, 1), ("weddings", 40.0, 30)],
    &[("ramps", 4.0, 3)],
];

#[derive(Clone, Debug)]
enum Fault {
    /// Sends up to 29 calls at a host, which may be more than the burst.
    Calls {
        host: usize,
        tenant: usize,
        calls: u8,
    },
    /// Sends calls at all hosts for some time, at several times the rate.
    CallsAtAllHosts {
        millis: u64,
    },
    Advance {
        millis: u64,
    },
    Network {
        bad: bool,
    },
    /// Partitions the hosts into two sides. `seen` says whether the hosts' views are updated.
    Partition {
        sides: [u8; HOSTS],
        seen: bool,
    },
    /// Sets the hosts that one host regards as reachable.
    View {
        host: usize,
        seen: [bool; HOSTS],
    },
    Pause {
        host: usize,
    },
    Resume {
        host: usize,
    },
    Kill {
        host: usize,
    },
    Start {
        host: usize,
    },
    Move {
        column: usize,
        abruptly: bool,
    },
    Configure {
        limits: usize,
    },
}

/// The faults do not depend on a reference state: any of them may occur at any time.
struct Faults;

impl ReferenceStateMachine for Faults {
    type State = u64;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Fault> {
        let host = 0..HOSTS;

        prop_oneof![
            4 => (host.clone(), 0..TENANTS.len(), 1..30_u8)
                .prop_map(|(host, tenant, calls)| Fault::Calls { host, tenant, calls }),
            6 => (50..4_000_u64).prop_map(|millis| Fault::CallsAtAllHosts { millis }),
            3 => (1..5_000_u64).prop_map(|millis| Fault::Advance { millis }),
            1 => any::<bool>().prop_map(|bad| Fault::Network { bad }),
            1 => (prop::array::uniform5(0..2_u8), any::<bool>())
                .prop_map(|(sides, seen)| Fault::Partition { sides, seen }),
            1 => (host.clone(), prop::array::uniform5(any::<bool>()))
                .prop_map(|(host, seen)| Fault::View { host, seen }),
            1 => host.clone().prop_map(|host| Fault::Pause { host }),
            2 => host.clone().prop_map(|host| Fault::Resume { host }),
            1 => host.clone().prop_map(|host| Fault::Kill { host }),
            2 => host.prop_map(|host| Fault::Start { host }),
            1 => (0..COLUMNS, any::<bool>())
                .prop_map(|(column, abruptly)| Fault::Move { column, abruptly }),
            1 => (0..LIMITS.len()).prop_map(|limits| Fault::Configure { limits }),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Fault) -> u64 {
        state
    }
}

struct SlicesUnderFaults;

impl StateMachineTest for SlicesUnderFaults {
    type SystemUnderTest = Fleet;
    type Reference = Faults;

    fn init_test(seed: &u64) -> Fleet {
        let mut fleet = Fleet::new(config_with_limits(0), HOSTS, *seed);
        fleet.enable_clock_drift();
        fleet.check_users = true;
        fleet.run(6 * SECOND);
        fleet
    }

    fn apply(mut fleet: Fleet, _: &u64, fault: Fault) -> Fleet {
        match fault {
            Fault::Calls { host, tenant, calls } => {
                (0..calls).for_each(|_| fleet.take(host, TENANTS[tenant]));
            }
            Fault::CallsAtAllHosts { millis } => send_calls_at_all_hosts(&mut fleet, millis),
            Fault::Advance { millis } => fleet.run(millis * MILLI),
            Fault::Network { bad } => fleet.net = if bad { Net::UNRELIABLE } else { Net::HEALTHY },
            Fault::Partition { sides, seen } => {
                fleet.partition_side = sides.to_vec();
                if seen {
                    fleet.update_visible_hosts();
                }
            }
            Fault::View { host, seen } => fleet.set_visible_hosts(host, |other| seen[other]),
            Fault::Pause { host } => fleet.pause(host),
            Fault::Resume { host } => fleet.resume(host),
            Fault::Kill { host } => fleet.kill(host),
            Fault::Start { host } => {
                fleet.kill(host);
                fleet.start(host);
                fleet.update_visible_hosts();
            }
            Fault::Move { column, abruptly } => fleet.move_column(column, abruptly),
            Fault::Configure { limits: which } => fleet.configure(config_with_limits(which)),
        }

        fleet
    }

    /// Ends all faults, and checks that the fleet then serves its rate.
    fn teardown(mut fleet: Fleet) {
        fleet.net = Net::HEALTHY;
        fleet.partition_side = vec![0; HOSTS];
        (0..HOSTS).for_each(|host| fleet.resume(host));
        fleet.configure(config_with_limits(0));

        for host in 0..HOSTS {
            if !fleet.is_running(host) {
                fleet.start(host);
            }
        }

        fleet.update_visible_hosts();
        fleet.run(15 * SECOND);
        fleet.assert_all_answered();
        count_steps(fleet.steps);

        for &(tenant, _, burst) in LIMITS[0] {
            let before = fleet.admitted_calls();
            (0..burst).for_each(|_| fleet.take(0, tenant));
            fleet.run(SECOND);
            let admitted = fleet.admitted_calls() - before;
            assert_eq!(admitted, u64::from(burst), "{tenant} after all faults");
        }
    }
}

fn config_with_limits(which: usize) -> std::sync::Arc<camphorwalk_core::config::Config> {
    config(&["a", "b"], COLUMNS as u16, LIMITS[which])
}

/// Sends calls of all tenants at all hosts every 20 milliseconds.
fn send_calls_at_all_hosts(fleet: &mut Fleet, millis: u64) {
    for _ in 0..millis / 20 {
        for host in 0..HOSTS {
            TENANTS.iter().for_each(|tenant| fleet.take(host, tenant));
        }

        fleet.run(20 * MILLI);
    }
}

/// Counts the cases and steps, and prints them after the last case (shown with `--nocapture`).
fn count_steps(steps: u64) {
    static CASES: AtomicU64 = AtomicU64::new(0);
    static STEPS: AtomicU64 = AtomicU64::new(0);

    let cases = CASES.fetch_add(1, Ordering::Relaxed) + 1;
    let steps = STEPS.fetch_add(steps, Ordering::Relaxed) + steps;

    if cases == u64::from(case_count()) {
        println!("{cases} cases, {steps} steps of hosts");
    }
}

fn case_count() -> u32 {
    std::env::var("CAMPHORWALK_FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(24)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: case_count(),
        rng_seed: RngSeed::Fixed(0x51_1ce5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_period_contains_more_calls_than_rate_and_burst_allow(
        sequential 1..60 => SlicesUnderFaults
    );
}
