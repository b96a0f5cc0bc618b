//! Tests the client against a platform whose responses are lost or late.
//!
//! A witness is a row that a transaction creates and whose value identifies the writer. After a
//! lost response, the witness shows whether the transaction took effect.

mod support;

use std::time::Duration;

use camphorwalk_core::platform::{Check, PlatformOp, PlatformReply, RowVersion, Transaction};
use camphorwalk_standin::platform::{Mode, ModeSetting};
use camphorwalk_store::{Client, ClientOptions, RetryOptions};

use support::{
    LATE, client, client_with_short_deadline, commit, key, options, platform, row, set_next_mode,
    two_witnesses, unconditional, witnessed, write,
};

/// The platform commits and its response is lost. The second request conflicts with the first
/// one's row, which shows that the transaction committed.
#[tokio::test]
async fn a_lost_commit_is_detected_by_its_witness() {
    let platform = platform().await;
    let client = client(&platform);
    set_next_mode(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, witnessed("entry/1", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Committed(RowVersion(1)));
    assert_eq!(platform.stats().transactions, 2);
    assert_eq!(platform.stats().rows_written, 1);
}

/// The platform commits and its response is lost, but no row identifies the writer. A second
/// request could execute the write twice, so the client must report it as unknown.
#[tokio::test]
async fn a_lost_commit_without_a_witness_is_unknown() {
    let platform = platform().await;
    let client = client(&platform);
    set_next_mode(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, unconditional("counter", "1")).await;

    assert_eq!(reply, PlatformReply::Unknown);
    assert_eq!(platform.stats().transactions, 1);
}

/// The response to a conflicting transaction is lost. The second request conflicts with another
/// writer's row, which must not be mistaken for the transaction's own.
#[tokio::test]
async fn a_lost_conflict_stays_a_conflict() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, witnessed("entry/1", "attempt-of-another")).await;
    set_next_mode(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, witnessed("entry/1", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Conflict(vec![row(&client, "entry/1").await.unwrap()]));
}

/// A former holder writes under a lease that another host has taken over, and the first response
/// is lost. The second request conflicts on the lease and the witness is missing. No request can
/// commit any more, since the lease never returns to its old version: this is a conflict.
#[tokio::test]
async fn a_lost_write_of_a_former_holder_is_a_conflict() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, unconditional("lease", "holder 1")).await;
    commit(&client, unconditional("lease", "holder 2")).await;
    let mut tx = witnessed("entry/1", "attempt-7");
    tx.checks.push(Check { key: key("lease"), version: RowVersion(1) });
    set_next_mode(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, tx).await;

    assert_eq!(reply, PlatformReply::Conflict(vec![row(&client, "lease").await.unwrap()]));
    assert_eq!(row(&client, "entry/1").await, None);
}

/// The response to a transaction with several new rows is lost. The rows all have the same version,
/// which is that of the transaction.
#[tokio::test]
async fn a_lost_commit_is_detected_by_all_its_rows() {
    let platform = platform().await;
    let client = client(&platform);
    set_next_mode(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, two_witnesses("row/1", "row/2", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Committed(RowVersion(1)));
}

/// A host took lease 1 without knowing it. It now takes leases 1 and 2, and the first response is
/// lost. The second request finds lease 1 with the value that the host writes. This must not
/// count for both leases, or the host would act as a second holder of lease 2.
#[tokio::test]
async fn one_matching_row_does_not_prove_a_commit() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, witnessed("lease/1", "session-1")).await;
    let mut seen = Vec::new();

    set_next_mode(&platform, Mode::DropAnswers, 1);
    seen.push(commit(&client, two_witnesses("lease/1", "lease/2", "session-1")).await);
    commit(&client, unconditional("lease/2", "session-0")).await;
    let mut tx = two_witnesses("lease/1", "lease/2", "session-1");
    tx.checks[1].version = RowVersion(2);
    set_next_mode(&platform, Mode::DropAnswers, 1);
    seen.push(commit(&client, tx).await);

    assert_eq!(seen, [PlatformReply::Unknown, PlatformReply::Unknown]);
}

/// A lease may be taken once the session row of its former holder is deleted. The first request is
/// still in flight when the second fails because that row exists. The row may be deleted before
/// the first request arrives, which would then commit, so the client must not report a conflict.
#[tokio::test]
async fn a_conflict_that_may_be_temporary_is_unknown() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, unconditional("session", "former")).await;
    let mut tx = witnessed("lease", "session-1");
    tx.checks.push(Check { key: key("session"), version: RowVersion::ABSENT });
    set_next_mode(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, tx).await;

    assert_eq!(reply, PlatformReply::Unknown);
}

/// The host is paused between the lost response and the second request, and other hosts may have
/// deleted the witness meanwhile. After the retry window, the client must not conclude anything
/// from the conflict.
#[tokio::test]
async fn after_the_window_a_conflict_is_unknown() {
    let platform = platform().await;
    let defaults = options(platform.address());
    let base_backoff = Duration::from_millis(400);
    let retry = RetryOptions { retry_window: base_backoff / 4, base_backoff, ..defaults.retry };
    let client = Client::new(ClientOptions { retry, ..defaults }).unwrap();
    set_next_mode(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, witnessed("entry/1", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Unknown);
}

#[tokio::test]
async fn after_the_window_nothing_is_sent_again() {
    let platform = platform().await;
    let defaults = options(platform.address());
    let retry = RetryOptions { retry_window: Duration::ZERO, ..defaults.retry };
    let client = Client::new(ClientOptions { retry, ..defaults }).unwrap();
    set_next_mode(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, witnessed("entry/1", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Unknown);
    assert_eq!(platform.stats().transactions, 1);
}

/// The platform is slower than the deadline, so each request times out and is executed later. The
/// first one commits and the others fail on its witness. The reply must be unknown, and the write
/// must be executed once.
#[tokio::test]
async fn delayed_requests_commit_once() {
    let platform = platform().await;
    let client_with_short_deadline = client_with_short_deadline(&platform);
    platform.set_mode(ModeSetting::all(Mode::Slow { delay: LATE }));

    let reply = commit(&client_with_short_deadline, witnessed("entry/1", "attempt-7")).await;

    while platform.stats().rows_written == 0 {
        tokio::time::sleep(LATE).await;
    }
    tokio::time::sleep(2 * LATE).await;
    assert_eq!(reply, PlatformReply::Unknown);
    assert_eq!(platform.stats().rows_written, 1);
}

/// The response to the first request is lost and the platform refuses all later ones. The refusals
/// say nothing about the first request, which may have committed.
#[tokio::test]
async fn a_refusal_after_a_lost_response_is_unknown() {
    let platform = platform().await;
    let client_with_short_deadline = client_with_short_deadline(&platform);
    platform.set_mode(ModeSetting::all(Mode::Refuse));
    set_next_mode(&platform, Mode::Hang, 1);

    let reply = commit(&client_with_short_deadline, witnessed("entry/1", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Unknown);
}

/// A read without a response has no effect, so it is reported as unavailable rather than unknown.
#[tokio::test]
async fn a_read_that_is_not_answered_is_unavailable() {
    let platform = platform().await;
    let client_with_short_deadline = client_with_short_deadline(&platform);
    platform.set_mode(ModeSetting::all(Mode::Hang));

    let read = client_with_short_deadline.run(PlatformOp::Read(vec![key("r")])).await;
    let checked = Transaction { checks: witnessed("r", "").checks, writes: vec![] };
    let checked = commit(&client_with_short_deadline, checked).await;

    assert_eq!(read, PlatformReply::Unavailable);
    assert_eq!(checked, PlatformReply::Unavailable);
}

/// The response to putting an object is lost. Its name is the hash of its content, so it is safe to
/// put it again.
#[tokio::test]
async fn a_lost_put_is_sent_again() {
    let platform = platform().await;
    let client = client(&platform);
    let content: Box<[u8]> = (*b"segment").into();
    set_next_mode(&platform, Mode::DropAnswers, 2);

    let stored = client.run(PlatformOp::PutObject(content.clone())).await;
    platform.set_mode(ModeSetting::all(Mode::DropAnswers));
    let lost = client.run(PlatformOp::PutObject(content)).await;

    assert!(matches!(stored, PlatformReply::Stored(_)));
    assert_eq!(lost, PlatformReply::Unknown);
}

/// A row that is only deleted, or is checked with a version, cannot be a witness, since another
/// transaction may have made the same change.
#[tokio::test]
async fn only_a_new_row_is_a_witness() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, unconditional("lease", "holder 1")).await;
    let check = Check { key: key("lease"), version: RowVersion(1) };
    set_next_mode(&platform, Mode::DropAnswers, 1);

    let tx = Transaction { checks: vec![check], writes: vec![write("lease", "holder 2")] };
    let reply = commit(&client, tx).await;

    assert_eq!(reply, PlatformReply::Unknown);
    assert_eq!(platform.stats().transactions, 2);
}
