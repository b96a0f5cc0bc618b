//! The service stand-in: its ledger must contain exactly the operations that ran.

mod support;

use std::time::Duration;

use camphorwalk_standin::service::ServiceMode;
use camphorwalk_standin::{Service, ServiceOptions};
use http::{Method, StatusCode};
use serde_json::{Value, json};

use support::{any_port, get, post, send, wait_until};

/// Starts a service stand-in in this mode.
async fn service(mode: ServiceMode) -> Service {
    Service::start(any_port(), ServiceOptions { mode, ..Default::default() }).await.unwrap()
}

/// Returns a request to run a deposit.
fn deposit() -> Value {
    json!({"operation": "deposit", "key": "k1", "program": "p1", "call": 2, "input": {"gbp": 50}})
}

#[tokio::test]
async fn a_repeat_runs_again_and_the_ledger_shows_it() {
    let service = service(ServiceMode::Ok).await;
    let address = service.address();

    let first = post(address, "/v1/run", deposit()).await;
    let second = post(address, "/v1/run", deposit()).await;

    let output = |run| json!({"output": {"operation": "deposit", "run": run}});
    assert_eq!(first, (StatusCode::OK, output(1)));
    assert_eq!(second, (StatusCode::OK, output(2)));
    assert_eq!(get(address, "/ledger").await, json!({"runs": [deposit(), deposit()]}));
}

#[tokio::test]
async fn each_mode_runs_or_not_as_it_says() {
    let service = service(ServiceMode::Ok).await;
    let address = service.address();
    let mut seen = Vec::new();

    for mode in ["refuse", "fail_before", "drop_before", "fail_after", "drop_after"] {
        post(address, "/control/mode", json!({"mode": mode})).await;
        let answer = send(address, Method::POST, "/v1/run", deposit().to_string()).await;
        seen.push((answer.map(|(status, _)| status.as_u16()), service.runs().len()));
    }

    assert_eq!(seen, [(Some(503), 0), (Some(500), 0), (None, 0), (Some(500), 1), (None, 2)]);
}

/// The caller closes its connection while the operation runs. The operation must still complete and
/// appear in the ledger, as in a real service that does not notice the disconnect.
#[tokio::test]
async fn an_operation_that_nobody_waits_for_still_runs() {
    let service = service(ServiceMode::Ok).await;
    service.set_mode(ServiceMode::Slow, Duration::from_millis(50));
    let address = service.address();
    let body = deposit().to_string();

    let call = tokio::spawn(async move { send(address, Method::POST, "/v1/run", body).await });
    wait_until(|| !service.requests().is_empty()).await;
    call.abort();

    wait_until(|| service.runs().len() == 1).await;
}

#[tokio::test]
async fn requests_are_kept_with_their_headers() {
    let service = service(ServiceMode::Refuse).await;

    post(service.address(), "/v1/run", deposit()).await;

    let seen = get(service.address(), "/control/requests").await;
    assert_eq!(seen["requests"][0]["path"], "/v1/run");
    assert_eq!(seen["requests"][0]["headers"]["x-test"], "yes");
    assert_eq!(seen["requests"][0]["body"], deposit().to_string());
}

#[tokio::test]
async fn a_malformed_request_does_not_run() {
    let service = service(ServiceMode::Ok).await;

    let (status, body) = post(service.address(), "/v1/run", json!({"operation": "x"})).await;

    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert!(body["error"].as_str().unwrap().contains("missing field"));
    assert!(service.runs().is_empty());
}
