//! Tests the client against a platform that responds, refuses or is unreachable.

mod support;

use std::time::Duration;

use camphorwalk_core::platform::{HostListing, ObjectName, PlatformOp, PlatformReply, RowVersion};
use camphorwalk_standin::platform::{Mode, ModeSetting};
use camphorwalk_store::{Client, ClientOptions, Error, QuotaOptions, RetryOptions};
use prometheus::{Registry, TextEncoder};

use support::{any_port, client, commit, key, options, platform, row, unconditional, witnessed};

#[tokio::test]
async fn a_committed_row_is_read_and_scanned() {
    let platform = platform().await;
    let client = client(&platform);

    let first = commit(&client, unconditional("b/1", "one")).await;
    let second = commit(&client, unconditional("b/2", "two")).await;
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
async fn a_conflict_returns_the_conflicting_row() {
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

/// Guards against corrupted object content being used as a program's history. The reply must be
/// the same as without a response.
#[tokio::test]
async fn a_corrupted_object_is_rejected() {
    let platform = platform().await;
    let client = client(&platform);
    let name = ObjectName::of(b"history");
    platform.put_corrupt_object(name.clone(), &b"another's history"[..]);

    let reply = client.run(PlatformOp::GetObject(name)).await;

    assert_eq!(reply, PlatformReply::Unavailable);
}

/// The platform refuses every request with 503, so the write was certainly not executed. The
/// client must report it as unavailable, not as unknown.
#[tokio::test]
async fn a_refused_write_is_unavailable() {
    let platform = platform().await;
    let client = client(&platform);
    platform.set_mode(ModeSetting::all(Mode::Refuse));

    let reply = commit(&client, unconditional("r", "x")).await;

    platform.set_mode(ModeSetting::all(Mode::Ok));
    assert_eq!(reply, PlatformReply::Unavailable);
    assert_eq!(platform.stats().refused, 3);
    assert_eq!(row(&client, "r").await, None);
}

/// The platform refuses once. The client must retry within its budget, so that the caller does
/// not see the refusal.
#[tokio::test]
async fn a_single_refusal_is_retried() {
    let platform = platform().await;
    let client = client(&platform);
    support::set_next_mode(&platform, Mode::Refuse, 1);

    let reply = commit(&client, unconditional("r", "x")).await;

    assert_eq!(reply, PlatformReply::Committed(RowVersion(1)));
}

/// Nothing listens at the platform's address, so the write was never sent. The client must
/// report it as unavailable, not as unknown.
#[tokio::test]
async fn a_write_that_was_never_sent_is_unavailable() {
    let platform = platform().await;
    let client = client(&platform);
    platform.stop().await;

    let reply = commit(&client, unconditional("r", "x")).await;
    let hosts = client.hosts().await;

    assert_eq!(reply, PlatformReply::Unavailable);
    assert_eq!(hosts, Err(Error::Unavailable));
}

/// Guards against retries multiplying the load on a platform that keeps refusing. Once the
/// retry budget is used up, each operation must make a single attempt.
#[tokio::test]
async fn retries_stop_when_their_budget_is_used_up() {
    let platform = platform().await;
    let retry = RetryOptions { ratio: 0.0, max_saved: 1.0, ..options(any_port()).retry };
    let client = Client::new(ClientOptions { retry, ..options(platform.address()) }).unwrap();
    platform.set_mode(ModeSetting::all(Mode::Refuse));

    commit(&client, unconditional("r", "x")).await;
    let with_budget = platform.stats().refused;
    commit(&client, unconditional("r", "x")).await;

    assert_eq!(with_budget, 2);
    assert_eq!(platform.stats().refused, 3);
}

/// A write over the host's quota must fail at once without a request to the platform. Reads
/// have a quota of their own and must still work.
#[tokio::test]
async fn a_write_over_the_quota_is_not_sent() {
    let platform = platform().await;
    let quota = QuotaOptions { writes_per_second: 0.0, ..options(any_port()).quota };
    let client = Client::new(ClientOptions { quota, ..options(platform.address()) }).unwrap();
    let registry = Registry::new();
    client.register(&registry).unwrap();

    let first = commit(&client, unconditional("r", "x")).await;
    let second = commit(&client, unconditional("r", "y")).await;

    let metrics = TextEncoder::new().encode_to_string(&registry.gather()).unwrap();
    assert_eq!(first, PlatformReply::Committed(RowVersion(1)));
    assert_eq!(second, PlatformReply::Unavailable);
    assert_eq!(platform.stats().transactions, 1);
    assert_eq!(row(&client, "r").await.unwrap().value, "x".into());
    assert!(metrics.contains(r#"operations_total{operation="commit",outcome="committed"} 1"#));
    assert!(metrics.contains(r#"operations_total{operation="commit",outcome="over_share"} 1"#));
    assert!(metrics.contains(r#"operation_seconds_count{operation="commit"} 1"#));
}

/// Attempts are counted by how they ended, so that a platform that refuses requests can be told from
/// one that does not answer, and from a host whose quota is used up.
#[tokio::test]
async fn attempts_are_counted_by_how_they_ended() {
    let platform = platform().await;
    let quota = QuotaOptions { writes_per_second: 0.0, ..options(any_port()).quota };
    let client = Client::new(ClientOptions { quota, ..options(platform.address()) }).unwrap();
    let registry = Registry::new();
    client.register(&registry).unwrap();

    row(&client, "r").await;
    platform.set_mode(ModeSetting::all(Mode::Refuse));
    commit(&client, unconditional("r", "x")).await;
    commit(&client, unconditional("r", "x")).await;

    let metrics = TextEncoder::new().encode_to_string(&registry.gather()).unwrap();
    let count = |access: &str, end: &str| {
        let name = "camphorwalk_store_attempts_total";
        let line = format!(r#"{name}{{access="{access}",end="{end}",table="t"}} 1"#);
        metrics.contains(&line)
    };
    assert!(count("read", "answered"), "{metrics}");
    assert!(count("write", "unavailable"), "{metrics}");
    assert!(count("write", "over_quota"), "{metrics}");
}

/// The platform refuses requests of one availability zone only. This checks that clients send
/// their zone: the host of the other zone must be served.
#[tokio::test]
async fn a_refusal_can_affect_one_availability_zone() {
    let platform = platform().await;
    let client_of_zone_a = client(&platform);
    let client_of_zone_b =
        Client::new(ClientOptions { zone: "b".into(), ..options(platform.address()) });
    platform.set_mode(ModeSetting::zone(Mode::Refuse, "a"));

    let refused = client_of_zone_a.run(PlatformOp::Read(vec![key("r")])).await;
    let read = client_of_zone_b.unwrap().run(PlatformOp::Read(vec![key("r")])).await;

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
