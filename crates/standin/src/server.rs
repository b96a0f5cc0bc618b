//! A small HTTP/1.1 server whose handlers may also break the connection.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The largest request body taken in, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// What becomes of a request.
pub(crate) enum Answer {
    /// It is answered.
    Reply(Box<Response<Body>>),
    /// The connection is closed without an answer.
    Broken,
}

/// Answers requests; shared by all connections of a server.
pub(crate) type Handler = Arc<dyn Fn(Request<Bytes>) -> BoxFuture<'static, Answer> + Send + Sync>;

/// A listening server. It ends when it is stopped or dropped.
#[derive(Debug)]
pub(crate) struct Server {
    /// Where it listens.
    address: SocketAddr,
    /// Tells the accept loop to end.
    stop: Stopper,
    /// Closed once the listener and all connections are.
    closed: watch::Receiver<()>,
}

/// Ends a server, also from within one of its handlers.
#[derive(Clone, Debug)]
pub(crate) struct Stopper(Arc<watch::Sender<bool>>);

impl Stopper {
    /// Makes the stopper of a server that is yet to be started.
    pub(crate) fn new() -> Self {
        Self(Arc::new(watch::Sender::new(false)))
    }

    /// Tells the server to close its listener and all connections.
    pub(crate) fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Server {
    /// Starts a server; port 0 takes any free port.
    pub(crate) async fn start(listen: SocketAddr, stop: Stopper, handler: Handler) -> Result<Self> {
        let listener =
            TcpListener::bind(listen).await.with_context(|| format!("listening on {listen}"))?;
        let address = listener.local_addr()?;
        let (closed_tx, closed) = watch::channel(());
        let stopped = stop.0.subscribe();

        tokio::spawn(async move {
            accept(listener, stopped, handler).await;
            drop(closed_tx);
        });

        Ok(Self { address, stop, closed })
    }

    /// Returns where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, and returns when that is done.
    pub(crate) async fn stop(&self) {
        self.stop.stop();
        self.closed().await;
    }

    /// Returns when the listener and all connections are closed.
    pub(crate) async fn closed(&self) {
        let mut closed = self.closed.clone();

        // The sender never sends: an error says that it was dropped.
        while closed.changed().await.is_ok() {}
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.stop();
    }
}

/// Accepts connections until told to stop; then aborts those that are open.
async fn accept(listener: TcpListener, mut stopped: watch::Receiver<bool>, handler: Handler) {
    let mut connections = JoinSet::new();

    loop {
        tokio::select! {
            _ = stopped.wait_for(|stopped| *stopped) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, Arc::clone(&handler)));
                }
            }
        }
    }

    drop(listener);
    connections.shutdown().await;
}

/// Serves one connection to its end.
async fn serve(stream: TcpStream, handler: Handler) {
    // Without this, small answers wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| respond(req, Arc::clone(&handler)));

    // An error means that the peer went away or that a handler broke the connection.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Reads a request whole and answers it; an error closes the connection.
async fn respond(
    req: Request<Incoming>,
    handler: Handler,
) -> std::result::Result<Response<Body>, std::io::Error> {
    let (parts, body) = req.into_parts();

    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
    };

    match handler(Request::from_parts(parts, body)).await {
        Answer::Reply(response) => Ok(*response),
        Answer::Broken => Err(std::io::ErrorKind::ConnectionAborted.into()),
    }
}

/// Makes an answer of this status, type and content.
fn reply(status: StatusCode, content_type: &'static str, content: Bytes) -> Answer {
    let body = Full::new(content).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(http::header::CONTENT_TYPE, value);

    Answer::Reply(Box::new(response))
}

/// Makes a JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(content) => reply(status, "application/json", content.into()),
        Err(_) => Answer::Broken,
    }
}

/// Makes an answer of raw bytes.
pub(crate) fn raw(content: Bytes) -> Answer {
    reply(StatusCode::OK, "application/octet-stream", content)
}

/// Makes an answer without a body.
pub(crate) fn empty(status: StatusCode) -> Answer {
    reply(status, "text/plain", Bytes::new())
}

/// The body of an answer that tells of a fault.
#[derive(Debug, Serialize)]
struct Fault<'a> {
    /// The fault, for a human reader.
    error: &'a str,
}

/// Makes an answer that tells of a fault.
pub(crate) fn fault(status: StatusCode, error: &str) -> Answer {
    json(status, &Fault { error })
}

/// Reads a JSON body, or returns the answer to a malformed one.
pub(crate) fn parse<T: DeserializeOwned>(body: &Bytes) -> std::result::Result<T, Answer> {
    serde_json::from_slice(body).map_err(|error| fault(StatusCode::BAD_REQUEST, &error.to_string()))
}
