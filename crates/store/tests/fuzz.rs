//! Random transactions against a platform that refuses, loses and delays at random.
//!
//! The oracle is what the platform holds once every delayed sending has run. What was told
//! as committed stands there with its version, and what stands there was told as committed
//! or as unknown.

mod support;

use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply, Row, Transaction, Write};
use camphorwalk_standin::Platform;
use camphorwalk_standin::platform::{Mode, ModeSetting};
use camphorwalk_store::{Client, ClientOptions, RetryOptions};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use support::{both, commit, options, platform, witnessed};

/// Sequences of steps that are tried.
const CASES: u32 = 64;

/// The rows that are written.
const ROWS: u8 = 4;

/// The deadline of a try: within some delays and past others.
const DEADLINE: Duration = Duration::from_millis(20);

/// The longest delay.
const LONGEST_DELAY_MS: u64 = 40;

/// A transaction, and how the platform treats its tries.
#[derive(Clone, Debug)]
struct Step {
    /// The first row; some steps want the same one.
    row: u8,
    /// How much further the second row is; none if zero.
    second: u8,
    /// Whether the content is the same for many transactions, as the holder of a lease is.
    shared: bool,
    /// How the first tries are treated.
    mode: Mode,
    /// For how many tries that holds.
    times: u32,
    /// How the tries after these are treated.
    then: Mode,
}

impl Step {
    /// Returns the transaction of the step with this number.
    fn transaction(&self, number: usize) -> Transaction {
        let name = |row: u8| format!("row-{}", row % ROWS);
        let content = if self.shared { "session".into() } else { format!("attempt-{number}") };

        match self.second {
            0 => witnessed(&name(self.row), &content),
            _ => both(&name(self.row), &name(self.row + self.second), &content),
        }
    }
}

/// Draws a mode.
fn mode() -> impl Strategy<Value = Mode> {
    prop_oneof![
        4 => Just(Mode::Ok),
        1 => Just(Mode::Refuse),
        4 => Just(Mode::DropAnswers),
        1 => Just(Mode::Hang),
        1 => (1..LONGEST_DELAY_MS)
            .prop_map(|millis| Mode::Slow { delay: Duration::from_millis(millis) }),
    ]
}

/// Draws a step.
fn step() -> impl Strategy<Value = Step> {
    (0..ROWS, 0..ROWS, any::<bool>(), mode(), 1..3u32, mode()).prop_map(
        |(row, second, shared, mode, times, then)| Step { row, second, shared, mode, times, then },
    )
}

/// Runs the steps, and returns the reply to each.
async fn run(platform: &Platform, client: &Client, steps: &[Step]) -> Vec<PlatformReply> {
    let mut replies = Vec::new();

    for (number, step) in steps.iter().enumerate() {
        platform.set_mode(ModeSetting::all(step.then));
        platform.set_mode(ModeSetting::all(step.mode).times(step.times));

        replies.push(commit(client, step.transaction(number)).await);
    }

    replies
}

/// Tells whether the transaction of a step explains a row that stands there.
fn explains(tx: &Transaction, reply: &PlatformReply, row: &Row) -> bool {
    let writes =
        tx.writes.contains(&Write { key: row.key.clone(), value: Some(row.value.clone()) });

    match reply {
        PlatformReply::Committed(version) => writes && row.version == *version,
        PlatformReply::Unknown => writes,
        _ => false,
    }
}

/// Reads all rows.
async fn rows(reader: &Client) -> Vec<Row> {
    let scan = PlatformOp::Scan {
        table: "t".into(),
        prefix: "".into(),
        after: "".into(),
        limit: u32::from(ROWS),
    };

    match reader.run(scan).await {
        PlatformReply::Rows(rows) => rows,
        reply => panic!("a scan was answered {reply:?}"),
    }
}

#[test]
fn replies_are_true_whatever_is_lost_or_late() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let outcome = runner.run(&prop::collection::vec(step(), 1..10), |steps| {
        runtime.block_on(async {
            let platform = platform().await;
            let retry = RetryOptions {
                base_backoff: Duration::from_millis(1),
                ..options(platform.address()).retry
            };
            let hasty = ClientOptions { deadline: DEADLINE, retry, ..options(platform.address()) };
            let client = Client::new(hasty).unwrap();
            let reader = support::client(&platform);

            let replies = run(&platform, &client, &steps).await;
            platform.set_mode(ModeSetting::all(Mode::Ok));
            tokio::time::sleep(2 * Duration::from_millis(LONGEST_DELAY_MS)).await;

            let rows = rows(&reader).await;
            let told: Vec<_> = steps
                .iter()
                .enumerate()
                .map(|(number, step)| step.transaction(number))
                .zip(replies)
                .collect();

            for row in &rows {
                let explained = told.iter().any(|(tx, reply)| explains(tx, reply, row));
                prop_assert!(explained, "nobody was told of {row:?}");
            }

            for (tx, reply) in &told {
                if let PlatformReply::Committed(_) = reply {
                    let there = rows.iter().filter(|row| explains(tx, reply, row)).count();
                    prop_assert_eq!(there, tx.writes.len(), "{:?} is not whole", tx);
                }
            }

            Ok(())
        })
    });

    outcome.unwrap();
}
