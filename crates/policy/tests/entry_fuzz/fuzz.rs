//! Runs random sequences of faults. `CAMPHORWALK_FUZZ_CASES` sets the number of cases; the seed is
//! fixed.

use std::marker::PhantomData;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::store::Mode;
use crate::world::{BUDGETS, Fleet, HOSTS, MAX_TOKENS, Net, Partition};

/// The number of cases if the environment variable is not set.
const CASES: u32 = 150;

/// The environment variable that sets the number of cases.
const CASES_VAR: &str = "CAMPHORWALK_FUZZ_CASES";

#[derive(Clone, Debug)]
enum Fault {
    Turn {
        host: usize,
        index: usize,
        used: u64,
        millis: u64,
    },
    /// Successive turns, or repeated attempts of one turn.
    TurnSequence {
        host: usize,
        index: usize,
        count: u8,
        pause: u64,
    },
    /// Simultaneous turns of sub-agents.
    SimultaneousTurns {
        hosts: [bool; HOSTS],
        index: usize,
        used: u64,
    },
    /// A turn that continues no earlier one.
    FirstTurn {
        host: usize,
        index: usize,
    },
    Run {
        millis: u64,
    },
    /// Sets how the store behaves toward all hosts.
    Store(Mode),
    /// Sets how the store behaves toward one host.
    StoreOf(usize, Mode),
    Net(Net),
    Partition(Partition),
    Kill(usize),
    /// All hosts lose their memory at the same time.
    KillAll,
    Start(usize),
}

/// Faults need no model state, since each of them may occur at any time.
struct Faults;

impl ReferenceStateMachine for Faults {
    type State = u64;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Fault> {
        let host = 0..HOSTS;
        let index = 0..BUDGETS.len();
        let used = prop_oneof![Just(MAX_TOKENS), Just(0), 0..=MAX_TOKENS];
        let mode = prop_oneof![
            4 => Just(Mode::Up),
            3 => Just(Mode::Down),
            1 => Just(Mode::Refuses),
            1 => Just(Mode::Slow),
            1 => Just(Mode::AnswersLost),
            1 => Just(Mode::Late),
        ];
        let partition = prop_oneof![
            2 => Just(Partition::None),
            1 => host.clone().prop_map(Partition::Host),
            1 => (0..3_usize).prop_map(Partition::Zone),
        ];
        let millis = prop_oneof![
            6 => 1..100_u64,
            4 => 100..1_000_u64,
            2 => 1_000..5_000_u64,
            1 => 5_000..40_000_u64,
        ];

        prop_oneof![
            12 => (host.clone(), index.clone(), used.clone(), 1..2_000_u64).prop_map(
                |(host, index, used, millis)| Fault::Turn { host, index, used, millis }
            ),
            8 => (host.clone(), index.clone(), 2..6_u8, 10..300_u64).prop_map(
                |(host, index, count, pause)| Fault::TurnSequence { host, index, count, pause }
            ),
            4 => (prop::array::uniform5(any::<bool>()), index, used)
                .prop_map(|(hosts, index, used)| Fault::SimultaneousTurns { hosts, index, used }),
            16 => millis.prop_map(|millis| Fault::Run { millis }),
            4 => mode.clone().prop_map(Fault::Store),
            2 => (host.clone(), mode).prop_map(|(host, mode)| Fault::StoreOf(host, mode)),
            1 => prop_oneof![Just(Net::Good), Just(Net::Bad)].prop_map(Fault::Net),
            4 => partition.prop_map(Fault::Partition),
            1 => host.clone().prop_map(Fault::Kill),
            1 => Just(Fault::KillAll),
            2 => host.prop_map(Fault::Start),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Fault) -> u64 {
        state
    }
}

/// The same faults, with additional turns that continue no earlier one although their programs have
/// run before.
struct FaultsAndFirstTurns;

impl ReferenceStateMachine for FaultsAndFirstTurns {
    type State = u64;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<u64> {
        Faults::init_state()
    }

    fn transitions(state: &u64) -> BoxedStrategy<Fault> {
        let first_turn =
            (0..HOSTS, 0..BUDGETS.len()).prop_map(|(host, index)| Fault::FirstTurn { host, index });

        prop_oneof![9 => Faults::transitions(state), 1 => first_turn].boxed()
    }

    fn apply(state: u64, fault: &Fault) -> u64 {
        Faults::apply(state, fault)
    }
}

struct BudgetsUnder<R>(PhantomData<R>);

impl<R: ReferenceStateMachine<State = u64, Transition = Fault>> StateMachineTest
    for BudgetsUnder<R>
{
    type SystemUnderTest = Fleet;
    type Reference = R;

    fn init_test(seed: &u64) -> Fleet {
        Fleet::new(*seed)
    }

    fn apply(mut fleet: Fleet, _: &u64, fault: Fault) -> Fleet {
        match fault {
            Fault::Turn { host, index, used, millis } => {
                fleet.turn(host, index, used, Duration::from_millis(millis));
            }
            Fault::TurnSequence { host, index, count, pause } => {
                for _ in 0..count {
                    fleet.turn(host, index, MAX_TOKENS, Duration::from_millis(1));
                    fleet.run(Duration::from_millis(pause));
                }
            }
            Fault::SimultaneousTurns { hosts, index, used } => {
                for host in (0..HOSTS).filter(|host| hosts[*host]) {
                    fleet.turn(host, index, used, Duration::from_millis(200));
                }
            }
            Fault::FirstTurn { host, index } => {
                fleet.first_turn(host, index, MAX_TOKENS, Duration::from_millis(1));
            }
            Fault::Run { millis } => fleet.run(Duration::from_millis(millis)),
            Fault::Store(mode) => fleet.store(None, mode),
            Fault::StoreOf(host, mode) => fleet.store(Some(host), mode),
            Fault::Net(net) => fleet.world.net.set(net),
            Fault::Partition(partition) => fleet.partition(partition),
            Fault::Kill(host) => fleet.kill(host),
            Fault::KillAll => fleet.kill_all(),
            Fault::Start(host) => fleet.start(host),
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
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn no_program_spends_more_than_its_budget(sequential 1..80 => BudgetsUnder<Faults>);

    #[test]
    fn no_program_whose_turns_begin_anew_spends_more_than_its_budget(
        sequential 1..80 => BudgetsUnder<FaultsAndFirstTurns>
    );
}
