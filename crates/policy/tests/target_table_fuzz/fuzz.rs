//! The random faults. `CAMPHORWALK_FUZZ_CASES` sets the number of cases; the seed is fixed.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::targets::{Step, TARGETS};
use crate::world::{HOSTS, Link, Mode, Outage, World};

/// The default number of cases.
const CASES: u32 = 150;

/// The environment variable that sets the number of cases.
const CASES_VAR: &str = "CAMPHORWALK_FUZZ_CASES";

#[derive(Clone, Debug)]
enum Fault {
    Step(usize, Step),
    /// Several steps at the same time.
    Burst(Vec<(usize, Step)>),
    WriteElsewhere,
    DropHistory,
    Run(u64),
    Outage(Option<Outage>),
    Mode(usize, Mode),
    Link(usize, Link),
    Start(usize),
    Kill(usize),
}

/// Generates the faults. There is no model, since any fault may occur at any time.
struct Faults;

impl ReferenceStateMachine for Faults {
    type State = u64;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Fault> {
        let host = 0..HOSTS;
        let step = (0..TARGETS, step());

        prop_oneof![
            8 => step.clone().prop_map(|(target, step)| Fault::Step(target, step)),
            3 => prop::collection::vec(step, 2..8).prop_map(Fault::Burst),
            1 => Just(Fault::WriteElsewhere),
            2 => Just(Fault::DropHistory),
            14 => millis().prop_map(Fault::Run),
            3 => outage().prop_map(Fault::Outage),
            4 => (host.clone(), mode()).prop_map(|(host, mode)| Fault::Mode(host, mode)),
            3 => (host.clone(), link()).prop_map(|(host, link)| Fault::Link(host, link)),
            2 => host.clone().prop_map(Fault::Start),
            1 => host.prop_map(Fault::Kill),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Fault) -> u64 {
        state
    }
}

fn step() -> impl Strategy<Value = Step> + Clone {
    prop_oneof![
        6 => Just(Step::Start),
        2 => Just(Step::Drain),
        4 => Just(Step::Leave),
        2 => Just(Step::Replace),
        2 => Just(Step::StartAndLeave),
        1 => Just(Step::Crash),
        1 => Just(Step::Corrupt),
    ]
}

fn millis() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => 1..100_u64,
        5 => 100..1_000_u64,
        6 => 1_000..5_000_u64,
        2 => 5_000..15_000_u64,
    ]
}

fn outage() -> impl Strategy<Value = Option<Outage>> {
    prop_oneof![
        2 => Just(None),
        1 => Just(Some(Outage::Expiring)),
        1 => Just(Some(Outage::Holding)),
    ]
}

fn mode() -> impl Strategy<Value = Mode> {
    prop_oneof![
        3 => Just(Mode::Up),
        1 => Just(Mode::Refuses),
        1 => Just(Mode::Silent),
        1 => Just(Mode::LosesAnswers),
        1 => Just(Mode::Late),
    ]
}

fn link() -> impl Strategy<Value = Link> {
    prop_oneof![2 => Just(Link::Good), 1 => Just(Link::Lossy), 1 => Just(Link::Partitioned)]
}

struct TablesUnderFaults;

impl StateMachineTest for TablesUnderFaults {
    type SystemUnderTest = World;
    type Reference = Faults;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    fn apply(mut world: World, _: &u64, fault: Fault) -> World {
        match fault {
            Fault::Step(target, step) => world.step(target, step),
            Fault::Burst(steps) => {
                steps.into_iter().for_each(|(target, step)| world.step(target, step));
            }
            Fault::WriteElsewhere => world.store.write_elsewhere(),
            Fault::DropHistory => world.store.drop_history(),
            Fault::Run(millis) => world.run(Duration::from_millis(millis)),
            // `faults` covers an outage that soon follows another.
            Fault::Outage(Some(_)) if world.has_just_recovered() => {}
            Fault::Outage(outage) => world.set_outage(outage),
            Fault::Mode(host, mode) => world.set_mode(host, mode),
            Fault::Link(host, link) => world.set_link(host, link),
            Fault::Start(host) => world.start(host),
            Fault::Kill(host) => world.kill(host),
        }

        world
    }

    fn teardown(mut world: World) {
        world.converge();
    }
}

/// Returns the configuration, with the fixed seed and the number of cases.
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

    /// Guards against calls to targets that have left, and against running targets that get no
    /// calls.
    #[test]
    fn hosts_use_the_targets_that_the_store_names(sequential 1..60 => TablesUnderFaults);
}
