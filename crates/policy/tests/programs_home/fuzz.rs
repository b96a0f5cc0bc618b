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
use crate::targets::SimulatedOutcome;
use crate::world::{HOSTS, PROGRAMS, PlatformMode, World};

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
    Disconnect(usize),
    WithdrawKey {
        host: usize,
        key: u64,
    },
    Run {
        host: usize,
        count: usize,
    },
    RunAll,
    AdvanceTime(u64),
    EndAttempt {
        index: usize,
        outcome: SimulatedOutcome,
    },
    TakeOver {
        host: usize,
        partition: u16,
    },
    Expire {
        host: usize,
        partition: u16,
    },
    Reacquire(u16),
    ReleaseGrants(u16),
    Crash(usize),
    Pause {
        host: usize,
        paused: bool,
    },
    SetPlatformMode(PlatformMode),
    ApplyLateCommit,
    DenyNext,
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
        let outcome = prop_oneof![
            12 => Just(SimulatedOutcome::Done),
            1 => Just(SimulatedOutcome::Failed),
            2 => Just(SimulatedOutcome::Lost),
            1 => Just(SimulatedOutcome::Crashed),
            1 => Just(SimulatedOutcome::NotSent),
            1 => Just(SimulatedOutcome::Refused),
        ];
        let platform_mode = prop_oneof![
            8 => Just(PlatformMode::Mode(Mode::Normal)),
            1 => Just(PlatformMode::Mode(Mode::Unavailable)),
            1 => Just(PlatformMode::Mode(Mode::DropAnswers)),
            1 => Just(PlatformMode::Mode(Mode::DropRequests)),
            1 => Just(PlatformMode::Late),
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
            1 => (0..8usize).prop_map(Action::Disconnect),
            1 => (host.clone(), 0..4u64).prop_map(|(host, key)| Action::WithdrawKey { host, key }),
            8 => (host.clone(), 1..6usize).prop_map(|(host, count)| Action::Run { host, count }),
            40 => Just(Action::RunAll),
            8 => prop_oneof![Just(10u64), Just(60), Just(300), Just(1_500)]
                .prop_map(Action::AdvanceTime),
            30 => (0..4usize, outcome)
                .prop_map(|(index, outcome)| Action::EndAttempt { index, outcome }),
            3 => (host.clone(), 0..2u16)
                .prop_map(|(host, partition)| Action::TakeOver { host, partition }),
            1 => (host.clone(), 0..2u16)
                .prop_map(|(host, partition)| Action::Expire { host, partition }),
            2 => (0..2u16).prop_map(Action::Reacquire),
            2 => (0..2u16).prop_map(Action::ReleaseGrants),
            1 => host.clone().prop_map(Action::Crash),
            3 => (host, prop::bool::weighted(0.2))
                .prop_map(|(host, paused)| Action::Pause { host, paused }),
            4 => platform_mode.prop_map(Action::SetPlatformMode),
            2 => Just(Action::ApplyLateCommit),
            1 => Just(Action::DenyNext),
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
            Action::Disconnect(index) => world.disconnect_caller(index),
            Action::WithdrawKey { host, key } => world.withdraw_key(host, key),
            Action::Run { host, count } => world.run(host, count),
            Action::RunAll => (0..HOSTS).for_each(|host| world.run(host, usize::MAX)),
            Action::AdvanceTime(millis) => world.advance(millis),
            Action::EndAttempt { index, outcome } => world.end_attempt(index, outcome),
            Action::TakeOver { host, partition } => world.take_over(host, partition),
            Action::Expire { host, partition } => world.expire(host, partition),
            Action::ReleaseGrants(partition) => world.release_grants(partition),
            Action::Reacquire(partition) => world.reacquire(partition),
            Action::Crash(host) => world.crash(host),
            Action::Pause { host, paused } => world.pause(host, paused),
            Action::SetPlatformMode(platform_mode) => world.set_platform_mode(platform_mode),
            Action::ApplyLateCommit => world.apply_late_commit(),
            Action::DenyNext => world.deny_next(),
        }

        world
    }

    fn check_invariants(world: &World, _: &()) {
        oracle::check(world);
    }

    fn teardown(mut world: World) {
        let histories = world.finish();

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
