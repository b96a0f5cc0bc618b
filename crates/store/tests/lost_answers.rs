//! The client against a platform whose answers are lost or late.

mod support;

use std::time::Duration;

use camphorwalk_core::platform::{Check, PlatformOp, PlatformReply, RowVersion, Transaction};
use camphorwalk_standin::platform::{Mode, ModeSetting};
use camphorwalk_store::{Client, ClientOptions, RetryOptions};

use support::{
    LATE, both, client, commit, impatient, key, next, options, plain, platform, row, witnessed,
    write,
};

/// The platform commits and its answer is lost. The client sends the transaction again;
/// that conflicts with the first sending, whose own row tells that it took effect.
#[tokio::test]
async fn a_lost_commit_is_found_out_by_its_witness() {
    let platform = platform().await;
    let client = client(&platform);
    next(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, witnessed("entry/1", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Committed(RowVersion(1)));
    assert_eq!(platform.stats().transactions, 2);
    assert_eq!(platform.stats().rows_written, 1);
}

/// The platform commits and its answer is lost, but no row tells whose it is. A second
/// sending could run the write twice, so that the caller is told that nobody knows.
#[tokio::test]
async fn a_lost_commit_without_a_witness_is_unknown() {
    let platform = platform().await;
    let client = client(&platform);
    next(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, plain("counter", "1")).await;

    assert_eq!(reply, PlatformReply::Unknown);
    assert_eq!(platform.stats().transactions, 1);
}

/// The answer to a transaction that conflicts is lost. The second sending conflicts with
/// another's row, which is not taken for the transaction's own.
#[tokio::test]
async fn a_lost_conflict_stays_a_conflict() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, witnessed("entry/1", "attempt-of-another")).await;
    next(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, witnessed("entry/1", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Conflict(vec![row(&client, "entry/1").await.unwrap()]));
}

/// The first sending never reaches the platform's store, then another host takes the
/// lease. The second sending fails on the lease, and the witness is missing: nothing took
/// effect, and nothing can any more, for the lease never gets its old version back.
#[tokio::test]
async fn a_lost_write_of_a_former_holder_is_a_conflict() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, plain("lease", "holder 1")).await;
    commit(&client, plain("lease", "holder 2")).await;
    let mut tx = witnessed("entry/1", "attempt-7");
    tx.checks.push(Check { key: key("lease"), version: RowVersion(1) });
    next(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, tx).await;

    assert_eq!(reply, PlatformReply::Conflict(vec![row(&client, "lease").await.unwrap()]));
    assert_eq!(row(&client, "entry/1").await, None);
}

/// One transaction writes several new rows and its answer is lost. They all stand with one
/// version, which is that of the transaction.
#[tokio::test]
async fn a_lost_commit_is_found_out_by_all_its_rows() {
    let platform = platform().await;
    let client = client(&platform);
    next(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, both("row/1", "row/2", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Committed(RowVersion(1)));
}

/// A host has taken lease 1 and did not hear of it. Now it takes leases 1 and 2, and the
/// first answer is lost. The second sending finds lease 1 as the host wanted it, which
/// must not pass for both: the host would act as holder of lease 2 beside the real one.
#[tokio::test]
async fn one_row_does_not_vouch_for_the_others() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, witnessed("lease/1", "session-1")).await;
    let mut seen = Vec::new();

    next(&platform, Mode::DropAnswers, 1);
    seen.push(commit(&client, both("lease/1", "lease/2", "session-1")).await);
    commit(&client, plain("lease/2", "session-0")).await;
    let mut tx = both("lease/1", "lease/2", "session-1");
    tx.checks[1].version = RowVersion(2);
    next(&platform, Mode::DropAnswers, 1);
    seen.push(commit(&client, tx).await);

    assert_eq!(seen, [PlatformReply::Unknown, PlatformReply::Unknown]);
}

/// A lease may be taken once its former holder's session is gone. The first sending is
/// under way when the second one fails because the session is still there. The session
/// may be deleted before the first one comes, so that no conflict can be promised.
#[tokio::test]
async fn a_conflict_that_may_pass_is_unknown() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, plain("session", "former")).await;
    let mut tx = witnessed("lease", "session-1");
    tx.checks.push(Check { key: key("session"), version: RowVersion::ABSENT });
    next(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, tx).await;

    assert_eq!(reply, PlatformReply::Unknown);
}

/// The host is paused between the lost answer and the second sending, and meanwhile others
/// have tidied up the row that would have told. The client knows that too much time went
/// by, and takes nothing from the conflict.
#[tokio::test]
async fn after_the_window_a_conflict_tells_nothing() {
    let platform = platform().await;
    let usual = options(platform.address());
    let base_backoff = Duration::from_millis(400);
    let retry = RetryOptions { retry_window: base_backoff / 4, base_backoff, ..usual.retry };
    let client = Client::new(ClientOptions { retry, ..usual }).unwrap();
    next(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, witnessed("entry/1", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Unknown);
}

#[tokio::test]
async fn after_the_window_nothing_is_sent_again() {
    let platform = platform().await;
    let usual = options(platform.address());
    let retry = RetryOptions { retry_window: Duration::ZERO, ..usual.retry };
    let client = Client::new(ClientOptions { retry, ..usual }).unwrap();
    next(&platform, Mode::DropAnswers, 1);

    let reply = commit(&client, witnessed("entry/1", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Unknown);
    assert_eq!(platform.stats().transactions, 1);
}

/// The platform is slower than the deadline, so that each sending is given up on and takes
/// effect later. Whichever comes first commits; the others fail on its witness. The
/// caller is told that the outcome is unknown, and the write is there once.
#[tokio::test]
async fn delayed_sendings_commit_once() {
    let platform = platform().await;
    let impatient = impatient(&platform);
    platform.set_mode(ModeSetting::all(Mode::Slow { delay: LATE }));

    let reply = commit(&impatient, witnessed("entry/1", "attempt-7")).await;

    while platform.stats().rows_written == 0 {
        tokio::time::sleep(LATE).await;
    }
    tokio::time::sleep(2 * LATE).await;
    assert_eq!(reply, PlatformReply::Unknown);
    assert_eq!(platform.stats().rows_written, 1);
}

/// The answer to the first sending is lost, and the platform refuses from then on. That
/// refusal is true of the later sendings only: the first may have taken effect.
#[tokio::test]
async fn a_refusal_after_a_lost_answer_is_unknown() {
    let platform = platform().await;
    let impatient = impatient(&platform);
    platform.set_mode(ModeSetting::all(Mode::Refuse));
    next(&platform, Mode::Hang, 1);

    let reply = commit(&impatient, witnessed("entry/1", "attempt-7")).await;

    assert_eq!(reply, PlatformReply::Unknown);
}

/// A read that is never answered writes nothing, so that its loss harms nobody: the
/// caller may take it for a refusal.
#[tokio::test]
async fn a_read_that_is_not_answered_is_unavailable() {
    let platform = platform().await;
    let impatient = impatient(&platform);
    platform.set_mode(ModeSetting::all(Mode::Hang));

    let read = impatient.run(PlatformOp::Read(vec![key("r")])).await;
    let checked = Transaction { checks: witnessed("r", "").checks, writes: vec![] };
    let checked = commit(&impatient, checked).await;

    assert_eq!(read, PlatformReply::Unavailable);
    assert_eq!(checked, PlatformReply::Unavailable);
}

/// The answer to putting an object is lost. Its name is its content, so that putting it
/// again changes nothing.
#[tokio::test]
async fn a_lost_put_is_sent_again() {
    let platform = platform().await;
    let client = client(&platform);
    let content: Box<[u8]> = (*b"segment").into();
    next(&platform, Mode::DropAnswers, 2);

    let stored = client.run(PlatformOp::PutObject(content.clone())).await;
    platform.set_mode(ModeSetting::all(Mode::DropAnswers));
    let lost = client.run(PlatformOp::PutObject(content)).await;

    assert!(matches!(stored, PlatformReply::Stored(_)));
    assert_eq!(lost, PlatformReply::Unknown);
}

/// A row that is only deleted, or is checked with a version, cannot witness: another
/// transaction may have done the same.
#[tokio::test]
async fn only_a_new_row_can_witness() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, plain("lease", "holder 1")).await;
    let check = Check { key: key("lease"), version: RowVersion(1) };
    next(&platform, Mode::DropAnswers, 1);

    let tx = Transaction { checks: vec![check], writes: vec![write("lease", "holder 2")] };
    let reply = commit(&client, tx).await;

    assert_eq!(reply, PlatformReply::Unknown);
    assert_eq!(platform.stats().transactions, 2);
}
