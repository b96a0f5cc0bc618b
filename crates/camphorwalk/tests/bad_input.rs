//! Invalid requests must get the right status and error code and be reported as not run, and the
//! host must continue to serve.

mod support;

use camphorwalk::client::{Answer, Client};
use http::Method;
use serde_json::{Value, json};
use support::{Fleet, call_body, caller};

/// Callers send requests that are malformed, too large, without a valid API key, for another
/// tenant's program, out of order, or with an idempotency key that was used with another body. Each
/// must be refused without an effect on the program, so that a valid call is served afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_is_refused_and_the_host_keeps_serving() {
    let fleet = Fleet::start(&["a1", "b1"]).await;
    let host = fleet.callers(0);
    let program = fleet.open(0, "open-1").await;
    let calls = format!("{program}/calls");
    let done = fleet.call(0, &program, "one", 0, "deposit").await;
    assert_eq!(done.body["call"], 1, "{}", done.body);

    let post = async |client: &Client, path: &str, key: Option<&str>, body: Value| {
        client.send(Method::POST, host, path, key, Some(&body)).await.unwrap()
    };
    let good = caller(0);
    let large = json!({ "after": 1, "target": "model", "input": "x".repeat(2 << 20) });
    let mut unknown_field = call_body(1, "model");
    unknown_field["colour"] = json!("red");
    let mut other_input = call_body(0, "deposit");
    other_input["input"] = json!("another input");
    let open = json!({ "template": "assistant", "deadline_ms": 1_000 });
    let no_template = json!({ "template": "none", "deadline_ms": 1_000 });

    let cases = [
        (post(&good, &calls, Some("m1"), json!("text")).await, 400, "bad_request"),
        (post(&good, &calls, Some("m2"), unknown_field).await, 400, "bad_request"),
        (post(&good, &calls, None, call_body(1, "model")).await, 400, "bad_request"),
        (post(&good, &calls, Some("m3"), call_body(1, "nowhere")).await, 400, "bad_request"),
        (
            post(&good, "/v1/programs/x/calls", Some("m4"), call_body(1, "model")).await,
            400,
            "bad_request",
        ),
        (post(&good, "/v1/programs", None, no_template).await, 400, "bad_request"),
        (post(&good, &calls, Some("m5"), large).await, 413, "too_large"),
        (post(&Client::new(""), "/v1/programs", None, open.clone()).await, 401, "unauthorized"),
        (post(&Client::new("wrong"), "/v1/programs", None, open).await, 401, "unauthorized"),
        (post(&caller(1), &calls, Some("m6"), call_body(1, "model")).await, 404, "not_found"),
        (post(&good, &calls, Some("one"), other_input).await, 409, "key_reused"),
        (post(&good, &calls, Some("m7"), call_body(7, "model")).await, 409, "out_of_order"),
    ];

    for (i, (answer, status, code)) in cases.iter().enumerate() {
        assert_refused(i, answer, *status, code);
    }
    assert_eq!(cases[11].0.body["error"]["head"], 1, "{}", cases[11].0.body);
    let after = fleet.call(0, &program, "two", 1, "deposit").await;
    assert_eq!(after.body["call"], 2, "{}", after.body);
    assert_eq!(fleet.run_count("one").await, 1);
}

/// A body that is not valid JSON must be refused as not run. The test writes to a socket directly,
/// since the client sends only valid JSON.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_json_is_refused() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let fleet = Fleet::start(&["a1"]).await;
    let mut stream = tokio::net::TcpStream::connect(fleet.callers(0)).await.unwrap();
    let head = "POST /v1/programs HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-red-key\r\n\
        content-type: application/json\r\ncontent-length: 9\r\nconnection: close\r\n\r\n{\"templa:";

    stream.write_all(head.as_bytes()).await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();

    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
    assert!(text.contains("\"code\":\"bad_request\""), "{text}");
    assert!(text.contains("\"ran\":\"no\""), "{text}");
}

/// Checks the status and error code of an answer, and that it reports the request as not run.
fn assert_refused(case: usize, answer: &Answer, status: u16, code: &str) {
    let error = &answer.body["error"];

    assert_eq!(answer.status, status, "case {case}: {}", answer.body);
    assert_eq!(error["code"], code, "case {case}: {}", answer.body);
    assert_eq!(error["ran"], "no", "case {case}: {}", answer.body);
}
