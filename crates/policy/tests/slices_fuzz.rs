//! Random faults against the one rule of rates: no window holds more than B + R t.
//!
//! The fleet's own checks run at each step: the exact bucket, one user for each slice, one
//! answer for each question. `CAMPHORWALK_FUZZ_CASES` sets the number of cases.

use std::sync::atomic::{AtomicU64, Ordering};

use camphorwalk_bench::limits::{Fleet, MILLI, Net, SECOND, config};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const HOSTS: usize = 5;
const COLUMNS: usize = 6;
const TENANTS: [&str; 2] = ["ramps", "weddings"];

/// Rates and bursts that operators change between; the last withdraws a tenant.
const FIGURES: [&[(&str, f64, u32)]; 5] = [
    &[("ramps", 4.0, 3), ("weddings", 40.0, 12)],
    &[("ramps", 9.5, 7), ("weddings", 7.3, 2)],
    &[("ramps", 0.7, 1), ("weddings", 90.0, 40)],
    &[("ramps", 30.0, 1), ("weddings", 40.0, 30)],
    &[("ramps", 4.0, 3)],
];

#[derive(Clone, Debug)]
enum Fault {
    /// Calls enter at a host, more than the burst allows.
    Takes {
        host: usize,
        tenant: usize,
        calls: u8,
    },
    /// All hosts get calls for a while, several times the rate.
    Storm {
        millis: u64,
    },
    Run {
        millis: u64,
    },
    Network {
        bad: bool,
    },
    /// Hosts are cut into two sides, and hear of it or not.
    Cut {
        sides: [u8; HOSTS],
        seen: bool,
    },
    /// One host sees a part of the fleet only.
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
        figures: usize,
    },
}

/// Faults need no model: any of them may come at any time.
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
                .prop_map(|(host, tenant, calls)| Fault::Takes { host, tenant, calls }),
            6 => (50..4_000_u64).prop_map(|millis| Fault::Storm { millis }),
            3 => (1..5_000_u64).prop_map(|millis| Fault::Run { millis }),
            1 => any::<bool>().prop_map(|bad| Fault::Network { bad }),
            1 => (prop::array::uniform5(0..2_u8), any::<bool>())
                .prop_map(|(sides, seen)| Fault::Cut { sides, seen }),
            1 => (host.clone(), prop::array::uniform5(any::<bool>()))
                .prop_map(|(host, seen)| Fault::View { host, seen }),
            1 => host.clone().prop_map(|host| Fault::Pause { host }),
            2 => host.clone().prop_map(|host| Fault::Resume { host }),
            1 => host.clone().prop_map(|host| Fault::Kill { host }),
            2 => host.prop_map(|host| Fault::Start { host }),
            1 => (0..COLUMNS, any::<bool>())
                .prop_map(|(column, abruptly)| Fault::Move { column, abruptly }),
            1 => (0..FIGURES.len()).prop_map(|figures| Fault::Configure { figures }),
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
        let mut fleet = Fleet::new(figures(0), HOSTS, *seed);
        fleet.enable_clock_drift();
        fleet.check_users = true;
        fleet.run(6 * SECOND);
        fleet
    }

    fn apply(mut fleet: Fleet, _: &u64, fault: Fault) -> Fleet {
        match fault {
            Fault::Takes { host, tenant, calls } => {
                (0..calls).for_each(|_| fleet.take(host, TENANTS[tenant]));
            }
            Fault::Storm { millis } => storm(&mut fleet, millis),
            Fault::Run { millis } => fleet.run(millis * MILLI),
            Fault::Network { bad } => fleet.net = if bad { Net::UNRELIABLE } else { Net::HEALTHY },
            Fault::Cut { sides, seen } => {
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
            Fault::Configure { figures: which } => fleet.configure(figures(which)),
        }

        fleet
    }

    /// After the faults, the fleet is whole again and serves its rate.
    fn teardown(mut fleet: Fleet) {
        fleet.net = Net::HEALTHY;
        fleet.partition_side = vec![0; HOSTS];
        (0..HOSTS).for_each(|host| fleet.resume(host));
        fleet.configure(figures(0));

        for host in 0..HOSTS {
            if !fleet.is_running(host) {
                fleet.start(host);
            }
        }

        fleet.update_visible_hosts();
        fleet.run(15 * SECOND);
        fleet.assert_all_answered();
        count(fleet.steps);

        for &(tenant, _, burst) in FIGURES[0] {
            let before = fleet.admitted_calls();
            (0..burst).for_each(|_| fleet.take(0, tenant));
            fleet.run(SECOND);
            let admitted = fleet.admitted_calls() - before;
            assert_eq!(admitted, u64::from(burst), "{tenant} after all faults");
        }
    }
}

fn figures(which: usize) -> std::sync::Arc<camphorwalk_core::config::Config> {
    config(&["a", "b"], COLUMNS as u16, FIGURES[which])
}

/// Calls for all tenants at all hosts, every 20 milliseconds.
fn storm(fleet: &mut Fleet, millis: u64) {
    for _ in 0..millis / 20 {
        for host in 0..HOSTS {
            TENANTS.iter().for_each(|tenant| fleet.take(host, tenant));
        }

        fleet.run(20 * MILLI);
    }
}

/// Counts what ran, for the report of a run with `--nocapture`.
fn count(steps: u64) {
    static RAN: AtomicU64 = AtomicU64::new(0);
    static STEPS: AtomicU64 = AtomicU64::new(0);

    let ran = RAN.fetch_add(1, Ordering::Relaxed) + 1;
    let steps = STEPS.fetch_add(steps, Ordering::Relaxed) + steps;

    if ran == u64::from(cases()) {
        println!("{ran} cases, {steps} steps of hosts");
    }
}

fn cases() -> u32 {
    std::env::var("CAMPHORWALK_FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(24)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(0x51_1ce5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_holds_more_than_the_rate_and_burst(
        sequential 1..60 => SlicesUnderFaults
    );
}
