//! The faults. `CAMPHORWALK_FUZZ_CASES` sets the number of cases; the seed is fixed.

use std::marker::PhantomData;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::store::Mode;
use crate::world::{BUDGETS, Cut, Fleet, HOSTS, MOST, Net};

/// The cases that run if the environment does not say.
const CASES: u32 = 150;

/// The variable that says how many cases run.
const CASES_VAR: &str = "CAMPHORWALK_FUZZ_CASES";

#[derive(Clone, Debug)]
enum Fault {
    Turn {
        host: usize,
        place: usize,
        used: u64,
        millis: u64,
    },
    /// Turns that come one after the other, or tries of one.
    Line {
        host: usize,
        place: usize,
        count: u8,
        pause: u64,
    },
    /// The turns of sub-agents come together.
    Turns {
        hosts: [bool; HOSTS],
        place: usize,
        used: u64,
    },
    /// A turn that continues none.
    FirstTurn {
        host: usize,
        place: usize,
    },
    Run {
        millis: u64,
    },
    /// The store answers all hosts so.
    Store(Mode),
    /// The store answers one host so.
    StoreOf(usize, Mode),
    Net(Net),
    Cut(Cut),
    Kill(usize),
    /// All hosts lose their memory at once.
    KillAll,
    Start(usize),
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
        let place = 0..BUDGETS.len();
        let used = prop_oneof![Just(MOST), Just(0), 0..=MOST];
        let mode = prop_oneof![
            4 => Just(Mode::Up),
            3 => Just(Mode::Away),
            1 => Just(Mode::Refuses),
            1 => Just(Mode::Slow),
            1 => Just(Mode::AnswersLost),
            1 => Just(Mode::Late),
        ];
        let cut = prop_oneof![
            2 => Just(Cut::Nothing),
            1 => host.clone().prop_map(Cut::Host),
            1 => (0..3_usize).prop_map(Cut::Zone),
        ];
        let millis = prop_oneof![
            6 => 1..100_u64,
            4 => 100..1_000_u64,
            2 => 1_000..5_000_u64,
            1 => 5_000..40_000_u64,
        ];

        prop_oneof![
            12 => (host.clone(), place.clone(), used.clone(), 1..2_000_u64).prop_map(
                |(host, place, used, millis)| Fault::Turn { host, place, used, millis }
            ),
            8 => (host.clone(), place.clone(), 2..6_u8, 10..300_u64)
                .prop_map(|(host, place, count, pause)| Fault::Line { host, place, count, pause }),
            4 => (prop::array::uniform5(any::<bool>()), place, used)
                .prop_map(|(hosts, place, used)| Fault::Turns { hosts, place, used }),
            16 => millis.prop_map(|millis| Fault::Run { millis }),
            4 => mode.clone().prop_map(Fault::Store),
            2 => (host.clone(), mode).prop_map(|(host, mode)| Fault::StoreOf(host, mode)),
            1 => prop_oneof![Just(Net::Good), Just(Net::Bad)].prop_map(Fault::Net),
            4 => cut.prop_map(Fault::Cut),
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

/// The faults, with programs that have run and send turns that continue none.
struct FaultsAndFirstTurns;

impl ReferenceStateMachine for FaultsAndFirstTurns {
    type State = u64;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<u64> {
        Faults::init_state()
    }

    fn transitions(state: &u64) -> BoxedStrategy<Fault> {
        let first_turn =
            (0..HOSTS, 0..BUDGETS.len()).prop_map(|(host, place)| Fault::FirstTurn { host, place });

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
            Fault::Turn { host, place, used, millis } => {
                fleet.turn(host, place, used, Duration::from_millis(millis));
            }
            Fault::Line { host, place, count, pause } => {
                for _ in 0..count {
                    fleet.turn(host, place, MOST, Duration::from_millis(1));
                    fleet.run(Duration::from_millis(pause));
                }
            }
            Fault::Turns { hosts, place, used } => {
                for host in (0..HOSTS).filter(|host| hosts[*host]) {
                    fleet.turn(host, place, used, Duration::from_millis(200));
                }
            }
            Fault::FirstTurn { host, place } => {
                fleet.first_turn(host, place, MOST, Duration::from_millis(1));
            }
            Fault::Run { millis } => fleet.run(Duration::from_millis(millis)),
            Fault::Store(mode) => fleet.store(None, mode),
            Fault::StoreOf(host, mode) => fleet.store(Some(host), mode),
            Fault::Net(net) => fleet.world.net.set(net),
            Fault::Cut(cut) => fleet.cut(cut),
            Fault::Kill(host) => fleet.kill(host),
            Fault::KillAll => fleet.kill_all(),
            Fault::Start(host) => fleet.start(host),
        }

        fleet
    }

    /// After the faults, each program gets a certain answer at each host.
    fn teardown(mut fleet: Fleet) {
        fleet.heal();
        fleet.assert_all_answered();
    }
}

/// Returns the fixed seed and the number of cases.
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
