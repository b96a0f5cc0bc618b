//! The HTTP API of the platform stand-in, as described in `docs/STANDINS.md`.

mod support;

use camphorwalk_core::platform::ObjectName;
use camphorwalk_standin::{Platform, PlatformOptions};
use http::{Method, StatusCode};
use serde_json::{Value, json};

use support::{any_port, get, post, send};

/// Starts a platform stand-in.
async fn platform() -> Platform {
    Platform::start(any_port(), PlatformOptions::default()).await.unwrap()
}

/// Returns the key of a row in the test table.
fn key(name: &str) -> Value {
    json!({"table": "t", "key": name})
}

/// Returns a transaction that writes a row if the row has this version. A null value deletes it.
fn tx(name: &str, version: u64, value: Value) -> Value {
    json!({
        "checks": [{"key": key(name), "version": version}],
        "writes": [{"key": key(name), "value": value}],
    })
}

#[tokio::test]
async fn a_version_is_not_used_again_after_a_row_was_deleted() {
    let platform = platform().await;
    let address = platform.address();

    let made = post(address, "/v1/tx", tx("a", 0, json!("x"))).await;
    let deleted = post(address, "/v1/tx", tx("a", 1, Value::Null)).await;
    let made_again = post(address, "/v1/tx", tx("a", 0, json!("y"))).await;
    let stale = post(address, "/v1/tx", tx("a", 1, json!("z"))).await;

    let row = json!({"key": key("a"), "version": 3, "value": "y"});
    assert_eq!(made, (StatusCode::OK, json!({"committed": 1})));
    assert_eq!(deleted, (StatusCode::OK, json!({"committed": 2})));
    assert_eq!(made_again, (StatusCode::OK, json!({"committed": 3})));
    assert_eq!(stale, (StatusCode::CONFLICT, json!({"conflict": [row]})));
}

#[tokio::test]
async fn a_conflict_changes_nothing_and_lists_only_existing_rows() {
    let platform = platform().await;
    let address = platform.address();
    let both = json!({
        "checks": [{"key": key("gone"), "version": 7}, {"key": key("a"), "version": 0}],
        "writes": [{"key": key("a"), "value": "x"}],
    });

    let conflict = post(address, "/v1/tx", both).await;
    let read = post(address, "/v1/read", json!({"keys": [key("a"), key("gone")]})).await;

    assert_eq!(conflict, (StatusCode::CONFLICT, json!({"conflict": []})));
    assert_eq!(read, (StatusCode::OK, json!({"rows": []})));
}

#[tokio::test]
async fn a_scan_keeps_to_its_table_prefix_and_limit() {
    let platform = platform().await;
    let address = platform.address();
    for name in ["a", "b/1", "b/2", "b/3", "c"] {
        post(address, "/v1/tx", tx(name, 0, json!(name))).await;
    }
    let other = json!({
        "checks": [],
        "writes": [{"key": {"table": "u", "key": "b/2"}, "value": ""}],
    });
    post(address, "/v1/tx", other).await;
    let scan = |after: &str, limit: u32| json!({"table": "t", "prefix": "b/", "after": after, "limit": limit});
    let keys = |answer: (StatusCode, Value)| {
        let rows = answer.1["rows"].as_array().cloned().unwrap_or_default();
        rows.iter().map(|row| row["key"]["key"].clone()).collect::<Vec<_>>()
    };

    let first = keys(post(address, "/v1/scan", scan("", 2)).await);
    let rest = keys(post(address, "/v1/scan", scan("b/2", 2)).await);

    assert_eq!(first, ["b/1", "b/2"]);
    assert_eq!(rest, ["b/3"]);
}

#[tokio::test]
async fn an_object_is_refused_under_a_name_that_is_not_its_hash() {
    let platform = platform().await;
    let address = platform.address();
    let path = format!("/v1/objects/{}", ObjectName::of(b"good").0);

    let bad = send(address, Method::PUT, &path, "bad").await.unwrap();
    let missing = send(address, Method::GET, &path, "").await.unwrap();
    let good = send(address, Method::PUT, &path, "good").await.unwrap();
    let read = send(address, Method::GET, &path, "").await.unwrap();

    assert_eq!(bad.0, StatusCode::BAD_REQUEST);
    assert_eq!(missing.0, StatusCode::NOT_FOUND);
    assert_eq!(good.0, StatusCode::NO_CONTENT);
    assert_eq!(read, (StatusCode::OK, "good".into()));
}

#[tokio::test]
async fn a_mode_can_apply_to_the_next_requests_only() {
    let platform = platform().await;
    let address = platform.address();
    let read = json!({"keys": []});

    post(address, "/control/mode", json!({"mode": "refuse", "times": 1})).await;
    let refused = post(address, "/v1/read", read.clone()).await;
    let answered = post(address, "/v1/read", read.clone()).await;
    post(address, "/control/mode", json!({"mode": "drop_answers"})).await;
    let dropped = send(address, Method::POST, "/v1/read", read.to_string()).await;

    assert_eq!(refused.0, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answered.0, StatusCode::OK);
    assert_eq!(dropped, None);
    assert_eq!(get(address, "/control/stats").await["reads"], 2);
}
