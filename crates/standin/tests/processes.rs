//! Stand-ins that run in their own processes.

mod support;

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use http::Method;
use serde_json::{Value, json};

use support::{get, send};

/// Starts a stand-in. Returns its process and the address that it prints when it is ready.
fn start(arguments: &[&str]) -> (Child, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_camphorwalk-standin"))
        .args(arguments)
        .args(["--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let ready: Value = serde_json::from_str(&line).unwrap();

    (child, ready["address"].as_str().unwrap().parse().unwrap())
}

#[tokio::test]
async fn each_prints_its_address_when_ready() {
    let paths = [("platform", "/v1/hosts"), ("engine", "/v1/held"), ("service", "/ledger")];
    let mut seen = Vec::new();

    for (kind, path) in paths {
        let (mut child, address) = start(&[kind]);
        seen.push(get(address, path).await);
        child.kill().unwrap();
        child.wait().unwrap();
    }

    assert_eq!(seen, [json!({"hosts": []}), json!({"programs": []}), json!({"runs": []})]);
}

#[tokio::test]
async fn an_engine_that_crashes_ends_with_an_error() {
    let (mut child, address) = start(&["engine", "--crash-mark", "boom"]);
    let body = json!({"attempt": "a", "program": "p", "prompt": ["boom"], "max_tokens": 1});

    let answer = send(address, Method::POST, "/v1/generate", body.to_string()).await;

    assert_eq!(answer, None);
    assert_eq!(child.wait().unwrap().code(), Some(1));
}
