//! A program that separate processes serve from its opening to its end.

mod support;

use http::Method;
use serde_json::{Value, json};
use support::{Fleet, call_body, caller, wait_until};

/// A caller uses one program through three hosts in two zones: a streamed turn, a tool call, a
/// deposit that it repeats at another host, and the end of the program. The repeated deposit must
/// get the recorded answer instead of running again, and ending the program must free the engines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_program_is_served_through_different_hosts() {
    let fleet = Fleet::start(&["a1", "a2", "b1"]).await;
    let program = fleet.open(0, "open-1").await;
    let calls = format!("{program}/calls");

    let mut body = call_body(0, "model");
    body["stream"] = json!(true);
    let turn = caller(0).call(fleet.callers(1), &calls, "turn-1", &body).await.unwrap();
    let look = fleet.call(2, &program, "look-1", 1, "look-up").await;
    let first = fleet.call(2, &program, "deposit-1", 2, "deposit").await;
    let repeated = fleet.call(0, &program, "deposit-1", 2, "deposit").await;
    let history = caller(0).get(fleet.callers(1), &format!("{program}/history")).await.unwrap();
    let ended =
        caller(0).send(Method::DELETE, fleet.callers(1), &program, None, None).await.unwrap();

    let text = turn.body.as_str().expect("the body is a stream of events");
    let (parts, end) = read_stream(text);
    assert_eq!(end["output"], parts, "{text}");
    assert_eq!(end["call"], 1, "{text}");
    assert_eq!(look.body["call"], 2, "{}", look.body);
    assert_eq!(first.body["call"], 3, "{}", first.body);
    assert_eq!(repeated.body, first.body);
    assert_eq!(fleet.run_count("deposit-1").await, 1);
    assert_eq!(history.body["calls"].as_array().map(Vec::len), Some(3));
    assert_eq!(ended.status, 200);
    wait_until("the engines hold nothing", async || fleet.held_prefixes().await == 0).await;
}

/// Returns the concatenated texts of a stream, and the data of its `done` event.
fn read_stream(text: &str) -> (String, Value) {
    let data = |line: &str| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok();
    let (parts, end) = text.split_once("event: done\n").expect("the stream has a done event");
    let texts =
        parts.lines().filter_map(data).map(|part| part["text"].as_str().unwrap().to_owned());

    (texts.collect(), end.lines().find_map(data).expect("the done event has data"))
}
