//! One try of a request to the platform, and what is known after it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderValue, Request, StatusCode, Uri};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::dialect::Call;
use crate::errors::{Error, Result};
use crate::options::ClientOptions;

/// The header that tells the platform the host's availability zone.
const ZONE_HEADER: HeaderName = HeaderName::from_static("x-zone");

/// The largest answer taken in, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// What is known after one try.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The platform answered.
    Answered(StatusCode, Bytes),
    /// The platform did nothing and will not: it refused, or nothing was sent to it.
    NotDone,
    /// The platform may have done it, or may do it later: the answer was lost.
    Lost,
}

/// The connections to the platform.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    /// The pool of connections.
    client: Client<HttpConnector, Full<Bytes>>,
    /// Where the platform listens.
    address: SocketAddr,
    /// The host's availability zone.
    zone: HeaderValue,
}

impl Transport {
    /// Makes a transport; it connects when it is used.
    pub(crate) fn new(options: &ClientOptions) -> Result<Self> {
        let zone = HeaderValue::from_bytes(options.zone.as_bytes())
            .map_err(|_| Error::BadZone { zone: options.zone.clone() })?;

        // Half of the deadline, so that a connection that is not made in time is known as
        // one on which nothing was sent.
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(options.deadline / 2));
        connector.set_nodelay(true);

        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);

        Ok(Self { client, address: options.address, zone })
    }

    /// Makes one try, which may take as long as `deadline`.
    pub(crate) async fn send(&self, call: &Call, deadline: Duration) -> Attempt {
        let Some(req) = self.request(call) else {
            return Attempt::NotDone;
        };

        // The request may be under way when the deadline passes, so that nothing is known.
        tokio::time::timeout(deadline, self.exchange(req)).await.unwrap_or(Attempt::Lost)
    }

    /// Makes the HTTP request of a call.
    fn request(&self, call: &Call) -> Option<Request<Full<Bytes>>> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(&*call.path)
            .build()
            .ok()?;

        Request::builder()
            .method(&call.method)
            .uri(uri)
            .header(ZONE_HEADER, &self.zone)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(call.body.clone()))
            .ok()
    }

    /// Sends a request and reads its answer whole.
    async fn exchange(&self, req: Request<Full<Bytes>>) -> Attempt {
        let response = match self.client.request(req).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Attempt::NotDone,
            Err(_) => return Attempt::Lost,
        };
        let status = response.status();

        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            return Attempt::NotDone;
        }

        if status.is_server_error() {
            return Attempt::Lost;
        }

        match Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await {
            Ok(body) => Attempt::Answered(status, body.to_bytes()),
            Err(_) => Attempt::Lost,
        }
    }
}
