//! Runs random sequences of faults that `fuzz` leaves out: any groups of hosts are cut off from each
//! other, in both directions or in one, hosts are killed whatever they hold, freeze and go on, or
//! are shut down, and programs run on for minutes. `CAMPHORWALK_FUZZ_CASES` sets the number of cases;
//! the seed is fixed.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::store::Mode;
use crate::world::{BUDGETS, Cuts, Fleet, HOSTS, MAX_TOKENS, Net};

/// The number of cases if the environment variable is not set.
const CASES: u32 = 40;

/// The environment variable that sets the number of cases.
const CASES_VAR: &str = "CAMPHORWALK_FUZZ_CASES";

type Group = [bool; HOSTS];

#[derive(Clone, Debug)]
enum Fault {
    /// Successive turns, or repeated attempts of one turn.
    Turns {
        host: usize,
        index: usize,
        used: u64,
        count: u8,
        pause: u64,
    },
    /// Simultaneous turns of sub-agents.
    SimultaneousTurns {
        hosts: Group,
        index: usize,
        used: u64,
        millis: u64,
    },
    /// A program that runs on for a while, in turn on two hosts.
    LongRun {
        hosts: [usize; 2],
        index: usize,
        used: u64,
        count: u8,
        seconds: u64,
    },
    Run {
        millis: u64,
    },
    /// Sets how the store behaves toward a group of hosts.
    Store(Group, Mode),
    Net(Net),
    /// Cuts a group of hosts off from the others.
    CutOff(Group),
    /// The messages from a group of hosts to the others are lost.
    CutOneWay(Group),
    /// The messages from one host to another are lost.
    CutLink(usize, usize),
    HealNet,
    /// Kills a group of hosts, whatever they hold.
    Kill(Group),
    /// Kills a group of hosts, whatever they hold, and restarts them.
    Restart(Group),
    /// Shuts a host down, and starts it again if the second value is true.
    ShutDown(usize, bool),
    Start(usize),
    /// A host does not run for a while, and then goes on.
    Freeze {
        host: usize,
        millis: u64,
    },
}

/// Faults need no model state, since each of them may occur at any time.
struct WideFaults;

fn turns() -> BoxedStrategy<Fault> {
    let host = 0..HOSTS;
    let index = 0..BUDGETS.len();
    let used = prop_oneof![3 => Just(MAX_TOKENS), 1 => Just(0), 1 => 0..=MAX_TOKENS];

    prop_oneof![
        5 => (host.clone(), index.clone(), used.clone(), 1..6_u8, 10..1_300_u64).prop_map(
            |(host, index, used, count, pause)| Fault::Turns { host, index, used, count, pause }
        ),
        2 => (prop::array::uniform5(any::<bool>()), index.clone(), used.clone(), 1..2_000_u64)
            .prop_map(|(hosts, index, used, millis)| {
                Fault::SimultaneousTurns { hosts, index, used, millis }
            }),
        1 => ([host.clone(), host], index, prop_oneof![Just(0), Just(1), used], 2..8_u8, 2..40_u64)
            .prop_map(|(hosts, index, used, count, seconds)| {
                Fault::LongRun { hosts, index, used, count, seconds }
            }),
    ]
    .boxed()
}

fn faults() -> BoxedStrategy<Fault> {
    let host = 0..HOSTS;
    let group = || {
        prop_oneof![
            2 => prop::array::uniform5(any::<bool>()),
            1 => (0..HOSTS).prop_map(|host| std::array::from_fn(|other| other == host)),
        ]
    };
    let mode = prop_oneof![
        3 => Just(Mode::Up),
        4 => Just(Mode::Down),
        1 => Just(Mode::Refuses),
        1 => Just(Mode::Slow),
        1 => Just(Mode::AnswersLost),
        1 => Just(Mode::Late),
    ];

    prop_oneof![
        4 => (group(), mode.clone()).prop_map(|(group, mode)| Fault::Store(group, mode)),
        3 => mode.prop_map(|mode| Fault::Store([true; HOSTS], mode)),
        1 => prop_oneof![Just(Net::Good), Just(Net::Bad)].prop_map(Fault::Net),
        3 => group().prop_map(Fault::CutOff),
        2 => group().prop_map(Fault::CutOneWay),
        1 => (host.clone(), host.clone()).prop_map(|(from, to)| Fault::CutLink(from, to)),
        3 => Just(Fault::HealNet),
        2 => group().prop_map(Fault::Kill),
        3 => group().prop_map(Fault::Restart),
        1 => (host.clone(), any::<bool>()).prop_map(|(host, back)| Fault::ShutDown(host, back)),
        2 => host.clone().prop_map(Fault::Start),
        3 => (host, 1_000..40_000_u64).prop_map(|(host, millis)| Fault::Freeze { host, millis }),
    ]
    .boxed()
}

impl ReferenceStateMachine for WideFaults {
    type State = u64;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Fault> {
        let millis = prop_oneof![
            8 => 1..1_000_u64,
            4 => 1_000..8_000_u64,
            2 => 8_000..35_000_u64,
            1 => 35_000..120_000_u64,
        ];

        prop_oneof![
            5 => turns(),
            4 => millis.prop_map(|millis| Fault::Run { millis }),
            4 => faults(),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Fault) -> u64 {
        state
    }
}

fn members(group: Group) -> impl Iterator<Item = usize> {
    (0..HOSTS).filter(move |host| group[*host])
}

impl StateMachineTest for WideFaults {
    type SystemUnderTest = Fleet;
    type Reference = Self;

    fn init_test(seed: &u64) -> Fleet {
        Fleet::new(*seed)
    }

    fn apply(mut fleet: Fleet, _: &u64, fault: Fault) -> Fleet {
        let short = Duration::from_millis(1);

        match fault {
            Fault::Turns { host, index, used, count, pause } => {
                for _ in 0..count {
                    fleet.turn_of_attempt(host, index, used, short);
                    fleet.run(Duration::from_millis(pause));
                }
            }
            Fault::SimultaneousTurns { hosts, index, used, millis } => {
                members(hosts).for_each(|host| {
                    fleet.turn_of_attempt(host, index, used, Duration::from_millis(millis));
                });
            }
            Fault::LongRun { hosts, index, used, count, seconds } => {
                for host in hosts.into_iter().cycle().take(count.into()) {
                    fleet.turn_of_attempt(host, index, used, short);
                    fleet.run(Duration::from_secs(seconds));
                }
            }
            Fault::Run { millis } => fleet.run(Duration::from_millis(millis)),
            Fault::Store(group, mode) => {
                members(group).for_each(|host| fleet.store(Some(host), mode));
            }
            Fault::Net(net) => fleet.world.net.set(net),
            Fault::CutOff(group) => {
                fleet.cut(|from| group[from], |to| !group[to]);
                fleet.cut(|from| !group[from], |to| group[to]);
            }
            Fault::CutOneWay(group) => fleet.cut(|from| group[from], |to| !group[to]),
            Fault::CutLink(a, b) => fleet.cut(|from| from == a, |to| to == b),
            Fault::HealNet => fleet.world.cuts.set(Cuts::default()),
            Fault::Kill(group) => members(group).for_each(|host| fleet.kill_anyway(host)),
            Fault::Restart(group) => fleet.kill_at_once(&Vec::from_iter(members(group))),
            Fault::ShutDown(host, is_back) => {
                fleet.shut_down_anyway(host);
                if is_back {
                    fleet.start(host);
                }
            }
            Fault::Start(host) => fleet.start(host),
            Fault::Freeze { host, millis } => fleet.freeze(host, Duration::from_millis(millis)),
        }

        fleet
    }

    /// After the faults, each program gets a definite answer on each host.
    fn teardown(mut fleet: Fleet) {
        fleet.heal();
        fleet.assert_all_answered();
    }
}

/// Returns the configuration with the fixed seed and the number of cases.
fn config() -> Config {
    let cases = std::env::var(CASES_VAR).ok().and_then(|text| text.parse().ok());

    Config {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn no_program_spends_more_than_its_budget_under_wide_faults(sequential 1..60 => WideFaults);
}
