//! Accepts the connections of callers.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use camphorwalk_adapter::head::{self, LogIds};
use camphorwalk_core::entry::CallLimits;
use camphorwalk_core::time::Instant;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::answer::{AnswerBody, BrokenBody};
use crate::errors::{Error, Result};
use crate::held_bytes::{ConnectionCloser, Piece};
use crate::host::Shared;
use crate::slow_heads::{HeadWatch, WatchedStream};
use crate::{call, clock, connections};

/// The pause after a failed accept, which is mostly caused by a lack of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER: usize = 8_192;

/// The limits on requests until the first manifest is known.
const DEFAULT_LIMITS: CallLimits = CallLimits {
    head_bytes: 16_384,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Starts to accept connections, and returns the address on which the host listens.
pub(crate) async fn start(shared: &Rc<Shared>) -> Result<SocketAddr> {
    let address = shared.settings.callers_address;
    let listener = TcpListener::bind(address).await.map_err(|e| Error::listen(address, e))?;
    let local = listener.local_addr().map_err(|e| Error::listen(address, e))?;
    let shared = Rc::clone(shared);

    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve(Rc::clone(&shared), stream));
                }
                Err(e) => {
                    tracing::warn!(error = %e, "callers: accept failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });

    Ok(local)
}

/// Returns the limits on callers' requests.
pub(crate) fn limits(shared: &Shared) -> CallLimits {
    shared.routes.borrow().as_ref().map_or(DEFAULT_LIMITS, |table| table.routing().limits)
}

/// The request of a connection that is not answered completely yet.
struct Unanswered {
    ids: LogIds,
    received_at: Instant,
}

/// The request that a connection answers at the moment, if any.
type CurrentRequest = Rc<RefCell<Option<Unanswered>>>;

/// The body of an answer that records when it is complete.
struct TrackedBody {
    body: AnswerBody,
    current: CurrentRequest,
}

impl TrackedBody {
    fn new(body: AnswerBody, current: CurrentRequest) -> Self {
        let tracked = Self { body, current };
        tracked.record_if_complete();

        tracked
    }

    fn record_if_complete(&self) {
        if self.body.is_end_stream() {
            self.current.take();
        }
    }
}

impl Body for TrackedBody {
    type Data = Piece;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Piece>, BrokenBody>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        match &frame {
            Poll::Ready(None) => drop(self.current.take()),
            Poll::Ready(Some(Ok(_))) => self.record_if_complete(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }

        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn answer(
    shared: Rc<Shared>,
    current: CurrentRequest,
    req: Request<Incoming>,
) -> impl Future<Output = Response<TrackedBody>> {
    let ids = head::read_ids(req.headers());
    current.replace(Some(Unanswered { ids, received_at: clock::now() }));

    async move { call::serve(shared, req).await.map(|body| TrackedBody::new(body, current)) }
}

/// What ends a connection of a host whose held bytes have a bound.
struct ConnectionBounds {
    closer: ConnectionCloser,
    heads: HeadWatch,
}

impl ConnectionBounds {
    fn new(current: &CurrentRequest) -> Self {
        let current = Rc::clone(current);
        let heads = HeadWatch::new(move || current.borrow().is_some());

        Self { closer: ConnectionCloser::default(), heads }
    }

    /// Waits until an answer on the connection is given up, or a head arrives too slowly.
    async fn exceeded(&self, shared: &Shared, head_timeout: Duration) {
        tokio::select! {
            () = self.closer.closed() => {}
            () = self.heads.expired(head_timeout) => {
                tracing::info!(?head_timeout, "held: head of a request not complete in time");
                shared.metrics.given_up.with_label_values(&["slow_head"]).inc();
            }
        }
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    connections::set_socket_options(&stream);
    let limits = limits(&shared);
    let current = CurrentRequest::default();
    let bounds = shared.held_bytes.as_ref().map(|_| ConnectionBounds::new(&current));
    let service = service_fn(|mut req: Request<Incoming>| {
        if let Some(bounds) = &bounds {
            bounds.heads.head_complete();
            req.extensions_mut().insert(bounds.closer.clone());
        }
        let answering = answer(Rc::clone(&shared), Rc::clone(&current), req);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let stream = WatchedStream::new(stream, bounds.as_ref().map(|bounds| bounds.heads.clone()));
    // The header timeout also limits how long a connection may stay idle, so it is the longer of
    // the two.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.max(limits.idle_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);

    // A caller may disconnect at any time. Dropping the service's future then ends the work for its
    // call.
    let ended = match &bounds {
        None => Some(connection.await),
        Some(bounds) => tokio::select! {
            ended = connection => Some(ended),
            () = bounds.exceeded(&shared, limits.head_timeout) => None,
        },
    };
    if let Some(unanswered) = current.take() {
        let (cause, error) = match &ended {
            Some(Ok(())) => ("closed", None),
            Some(Err(e)) => (cause(e), Some(e)),
            None => ("given_up", None),
        };
        log_unanswered(&shared, &unanswered, cause, error);
    }
}

/// Logs a connection that ended before the answer to its request was complete.
fn log_unanswered(
    shared: &Shared,
    unanswered: &Unanswered,
    cause: &str,
    error: Option<&hyper::Error>,
) {
    let Unanswered { ids, received_at } = unanswered;

    tracing::info!(
        request = %ids.request, program = %ids.program, cause,
        error = error.map(tracing::field::display),
        took_ms = clock::now().since(*received_at).as_millis() as u64,
        "callers: connection ended before its answer"
    );
    shared.metrics.unanswered.with_label_values(&[cause]).inc();
}

/// Returns the metric label of the error that ended a connection.
fn cause(error: &hyper::Error) -> &'static str {
    let io_error =
        std::error::Error::source(error).and_then(|e| e.downcast_ref::<std::io::Error>());

    match io_error.map(std::io::Error::kind) {
        _ if error.is_timeout() => "idle",
        _ if error.is_user() => "broken_off",
        _ if error.is_incomplete_message() => "closed",
        Some(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => "reset",
        Some(ErrorKind::TimedOut) => "unacknowledged",
        _ => "other",
    }
}
