//! A small HTTP client for the commands, with JSON bodies.

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

/// The time limit of one request, including its response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum number of attempts of [`Client::call`] while the answers ask for a retry.
const MAX_ATTEMPTS: u32 = 40;

/// An HTTP client that authenticates with a key.
#[derive(Clone, Debug)]
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
    key: Box<str>,
}

/// A response of a host.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body. A body that is not valid JSON is stored as a JSON string.
    pub body: Value,
}

impl Answer {
    /// Returns the delay after which the request may be retried with the same idempotency key, if
    /// the host asks for a retry.
    pub fn retry_after(&self) -> Option<Duration> {
        let millis = self.body["error"]["retry_after_ms"].as_u64()?;

        Some(Duration::from_millis(millis))
    }
}

impl Client {
    /// Creates a client that sends this key as a bearer token.
    pub fn new(key: &str) -> Self {
        let http = HyperClient::builder(TokioExecutor::new()).build_http();

        Self { http, key: key.into() }
    }

    /// Sends a request and waits for the complete response.
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
        tokio::time::timeout(REQUEST_TIMEOUT, answer).await.context("no answer in time")?
    }

    /// Sends a GET request.
    pub async fn get(&self, host: SocketAddr, path: &str) -> Result<Answer> {
        self.send(Method::GET, host, path, None, None).await
    }

    /// Sends a POST request without an idempotency key.
    pub async fn post(&self, host: SocketAddr, path: &str, body: &Value) -> Result<Answer> {
        self.send(Method::POST, host, path, None, Some(body)).await
    }

    /// Sends a POST request with an idempotency key, and retries it when the host asks for that.
    /// The key makes retries safe even if an earlier attempt may have run.
    pub async fn call(
        &self,
        host: SocketAddr,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<Answer> {
        let mut attempts = 0;

        loop {
            attempts += 1;
            let answer = self.send(Method::POST, host, path, Some(key), Some(body)).await?;
            match answer.retry_after() {
                Some(after) if attempts < MAX_ATTEMPTS => tokio::time::sleep(after).await,
                _ => return Ok(answer),
            }
        }
    }
}
