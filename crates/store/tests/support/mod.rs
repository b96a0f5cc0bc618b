//! Fixtures of the client's tests.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_standin::platform::{Mode, ModeSetting};
use camphorwalk_standin::{Platform, PlatformOptions};
use camphorwalk_store::{Client, ClientOptions, QuotaOptions, RetryOptions};

/// Long enough for any answer that comes at all.
pub const PATIENT: Duration = Duration::from_secs(30);

/// So short that the answers of [`LATE`] never come in time.
pub const IMPATIENT: Duration = Duration::from_millis(100);

/// A delay past the deadline.
pub const LATE: Duration = Duration::from_millis(300);

/// Any free port.
pub fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Starts a platform.
pub async fn platform() -> Platform {
    Platform::start(any_port(), PlatformOptions::default()).await.unwrap()
}

/// The options of a client that gives up on nothing but by its tries.
pub fn options(address: SocketAddr) -> ClientOptions {
    ClientOptions {
        deadline: PATIENT,
        min_deadline: PATIENT,
        retry: RetryOptions {
            max_attempts: 3,
            ratio: 1.0,
            max_saved: 100.0,
            base_backoff: Duration::from_millis(1),
            retry_window: PATIENT,
        },
        quota: QuotaOptions { reads_per_second: 1e6, writes_per_second: 1e6, burst_seconds: 1.0 },
        ..ClientOptions::new(address, "a")
    }
}

/// Makes a client with these options.
pub fn client(platform: &Platform) -> Client {
    Client::new(options(platform.address())).unwrap()
}

/// Makes a client whose deadline passes soon.
pub fn impatient(platform: &Platform) -> Client {
    Client::new(ClientOptions { deadline: IMPATIENT, ..options(platform.address()) }).unwrap()
}

/// Sets a mode for the next requests.
pub fn next(platform: &Platform, mode: Mode, times: u32) {
    platform.set_mode(ModeSetting::all(mode).times(times));
}

/// The key of a row.
pub fn key(name: &str) -> RowKey {
    RowKey::new("t", name)
}

/// A write of a row.
pub fn write(name: &str, value: &str) -> Write {
    Write { key: key(name), value: Some(value.into()) }
}

/// A transaction that writes a row, whatever stands there.
pub fn plain(name: &str, value: &str) -> Transaction {
    Transaction { checks: vec![], writes: vec![write(name, value)] }
}

/// A transaction that writes a row that must not be there, with an attempt's id.
pub fn witnessed(name: &str, attempt: &str) -> Transaction {
    let check = Check { key: key(name), version: RowVersion::ABSENT };

    Transaction { checks: vec![check], writes: vec![write(name, attempt)] }
}

/// A transaction that writes two rows that must not be there.
pub fn both(first: &str, second: &str, attempt: &str) -> Transaction {
    let mut tx = witnessed(first, attempt);
    let other = witnessed(second, attempt);
    tx.checks.extend(other.checks);
    tx.writes.extend(other.writes);

    tx
}

/// Runs a transaction.
pub async fn commit(client: &Client, tx: Transaction) -> PlatformReply {
    client.run(PlatformOp::Commit(tx)).await
}

/// Reads one row.
pub async fn row(client: &Client, name: &str) -> Option<Row> {
    match client.run(PlatformOp::Read(vec![key(name)])).await {
        PlatformReply::Rows(rows) => rows.into_iter().next(),
        reply => panic!("a read was answered {reply:?}"),
    }
}
