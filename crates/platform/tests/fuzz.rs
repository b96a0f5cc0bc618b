//! Random transactions against a platform that refuses, loses and delays at random.
//!
//! The oracle is what the platform holds once every delayed sending has run. Whatever the
//! client replied must be true of it:
//! `Committed` is there once with that version, `Conflict` and `Unavailable` are not there.

mod support;

use std::time::Duration;

use camphorwalk_core::platform::PlatformReply;
use camphorwalk_platform::{Client, ClientOptions, RetryOptions};
use camphorwalk_standin::Platform;
use camphorwalk_standin::platform::{Mode, ModeSetting};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use support::{commit, options, platform, row, witnessed};

/// Sequences of steps that are tried.
const CASES: u32 = 24;

/// The deadline of a try: within some delays and past others.
const DEADLINE: Duration = Duration::from_millis(20);

/// The longest delay.
const LONGEST_DELAY_MS: u64 = 40;

/// A transaction, and how the platform treats its tries.
#[derive(Clone, Debug)]
struct Step {
    /// The row; some steps want the same one.
    row: u8,
    /// How the first tries are treated.
    mode: Mode,
    /// For how many tries that holds.
    times: u32,
    /// How the tries after these are treated.
    then: Mode,
}

/// Draws a mode.
fn mode() -> impl Strategy<Value = Mode> {
    prop_oneof![
        Just(Mode::Ok),
        Just(Mode::Refuse),
        Just(Mode::DropAnswers),
        Just(Mode::Hang),
        (1..LONGEST_DELAY_MS)
            .prop_map(|millis| Mode::Slow { delay: Duration::from_millis(millis) }),
    ]
}

/// Draws a step.
fn step() -> impl Strategy<Value = Step> {
    (0..4u8, mode(), 0..3u32, mode()).prop_map(|(row, mode, times, then)| Step {
        row,
        mode,
        times,
        then,
    })
}

/// Runs the steps, and returns the reply to each.
async fn run(platform: &Platform, client: &Client, steps: &[Step]) -> Vec<PlatformReply> {
    let mut replies = Vec::new();

    for (number, step) in steps.iter().enumerate() {
        platform.set_mode(ModeSetting::all(step.then));
        platform.set_mode(ModeSetting::all(step.mode).times(step.times));
        let tx = witnessed(&format!("row-{}", step.row), &format!("attempt-{number}"));

        replies.push(commit(client, tx).await);
    }

    replies
}

/// Tells whether a reply is true of what the platform holds.
async fn holds(reader: &Client, number: usize, step: &Step, reply: &PlatformReply) -> bool {
    let row = row(reader, &format!("row-{}", step.row)).await;
    let attempt: Box<str> = format!("attempt-{number}").into();
    let own = row.filter(|row| row.value == attempt);

    match reply {
        PlatformReply::Committed(version) => own.is_some_and(|row| row.version == *version),
        PlatformReply::Conflict(_) | PlatformReply::Unavailable => own.is_none(),
        PlatformReply::Unknown => true,
        _ => false,
    }
}

#[test]
fn replies_are_true_whatever_is_lost_or_late() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let outcome = runner.run(&prop::collection::vec(step(), 1..8), |steps| {
        runtime.block_on(async {
            let platform = platform().await;
            let retry = RetryOptions {
                pause: Duration::from_millis(1),
                ..options(platform.address()).retry
            };
            let hasty = ClientOptions { deadline: DEADLINE, retry, ..options(platform.address()) };
            let client = Client::new(hasty).unwrap();
            let reader = support::client(&platform);

            let replies = run(&platform, &client, &steps).await;
            platform.set_mode(ModeSetting::all(Mode::Ok));
            tokio::time::sleep(2 * Duration::from_millis(LONGEST_DELAY_MS)).await;

            for (number, (step, reply)) in steps.iter().zip(&replies).enumerate() {
                let holds = holds(&reader, number, step, reply).await;
                prop_assert!(holds, "step {number} was answered {reply:?}");
            }

            Ok(())
        })
    });

    outcome.unwrap();
}
