//! Fixtures for the tests of the client.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_standin::platform::{Mode, ModeSetting};
use camphorwalk_standin::{Platform, PlatformOptions};
use camphorwalk_store::{Client, ClientOptions, QuotaOptions, RetryOptions};

/// A timeout long enough for any response that arrives at all.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A deadline so short that responses delayed by [`LATE`] always miss it.
pub const SHORT_DEADLINE: Duration = Duration::from_millis(100);

/// A delay longer than [`SHORT_DEADLINE`].
pub const LATE: Duration = Duration::from_millis(300);

/// The loopback address with any free port.
pub fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Starts a platform stand-in.
pub async fn platform() -> Platform {
    Platform::start(any_port(), PlatformOptions::default()).await.unwrap()
}

/// The options of a client that is limited only by its number of attempts.
pub fn options(address: SocketAddr) -> ClientOptions {
    ClientOptions {
        deadline: TEST_TIMEOUT,
        min_deadline: TEST_TIMEOUT,
        retry: RetryOptions {
            max_attempts: 3,
            ratio: 1.0,
            max_saved: 100.0,
            base_backoff: Duration::from_millis(1),
            retry_window: TEST_TIMEOUT,
        },
        quota: QuotaOptions { reads_per_second: 1e6, writes_per_second: 1e6, burst_seconds: 1.0 },
        ..ClientOptions::new(address, "a")
    }
}

/// Creates a client with these options.
pub fn client(platform: &Platform) -> Client {
    Client::new(options(platform.address())).unwrap()
}

/// Creates a client with a short deadline.
pub fn client_with_short_deadline(platform: &Platform) -> Client {
    Client::new(ClientOptions { deadline: SHORT_DEADLINE, ..options(platform.address()) }).unwrap()
}

/// Sets the mode of the platform for the next requests.
pub fn set_next_mode(platform: &Platform, mode: Mode, times: u32) {
    platform.set_mode(ModeSetting::all(mode).times(times));
}

/// Returns the key of a row in the test table.
pub fn key(name: &str) -> RowKey {
    RowKey::new("t", name)
}

/// Returns a write of a row.
pub fn write(name: &str, value: &str) -> Write {
    Write { key: key(name), value: Some(value.into()) }
}

/// Returns a transaction that writes a row unconditionally.
pub fn unconditional(name: &str, value: &str) -> Transaction {
    Transaction { checks: vec![], writes: vec![write(name, value)] }
}

/// Returns a transaction that creates a row with an attempt's id as its value (a witness).
pub fn witnessed(name: &str, attempt: &str) -> Transaction {
    let check = Check { key: key(name), version: RowVersion::ABSENT };

    Transaction { checks: vec![check], writes: vec![write(name, attempt)] }
}

/// Returns a transaction that creates two rows.
pub fn two_witnesses(first: &str, second: &str, attempt: &str) -> Transaction {
    let mut tx = witnessed(first, attempt);
    let other = witnessed(second, attempt);
    tx.checks.extend(other.checks);
    tx.writes.extend(other.writes);

    tx
}

/// Runs a transaction and returns the reply.
pub async fn commit(client: &Client, tx: Transaction) -> PlatformReply {
    client.run(PlatformOp::Commit(tx)).await
}

/// Reads one row, or `None` if it does not exist.
pub async fn row(client: &Client, name: &str) -> Option<Row> {
    match client.run(PlatformOp::Read(vec![key(name)])).await {
        PlatformReply::Rows(rows) => rows.into_iter().next(),
        reply => panic!("unexpected reply to a read: {reply:?}"),
    }
}
