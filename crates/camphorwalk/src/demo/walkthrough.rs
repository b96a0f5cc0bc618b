//! The steps of the demo: calls through different hosts, with a check of each result.

use std::time::Duration;

use anyhow::{Result, ensure};
use http::Method;
use serde_json::{Value, json};

use super::fleet::{DEPOSIT_OPERATION, Fleet, TEMPLATE};
use crate::client::{Answer, Client};

/// The interval between checks whether the engines' caches are empty, and the maximum number of
/// checks.
const EMPTY_CHECK: (Duration, u32) = (Duration::from_millis(50), 100);

/// Runs one program through different hosts and checks each response and side effect.
pub async fn run(fleet: &Fleet) -> Result<()> {
    let caller = Client::new(&Fleet::key(fleet.tenant()));
    let [a1, a2, b1] = [0, 1, 2].map(|i| fleet.hosts[i].caller_address());

    let body = json!({ "template": TEMPLATE, "deadline_ms": 60_000 });
    let opened = caller.call(a1, "/v1/programs", "open-1", &body).await?;
    ensure!(opened.status == 201, "the program was not opened: {}", opened.body);
    let program = opened.body["program"].as_str().unwrap_or_default().to_owned();
    println!("  a1 opens program {program}, budget {} tokens", opened.body["budget_tokens"]);

    let path = format!("/v1/programs/{program}");
    let calls = format!("{path}/calls");

    let body = json!({ "after": 0, "target": "model", "input": "What is free on Saturday?",
        "max_tokens": 16, "stream": true });
    let turn = caller.call(a2, &calls, "turn-1", &body).await?;
    let (parts, end) = read_events(&turn);
    ensure!(end["call"] == 1, "the model turn did not end: {}", turn.body);
    println!("  a2 streams a model turn in {parts} parts; stored: {}", end["stored"]);

    let body = json!({ "after": 1, "target": "look-up", "input": { "artist": "Ada" } });
    let look_up = caller.call(b1, &calls, "look-1", &body).await?;
    ensure!(look_up.body["call"] == 2, "the tool call did not run: {}", look_up.body);
    println!("  b1 runs a tool call: {}", look_up.body["output"]);

    let body = json!({ "after": 2, "target": "deposit", "input": { "pounds": 50 } });
    let first = caller.call(b1, &calls, "deposit-1", &body).await?;
    ensure!(first.body["call"] == 3, "the deposit was not taken: {}", first.body);
    let repeated = caller.call(a1, &calls, "deposit-1", &body).await?;
    ensure!(repeated.body == first.body, "the repeat got another answer: {}", repeated.body);
    let runs =
        fleet.service.runs().iter().filter(|run| &*run.operation == DEPOSIT_OPERATION).count();
    ensure!(runs == 1, "the ledger shows {runs} deposits");
    println!("  b1 takes a deposit, a1 gets it repeated: the ledger shows {runs} run");

    let history = caller.get(a2, &format!("{path}/history")).await?;
    let count = history.body["calls"].as_array().map_or(0, Vec::len);
    ensure!(count == 3, "the history is not whole: {}", history.body);
    println!("  a2 shows the history: {count} calls in order");

    let ended = caller.send(Method::DELETE, b1, &path, None, None).await?;
    ensure!(ended.status == 200, "the program was not ended: {}", ended.body);
    wait_until_engines_empty(fleet).await?;
    println!("  b1 ends the program; the engines hold nothing");

    let seen = fleet.service.requests();
    let leaked = seen.iter().any(|r| format!("{r:?}").contains(&Fleet::key(fleet.tenant())));
    ensure!(!leaked, "a target saw the caller's key");
    println!("  no target saw the caller's key");

    Ok(())
}

/// Returns the number of token events in a stream, and the data of its `done` event (null if there
/// is none).
fn read_events(answer: &Answer) -> (usize, Value) {
    let text = answer.body.as_str().unwrap_or_default();
    let blocks: Vec<_> = text.split("\n\n").filter(|block| !block.is_empty()).collect();
    let data = |block: &str| {
        let line = block.lines().find_map(|line| line.strip_prefix("data: "));
        line.and_then(|json| serde_json::from_str(json).ok()).unwrap_or(Value::Null)
    };
    let done = |block: &&&str| block.starts_with("event: done");
    let end = blocks.iter().find(done).map_or(Value::Null, |block| data(block));

    (blocks.len().saturating_sub(1), end)
}

/// Waits until the engines hold no prefix; ending a program frees them asynchronously.
async fn wait_until_engines_empty(fleet: &Fleet) -> Result<()> {
    let (interval, attempts) = EMPTY_CHECK;
    let held = || fleet.engines.iter().map(|engine| engine.held().len()).sum::<usize>();

    for _ in 0..attempts {
        if held() == 0 {
            return Ok(());
        }
        tokio::time::sleep(interval).await;
    }

    anyhow::bail!("the engines still hold {} prefixes", held())
}
