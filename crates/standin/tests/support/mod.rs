//! A small HTTP client and other helpers for the tests of the stand-ins.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Returns a loopback address whose port 0 selects a free port.
pub fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Sends a request. Returns the status and the body, or `None` if there was no complete response.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Option<(StatusCode, Bytes)> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("x-test", "yes")
        .body(Full::new(body.into()))
        .unwrap();

    let response = client.request(req).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?;

    Some((status, body.to_bytes()))
}

/// Sends a POST request with a JSON body. Returns the status and the JSON response, or null if the
/// response is not JSON.
pub async fn post(address: SocketAddr, path: &str, body: Value) -> (StatusCode, Value) {
    let (status, body) = send(address, Method::POST, path, body.to_string()).await.unwrap();

    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// Sends a GET request and returns the JSON response.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    let (_, body) = send(address, Method::GET, path, "").await.unwrap();

    serde_json::from_slice(&body).unwrap()
}

/// Polls a condition until it holds, without a time limit.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
