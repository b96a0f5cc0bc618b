//! Sends one attempt of a request to the platform and classifies its result.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderValue, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

use crate::errors::{Error, Result};
use crate::options::ClientOptions;
use crate::protocol::StoreRequest;

/// The header that carries the host's availability zone.
const ZONE_HEADER: HeaderName = HeaderName::from_static("x-zone");

/// The largest response body that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The longest time for a whole response body, as a multiple of the deadline of one piece.
const DEADLINES_PER_RESPONSE: u32 = 10;

/// How long to wait after a timeout for data that arrived while the process was paused.
const PAUSED_GRACE: Duration = Duration::from_millis(5);

/// The result of one attempt.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The platform answered.
    Answered {
        /// The response's status.
        status: StatusCode,
        /// The response's body.
        body: Bytes,
        /// The time from the request to the response head.
        head_time: Duration,
    },
    /// The request was not executed and will not be: it was refused or never sent.
    NotExecuted(Rejection),
    /// The response was lost: the request may have been executed or may be executed later.
    Lost {
        /// How long the attempt waited for the next part of the response.
        waited: Duration,
    },
}

/// Why a request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rejection {
    /// No connection could be opened, or the request cannot be built.
    NotSent,
    /// The platform answered that it is unavailable.
    Unavailable,
    /// The platform answered that there are too many requests.
    RateLimited,
}

/// The connections to the platform.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    /// The pool of connections.
    client: Client<HttpConnector, Full<Bytes>>,
    /// The platform's address.
    address: SocketAddr,
    /// The host's availability zone.
    zone: HeaderValue,
    /// The longest wait for each piece of a response body.
    deadline: Duration,
}

impl Transport {
    /// Creates a transport, which connects on its first request.
    pub(crate) fn new(options: &ClientOptions) -> Result<Self> {
        let zone = HeaderValue::from_bytes(options.zone.as_bytes())
            .map_err(|_| Error::BadZone { zone: options.zone.clone() })?;

        // Half of the deadline, so that a slow connect fails as a connect error, after which it is
        // certain that nothing was sent, before the attempt itself times out.
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(options.deadline / 2));
        connector.set_nodelay(true);

        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);

        Ok(Self { client, address: options.address, zone, deadline: options.deadline })
    }

    /// Makes one attempt. It waits for the response head for `head_timeout` plus the time that the
    /// request asks the platform to wait, and for each piece of the body for the deadline. Each
    /// piece calls `on_piece` with the number of body bytes received so far.
    ///
    /// The timeout applies to each piece rather than the whole body, because a total suited to
    /// short responses would abort long ones on slow links, which then restart from the beginning.
    pub(crate) async fn send(
        &self,
        request: &StoreRequest,
        head_timeout: Duration,
        on_piece: &impl Fn(usize),
    ) -> Attempt {
        let Some(req) = self.http_request(request) else {
            return Attempt::NotExecuted(Rejection::NotSent);
        };
        let sent_at = Instant::now();

        // On a timeout the request may still be in flight, so its outcome is unknown.
        let response =
            match timeout_with_grace(head_timeout + request.wait, self.client.request(req)).await {
                Some(Ok(response)) => response,
                Some(Err(error)) if error.is_connect() => {
                    return Attempt::NotExecuted(Rejection::NotSent);
                }
                Some(Err(_)) | None => return Attempt::Lost { waited: sent_at.elapsed() },
            };
        let (status, head_time) = (response.status(), sent_at.elapsed());

        match status {
            StatusCode::SERVICE_UNAVAILABLE => return Attempt::NotExecuted(Rejection::Unavailable),
            StatusCode::TOO_MANY_REQUESTS => return Attempt::NotExecuted(Rejection::RateLimited),
            _ => {}
        }
        if status.is_server_error() {
            return Attempt::Lost { waited: head_time };
        }

        match read_body(response.into_body(), self.deadline, on_piece).await {
            Ok(body) => Attempt::Answered { status, body, head_time },
            Err(waited) => Attempt::Lost { waited },
        }
    }

    /// Builds the HTTP request.
    fn http_request(&self, request: &StoreRequest) -> Option<Request<Full<Bytes>>> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(&*request.path)
            .build()
            .ok()?;

        Request::builder()
            .method(&request.method)
            .uri(uri)
            .header(ZONE_HEADER, &self.zone)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(request.body.clone()))
            .ok()
    }
}

/// Reads a whole body. On failure, returns how long it waited for the missing piece.
async fn read_body<B>(
    body: B,
    deadline: Duration,
    on_piece: &impl Fn(usize),
) -> std::result::Result<Bytes, Duration>
where
    B: BodyExt<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut buf = BytesMut::new();
    let body_deadline = Instant::now() + deadline * DEADLINES_PER_RESPONSE;

    loop {
        let started = Instant::now();
        let error = match timeout_with_grace(deadline, body.frame()).await {
            Some(Some(Ok(_))) if started > body_deadline => "it comes too slowly".into(),
            Some(None) => return Ok(buf.freeze()),
            Some(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    buf.extend_from_slice(&data);
                    on_piece(buf.len());
                }
                continue;
            }
            Some(Some(Err(e))) => e,
            None => "silence".into(),
        };
        let waited = started.elapsed();
        tracing::info!(%error, bytes = buf.len(), ?waited, "platform: response incomplete");
        return Err(waited);
    }
}

/// Waits for a future for at most `limit`, and once more for [`PAUSED_GRACE`].
///
/// After a pause of the process, the timer fires before the data that arrived meanwhile is
/// seen, since another task reads the connection. Hosts with a CPU quota below one core are
/// regularly paused for most of 100 ms.
async fn timeout_with_grace<T>(limit: Duration, f: impl Future<Output = T>) -> Option<T> {
    let mut f = pin!(f);

    match timeout(limit, &mut f).await {
        Ok(done) => Some(done),
        Err(_) => timeout(PAUSED_GRACE, f).await.ok(),
    }
}
