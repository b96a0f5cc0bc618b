//! Random calls, repeats, crashes, pauses, lease changes and lost answers, checked by an
//! oracle.
//!
//! The oracle checks every step, and the histories at the end. The seed is fixed;
//! `CAMPHORWALK_FUZZ_CASES` sets the number of cases.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::fixture::Mode;
use crate::oracle;
use crate::targets::Fate;
use crate::world::{HOSTS, PROGRAMS, Weather, World};

/// The default number of cases.
const CASES: u32 = 600;

/// The number of steps in each case.
const STEPS: usize = 250;

/// The environment variable that sets the number of cases.
const CASES_VAR: &str = "CAMPHORWALK_FUZZ_CASES";

/// One random action.
#[derive(Clone, Debug)]
pub enum Action {
    Open(usize),
    /// A call, sent to the partition's most recent lease holder unless `host` is given.
    Call {
        host: Option<usize>,
        program: usize,
        key: usize,
        lag: u32,
        with_tail: bool,
    },
    HangUp(usize),
    Withdraw {
        host: usize,
        key: u64,
    },
    Run {
        host: usize,
        count: usize,
    },
    RunAll,
    Pass(u64),
    Reach {
        index: usize,
        fate: Fate,
    },
    TakeOver {
        host: usize,
        partition: u16,
    },
    Expire {
        host: usize,
        partition: u16,
    },
    Regain(u16),
    Settle(u16),
    Die(usize),
    Pause {
        host: usize,
        paused: bool,
    },
    Weather(Weather),
    Land,
    Deny,
}

/// Generates actions independently of the state under test.
pub struct Actions;

impl ReferenceStateMachine for Actions {
    type State = ();
    type Transition = Action;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Action> {
        let host = 0..HOSTS;
        let fate = prop_oneof![
            12 => Just(Fate::Done),
            1 => Just(Fate::Failed),
            2 => Just(Fate::Lost),
            1 => Just(Fate::Crashed),
            1 => Just(Fate::NotSent),
            1 => Just(Fate::Refused),
        ];
        let weather = prop_oneof![
            8 => Just(Weather::Mode(Mode::Up)),
            1 => Just(Weather::Mode(Mode::Away)),
            1 => Just(Weather::Mode(Mode::AnswersLost)),
            1 => Just(Weather::Mode(Mode::RequestsLost)),
            1 => Just(Weather::Late),
        ];

        let call = (
            prop::option::weighted(0.12, host.clone()),
            0..PROGRAMS.len(),
            0..24usize,
            prop_oneof![9 => Just(0u32), 1 => 1..3u32],
            prop::bool::weighted(0.8),
        );

        prop_oneof![
            2 => (0..PROGRAMS.len()).prop_map(Action::Open),
            20 => call.prop_map(|(host, program, key, lag, with_tail)| {
                Action::Call { host, program, key, lag, with_tail }
            }),
            1 => (0..8usize).prop_map(Action::HangUp),
            1 => (host.clone(), 0..4u64).prop_map(|(host, key)| Action::Withdraw { host, key }),
            8 => (host.clone(), 1..6usize).prop_map(|(host, count)| Action::Run { host, count }),
            40 => Just(Action::RunAll),
            8 => prop_oneof![Just(10u64), Just(60), Just(300), Just(1_500)].prop_map(Action::Pass),
            30 => (0..4usize, fate).prop_map(|(index, fate)| Action::Reach { index, fate }),
            3 => (host.clone(), 0..2u16)
                .prop_map(|(host, partition)| Action::TakeOver { host, partition }),
            1 => (host.clone(), 0..2u16)
                .prop_map(|(host, partition)| Action::Expire { host, partition }),
            2 => (0..2u16).prop_map(Action::Regain),
            2 => (0..2u16).prop_map(Action::Settle),
            1 => host.clone().prop_map(Action::Die),
            3 => (host, prop::bool::weighted(0.2))
                .prop_map(|(host, paused)| Action::Pause { host, paused }),
            4 => weather.prop_map(Action::Weather),
            2 => Just(Action::Land),
            1 => Just(Action::Deny),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Action) {}
}

/// Applies the actions to [`World`].
pub struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = Actions;

    fn init_test(_: &()) -> World {
        let mut world = World::new();
        world.take_over(0, 0);
        world.take_over(1, 1);
        (0..HOSTS).for_each(|host| world.run(host, usize::MAX));
        world.open(0, 0);
        world.open(1, 2);
        (0..HOSTS).for_each(|host| world.run(host, usize::MAX));
        world.open(0, 1);

        world
    }

    fn apply(mut world: World, _: &(), action: Action) -> World {
        match action {
            Action::Open(program) => world.open(world.holder(program), program),
            Action::Call { host, program, key, lag, with_tail } => {
                let host = host.unwrap_or(world.holder(program));
                world.call(host, program, key, lag, with_tail);
            }
            Action::HangUp(index) => world.hang_up(index),
            Action::Withdraw { host, key } => world.withdraw(host, key),
            Action::Run { host, count } => world.run(host, count),
            Action::RunAll => (0..HOSTS).for_each(|host| world.run(host, usize::MAX)),
            Action::Pass(millis) => world.pass(millis),
            Action::Reach { index, fate } => world.reach(index, fate),
            Action::TakeOver { host, partition } => world.take_over(host, partition),
            Action::Expire { host, partition } => world.expire(host, partition),
            Action::Settle(partition) => world.settle_grants(partition),
            Action::Regain(partition) => world.regain(partition),
            Action::Die(host) => world.die(host),
            Action::Pause { host, paused } => world.pause(host, paused),
            Action::Weather(weather) => world.set_weather(weather),
            Action::Land => world.land(),
            Action::Deny => world.deny(),
        }

        world
    }

    fn check_invariants(world: &World, _: &()) {
        oracle::check(world);
    }

    fn teardown(mut world: World) {
        let histories = world.settle();

        oracle::check(&world);
        world.check_answers();
        oracle::check_histories(&world, &histories);
    }
}

/// Returns the configuration, with a fixed seed and the number of cases.
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
    fn homes_keep_what_they_promise(sequential STEPS..STEPS + 1 => Fuzz);
}
