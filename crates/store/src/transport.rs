//! One try of a request to the platform, and what is known after it.

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

/// The header that tells the platform the host's availability zone.
const ZONE_HEADER: HeaderName = HeaderName::from_static("x-zone");

/// The largest answer taken in, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How many deadlines a whole answer may take.
const DEADLINES_PER_ANSWER: u32 = 10;

/// How long is looked for what came while the process was paused.
const PAUSED_GRACE: Duration = Duration::from_millis(5);

/// What is known after one try.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The platform answered.
    Answered {
        /// The answer's status.
        status: StatusCode,
        /// The answer's body.
        body: Bytes,
        /// The time from the request to the answer's head.
        head_after: Duration,
    },
    /// The platform did nothing and will not: it refused, or nothing was sent to it.
    NotDone,
    /// The platform may have done it, or may do it later: the answer was lost.
    Lost {
        /// How long the next part of the answer was waited for.
        waited: Duration,
    },
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
    /// How long a piece of an answer may take after its head.
    deadline: Duration,
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

        Ok(Self { client, address: options.address, zone, deadline: options.deadline })
    }

    /// Makes one try. The answer's head is waited for as long as `patience` and what the platform
    /// was asked to wait, and each further piece as long as the deadline. `on_piece` is told how
    /// many bytes of the body have come, with each piece.
    ///
    /// A bound on the whole that is made for short answers would give up long ones on slow links,
    /// which then come again from their start.
    pub(crate) async fn send(
        &self,
        call: &StoreRequest,
        patience: Duration,
        on_piece: &impl Fn(usize),
    ) -> Attempt {
        let Some(req) = self.request(call) else {
            return Attempt::NotDone;
        };
        let sent = Instant::now();

        // The request may be under way when the time is over, so that nothing is known.
        let response = match within(patience + call.wait, self.client.request(req)).await {
            Some(Ok(response)) => response,
            Some(Err(error)) if error.is_connect() => return Attempt::NotDone,
            Some(Err(_)) | None => return Attempt::Lost { waited: sent.elapsed() },
        };
        let (status, head_after) = (response.status(), sent.elapsed());

        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            return Attempt::NotDone;
        }
        if status.is_server_error() {
            return Attempt::Lost { waited: head_after };
        }

        match read_body(response.into_body(), self.deadline, on_piece).await {
            Ok(body) => Attempt::Answered { status, body, head_after },
            Err(waited) => Attempt::Lost { waited },
        }
    }

    /// Makes the HTTP request of a call.
    fn request(&self, call: &StoreRequest) -> Option<Request<Full<Bytes>>> {
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
}

/// Reads a body whole; or returns how long its next piece was waited for in vain.
async fn read_body<B>(
    body: B,
    deadline: Duration,
    on_piece: &impl Fn(usize),
) -> std::result::Result<Bytes, Duration>
where
    B: BodyExt<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut buf = BytesMut::new();
    let end = Instant::now() + deadline * DEADLINES_PER_ANSWER;

    loop {
        let began = Instant::now();
        let error = match within(deadline, body.frame()).await {
            Some(Some(Ok(_))) if began > end => "it comes too slowly".into(),
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
        let waited = began.elapsed();
        tracing::info!(%error, bytes = buf.len(), ?waited, "platform: answer broke off");
        return Err(waited);
    }
}

/// Waits for something as long as `patience`.
///
/// A process that was paused sees that the time is over before it sees what came meanwhile, since
/// the connection is read by another task. Hosts with a part of a processor are paused for most of
/// a tenth of a second again and again.
async fn within<T>(patience: Duration, f: impl Future<Output = T>) -> Option<T> {
    let mut f = pin!(f);

    match timeout(patience, &mut f).await {
        Ok(done) => Some(done),
        Err(_) => timeout(PAUSED_GRACE, f).await.ok(),
    }
}
