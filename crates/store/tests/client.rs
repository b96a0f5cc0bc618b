//! The client against a platform that answers, refuses, or is not there.

mod support;

use std::time::Duration;

use camphorwalk_core::platform::{HostListing, ObjectName, PlatformOp, PlatformReply, RowVersion};
use camphorwalk_standin::platform::{Mode, ModeSetting};
use camphorwalk_store::{Client, ClientOptions, Error, QuotaOptions, RetryOptions};
use prometheus::{Registry, TextEncoder};

use support::{any_port, client, commit, key, options, plain, platform, row, witnessed};

#[tokio::test]
async fn a_committed_row_is_read_and_scanned() {
    let platform = platform().await;
    let client = client(&platform);

    let first = commit(&client, plain("b/1", "one")).await;
    let second = commit(&client, plain("b/2", "two")).await;
    let scanned = client
        .run(PlatformOp::Scan {
            table: "t".into(),
            prefix: "b/".into(),
            after: "b/1".into(),
            limit: 9,
        })
        .await;

    assert_eq!(first, PlatformReply::Committed(RowVersion(1)));
    assert_eq!(second, PlatformReply::Committed(RowVersion(2)));
    assert_eq!(row(&client, "b/1").await.unwrap().value, "one".into());
    assert_eq!(scanned, PlatformReply::Rows(vec![row(&client, "b/2").await.unwrap()]));
}

#[tokio::test]
async fn a_conflict_shows_the_row_that_stands_there() {
    let platform = platform().await;
    let client = client(&platform);
    commit(&client, witnessed("lease", "mine")).await;

    let reply = commit(&client, witnessed("lease", "other")).await;

    assert_eq!(reply, PlatformReply::Conflict(vec![row(&client, "lease").await.unwrap()]));
}

#[tokio::test]
async fn objects_are_named_by_their_content() {
    let platform = platform().await;
    let client = client(&platform);
    let content: Box<[u8]> = (*b"a doorway, 82 cm").into();
    let name = ObjectName::of(&content);

    let stored = client.run(PlatformOp::PutObject(content.clone())).await;
    let read = client.run(PlatformOp::GetObject(name.clone())).await;
    let missing = client.run(PlatformOp::GetObject(ObjectName::of(b"none"))).await;

    assert_eq!(stored, PlatformReply::Stored(name));
    assert_eq!(read, PlatformReply::Object(Some(content)));
    assert_eq!(missing, PlatformReply::Object(None));
}

/// The caller asks for a program's history and the store hands out damaged bytes. They
/// must not be taken for the history: the reply is the same as if nothing had come.
#[tokio::test]
async fn a_damaged_object_is_not_handed_out() {
    let platform = platform().await;
    let client = client(&platform);
    let name = ObjectName::of(b"history");
    platform.put_corrupt_object(name.clone(), &b"another's history"[..]);

    let reply = client.run(PlatformOp::GetObject(name)).await;

    assert_eq!(reply, PlatformReply::Unavailable);
}

/// The platform refuses every request with 503. Nothing was done, and the client says so
/// after its tries; it must not say that the outcome is unknown.
#[tokio::test]
async fn a_refused_write_was_not_done() {
    let platform = platform().await;
    let client = client(&platform);
    platform.set_mode(ModeSetting::all(Mode::Refuse));

    let reply = commit(&client, plain("r", "x")).await;

    platform.set_mode(ModeSetting::all(Mode::Ok));
    assert_eq!(reply, PlatformReply::Unavailable);
    assert_eq!(platform.stats().refused, 3);
    assert_eq!(row(&client, "r").await, None);
}

/// The platform refuses once. The client tries again from its budget, and the caller sees
/// nothing of it.
#[tokio::test]
async fn a_passing_refusal_is_retried() {
    let platform = platform().await;
    let client = client(&platform);
    support::next(&platform, Mode::Refuse, 1);

    let reply = commit(&client, plain("r", "x")).await;

    assert_eq!(reply, PlatformReply::Committed(RowVersion(1)));
}

/// Nobody listens at the platform's address. The bytes of the write were never sent, so
/// that the client can say that nothing was done.
#[tokio::test]
async fn a_write_that_was_never_sent_was_not_done() {
    let platform = platform().await;
    let client = client(&platform);
    platform.stop().await;

    let reply = commit(&client, plain("r", "x")).await;
    let hosts = client.hosts().await;

    assert_eq!(reply, PlatformReply::Unavailable);
    assert_eq!(hosts, Err(Error::Unavailable));
}

/// The platform refuses for a long time. Retries would multiply the load on it, so that
/// once the budget is used up each operation is tried once.
#[tokio::test]
async fn retries_stop_when_their_budget_is_used_up() {
    let platform = platform().await;
    let retry = RetryOptions { ratio: 0.0, max_saved: 1.0, ..options(any_port()).retry };
    let client = Client::new(ClientOptions { retry, ..options(platform.address()) }).unwrap();
    platform.set_mode(ModeSetting::all(Mode::Refuse));

    commit(&client, plain("r", "x")).await;
    let with_budget = platform.stats().refused;
    commit(&client, plain("r", "x")).await;

    assert_eq!(with_budget, 2);
    assert_eq!(platform.stats().refused, 3);
}

/// A host asks more than its share of the platform. It is answered at once that nothing
/// was done, and the platform does not hear of it; reads have a share of their own.
#[tokio::test]
async fn over_its_share_a_write_is_not_sent() {
    let platform = platform().await;
    let quota = QuotaOptions { writes_per_second: 0.0, ..options(any_port()).quota };
    let client = Client::new(ClientOptions { quota, ..options(platform.address()) }).unwrap();
    let registry = Registry::new();
    client.register(&registry).unwrap();

    let first = commit(&client, plain("r", "x")).await;
    let second = commit(&client, plain("r", "y")).await;

    let metrics = TextEncoder::new().encode_to_string(&registry.gather()).unwrap();
    assert_eq!(first, PlatformReply::Committed(RowVersion(1)));
    assert_eq!(second, PlatformReply::Unavailable);
    assert_eq!(platform.stats().transactions, 1);
    assert_eq!(row(&client, "r").await.unwrap().value, "x".into());
    assert!(metrics.contains(r#"operations_total{operation="commit",outcome="committed"} 1"#));
    assert!(metrics.contains(r#"operations_total{operation="commit",outcome="over_share"} 1"#));
    assert!(metrics.contains(r#"operation_seconds_count{operation="commit"} 1"#));
}

/// One availability zone is cut off from the platform. Its host is refused, and a host of
/// another availability zone goes on.
#[tokio::test]
async fn a_refusal_can_meet_one_availability_zone() {
    let platform = platform().await;
    let here = client(&platform);
    let there = Client::new(ClientOptions { zone: "b".into(), ..options(platform.address()) });
    platform.set_mode(ModeSetting::zone(Mode::Refuse, "a"));

    let refused = here.run(PlatformOp::Read(vec![key("r")])).await;
    let read = there.unwrap().run(PlatformOp::Read(vec![key("r")])).await;

    assert_eq!(refused, PlatformReply::Unavailable);
    assert_eq!(read, PlatformReply::Rows(vec![]));
}

#[tokio::test]
async fn hosts_are_listed_after_the_lag() {
    let platform = platform().await;
    let client = client(&platform);
    let host = |name: &str| HostListing {
        name: name.into(),
        zone: "a".into(),
        peer_address: any_port(),
        leaving: false,
    };

    platform.set_hosts(vec![host("h1")], Duration::ZERO);
    platform.set_hosts(vec![host("h1"), host("h2")], Duration::from_secs(3600));

    assert_eq!(client.hosts().await, Ok(vec![host("h1")]));
}

#[tokio::test]
async fn a_zone_that_cannot_be_sent_is_an_error() {
    let options = ClientOptions { zone: "a\nb".into(), ..options(any_port()) };

    let error = Client::new(options).unwrap_err();

    assert_eq!(error, Error::BadZone { zone: "a\nb".into() });
}
