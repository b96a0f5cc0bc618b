//! Runs random transactions against a platform that randomly refuses requests, drops responses and
//! delays execution.
//!
//! The expected result is the content of the platform after every delayed request has run. Each
//! transaction reported as committed must be there with its version, and each row that is there
//! must belong to a transaction reported as committed or unknown.

mod support;

use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply, Row, Transaction, Write};
use camphorwalk_standin::Platform;
use camphorwalk_standin::platform::{Mode, ModeSetting};
use camphorwalk_store::{Client, ClientOptions, RetryOptions};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use support::{commit, options, platform, two_witnesses, witnessed};

/// The number of step sequences to test.
const CASES: u32 = 64;

/// The number of different rows.
const ROWS: u8 = 4;

/// The deadline of an attempt: longer than some delays and shorter than others.
const DEADLINE: Duration = Duration::from_millis(20);

/// The longest delay of a response, in milliseconds.
const MAX_DELAY_MS: u64 = 40;

/// A transaction, and how the platform treats its attempts.
#[derive(Clone, Debug)]
struct Step {
    /// The first row; several steps may use the same one.
    row: u8,
    /// The offset of the second row from the first; 0 for no second row.
    second: u8,
    /// Whether the value is the same as in other transactions, like the holder of a lease.
    shared: bool,
    /// The mode of the platform for the first attempts.
    mode: Mode,
    /// The number of attempts in that mode.
    times: u32,
    /// The mode for the attempts after these.
    then: Mode,
}

impl Step {
    /// Returns the transaction of this step, which is the one at index `number`.
    fn transaction(&self, number: usize) -> Transaction {
        let name = |row: u8| format!("row-{}", row % ROWS);
        let content = if self.shared { "session".into() } else { format!("attempt-{number}") };

        match self.second {
            0 => witnessed(&name(self.row), &content),
            _ => two_witnesses(&name(self.row), &name(self.row + self.second), &content),
        }
    }
}

/// Generates a mode.
fn mode() -> impl Strategy<Value = Mode> {
    prop_oneof![
        4 => Just(Mode::Ok),
        1 => Just(Mode::Refuse),
        4 => Just(Mode::DropAnswers),
        1 => Just(Mode::Hang),
        1 => (1..MAX_DELAY_MS)
            .prop_map(|millis| Mode::Slow { delay: Duration::from_millis(millis) }),
    ]
}

/// Generates a step.
fn step() -> impl Strategy<Value = Step> {
    (0..ROWS, 0..ROWS, any::<bool>(), mode(), 1..3u32, mode()).prop_map(
        |(row, second, shared, mode, times, then)| Step { row, second, shared, mode, times, then },
    )
}

/// Runs the steps and returns the reply to each.
async fn run(platform: &Platform, client: &Client, steps: &[Step]) -> Vec<PlatformReply> {
    let mut replies = Vec::new();

    for (number, step) in steps.iter().enumerate() {
        platform.set_mode(ModeSetting::all(step.then));
        platform.set_mode(ModeSetting::all(step.mode).times(step.times));

        replies.push(commit(client, step.transaction(number)).await);
    }

    replies
}

/// Returns whether a transaction with this reply may have written the row.
fn may_have_written(tx: &Transaction, reply: &PlatformReply, row: &Row) -> bool {
    let writes =
        tx.writes.contains(&Write { key: row.key.clone(), value: Some(row.value.clone()) });

    match reply {
        PlatformReply::Committed(version) => writes && row.version == *version,
        PlatformReply::Unknown => writes,
        _ => false,
    }
}

/// Reads all rows of the table.
async fn rows(reader: &Client) -> Vec<Row> {
    let scan = PlatformOp::Scan {
        table: "t".into(),
        prefix: "".into(),
        after: "".into(),
        limit: u32::from(ROWS),
    };

    match reader.run(scan).await {
        PlatformReply::Rows(rows) => rows,
        reply => panic!("unexpected reply to a scan: {reply:?}"),
    }
}

#[test]
fn replies_match_the_stored_rows_despite_lost_and_late_responses() {
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
            let client_options =
                ClientOptions { deadline: DEADLINE, retry, ..options(platform.address()) };
            let client = Client::new(client_options).unwrap();
            let reader = support::client(&platform);

            let replies = run(&platform, &client, &steps).await;
            platform.set_mode(ModeSetting::all(Mode::Ok));
            tokio::time::sleep(2 * Duration::from_millis(MAX_DELAY_MS)).await;

            let rows = rows(&reader).await;
            let results: Vec<_> = steps
                .iter()
                .enumerate()
                .map(|(number, step)| step.transaction(number))
                .zip(replies)
                .collect();

            for row in &rows {
                let explained = results.iter().any(|(tx, reply)| may_have_written(tx, reply, row));
                prop_assert!(explained, "no reply accounts for {row:?}");
            }

            for (tx, reply) in &results {
                if let PlatformReply::Committed(_) = reply {
                    let found = rows.iter().filter(|row| may_have_written(tx, reply, row)).count();
                    prop_assert_eq!(found, tx.writes.len(), "rows of {:?} are missing", tx);
                }
            }

            Ok(())
        })
    });

    outcome.unwrap();
}
