//! A small HTTP/1.1 server whose handlers can also close the connection without an answer.

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

/// The maximum size of a request body in bytes. The server closes the connection if a body is
/// larger.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// What a handler does with a request.
pub(crate) enum Answer {
    /// Sends a response.
    Reply(Box<Response<Body>>),
    /// Closes the connection without a response.
    CloseConnection,
}

/// Handles requests. All connections of a server share it.
pub(crate) type Handler = Arc<dyn Fn(Request<Bytes>) -> BoxFuture<'static, Answer> + Send + Sync>;

/// A running server. It stops when it is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    /// The address at which the server listens.
    address: SocketAddr,
    /// Stops the accept loop.
    stop: Stopper,
    /// A channel whose sender is dropped once the listener and all connections are closed.
    closed: watch::Receiver<()>,
}

/// A handle that stops a server. Handlers can use it too.
#[derive(Clone, Debug)]
pub(crate) struct Stopper(Arc<watch::Sender<bool>>);

impl Stopper {
    /// Creates a handle for a server that will be started with it.
    pub(crate) fn new() -> Self {
        Self(Arc::new(watch::Sender::new(false)))
    }

    /// Makes the server close its listener and all connections. Does not wait for that.
    pub(crate) fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Server {
    /// Starts a server. Port 0 selects a free port.
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

    /// Returns the address at which the server listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, and waits until that is done.
    pub(crate) async fn stop(&self) {
        self.stop.stop();
        self.wait_closed().await;
    }

    /// Waits until the listener and all connections are closed.
    pub(crate) async fn wait_closed(&self) {
        let mut closed = self.closed.clone();

        // The sender never sends a value. An error means that it was dropped.
        while closed.changed().await.is_ok() {}
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.stop();
    }
}

/// Accepts connections until the server is stopped, then aborts the open ones.
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

/// Serves one connection until it closes.
async fn serve(stream: TcpStream, handler: Handler) {
    // Without TCP_NODELAY, small responses wait for the client's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| respond(req, Arc::clone(&handler)));

    // An error means that the client disconnected or that a handler closed the connection.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Reads a complete request and passes it to the handler. An error closes the connection.
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
        Answer::CloseConnection => Err(std::io::ErrorKind::ConnectionAborted.into()),
    }
}

/// Creates a response with this status, content type and content.
fn reply(status: StatusCode, content_type: &'static str, content: Bytes) -> Answer {
    let body = Full::new(content).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(http::header::CONTENT_TYPE, value);

    Answer::Reply(Box::new(response))
}

/// Creates a JSON response.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(content) => reply(status, "application/json", content.into()),
        Err(_) => Answer::CloseConnection,
    }
}

/// Creates a response of raw bytes.
pub(crate) fn raw_response(content: Bytes) -> Answer {
    reply(StatusCode::OK, "application/octet-stream", content)
}

/// Creates a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Answer {
    reply(status, "text/plain", Bytes::new())
}

/// The body of an error response.
#[derive(Debug, Serialize)]
struct Fault<'a> {
    /// A description of the error.
    error: &'a str,
}

/// Creates an error response.
pub(crate) fn error_response(status: StatusCode, error: &str) -> Answer {
    json_response(status, &Fault { error })
}

/// Parses a JSON body. Returns an error response if it is malformed.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &Bytes) -> std::result::Result<T, Answer> {
    serde_json::from_slice(body)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))
}
