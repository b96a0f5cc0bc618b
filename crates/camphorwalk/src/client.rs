//! A small HTTP client for the commands: JSON in, JSON out.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// How long one request may take.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The most tries of a request that is refused with a time to come back.
const MOST_TRIES: u32 = 40;

/// An HTTP client with a key.
#[derive(Clone, Debug)]
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
    key: Box<str>,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its body; a body that is not JSON stands here as a text.
    pub body: Value,
}

impl Answer {
    /// Returns when to come back with the same idempotency key, if that can help.
    pub fn retry_after(&self) -> Option<Duration> {
        let millis = self.body["error"]["retry_after_ms"].as_u64()?;

        Some(Duration::from_millis(millis))
    }
}

impl Client {
    /// Makes a client that presents this key.
    pub fn new(key: &str) -> Self {
        let http = HyperClient::builder(TokioExecutor::new()).build_http();

        Self { http, key: key.into() }
    }

    /// Sends a request and waits for the whole answer.
    pub async fn send(
        &self,
        method: Method,
        host: SocketAddr,
        path: &str,
        idempotency_key: Option<&str>,
        body: Option<&Value>,
    ) -> Result<Answer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let bytes = body.map(Value::to_string).unwrap_or_default();
        let request = request.body(Full::new(Bytes::from(bytes)))?;

        let answer = async {
            let response = self.http.request(request).await?;
            let status = response.status();
            let bytes = response.into_body().collect().await?.to_bytes();
            let text = || Value::String(String::from_utf8_lossy(&bytes).into_owned());
            let body = serde_json::from_slice(&bytes).unwrap_or_else(|_| text());
            Ok(Answer { status, body })
        };
        tokio::time::timeout(TIMEOUT, answer).await.context("no answer in time")?
    }

    /// Gets a path.
    pub async fn get(&self, host: SocketAddr, path: &str) -> Result<Answer> {
        self.send(Method::GET, host, path, None, None).await
    }

    /// Posts a body.
    pub async fn post(&self, host: SocketAddr, path: &str, body: &Value) -> Result<Answer> {
        self.send(Method::POST, host, path, None, Some(body)).await
    }

    /// Posts a body as a caller does: with an idempotency key, and again when told to come
    /// back. The key makes that safe, also where the first request may have run.
    pub async fn call(
        &self,
        host: SocketAddr,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<Answer> {
        let mut tries = 0;

        loop {
            tries += 1;
            let answer = self.send(Method::POST, host, path, Some(key), Some(body)).await?;
            match answer.retry_after() {
                Some(after) if tries < MOST_TRIES => tokio::time::sleep(after).await,
                _ => return Ok(answer),
            }
        }
    }
}
