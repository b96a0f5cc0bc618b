//! A pool of connections to targets.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::placement::TargetKey;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock;
use crate::read_limit::{Allowance, LimitedStream, MAX_HEAD_BYTES, MAX_HEADERS, TargetBody};

/// How long connecting may take. Zones are a millisecond apart. A target behind a partition does
/// not answer at all, and the call should then go to another one soon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an idle connection is kept if the target sets no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// An idle connection is dropped this long before the target would close it, so that no call is
/// sent while the target is closing it.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);

/// How long a used connection may take to become ready again before it is dropped.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// The maximum number of idle connections to one target. A host rarely has more calls in flight at
/// one target, and all hosts share the connections that the target accepts.
const MAX_IDLE: usize = 6;

/// A connection in use. Dropping it closes it, which makes the target stop its work.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    allowance: Allowance,
}

impl Connection {
    /// Sends a request, and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<TargetBody>, TrySendError<Request<Full<Bytes>>>> {
        self.allowance.reset();
        let response = self.sender.try_send_request(req).await?;

        Ok(response.map(|body| TargetBody::new(body, self.allowance.clone())))
    }

    /// Returns whether the target has sent more than an answer may have.
    pub(crate) fn is_flooded(&self) -> bool {
        self.allowance.is_used_up()
    }
}

struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections to all targets.
#[derive(Default)]
pub struct Connections {
    idle: RefCell<Map<TargetKey, VecDeque<Idle>>>,
}

impl Connections {
    /// Takes an idle connection to a target from the pool.
    ///
    /// The one that has been idle for the longest comes first. If a malfunctioning target sends an
    /// unexpected second answer late, that then arrives while the connection is idle, and closes
    /// it.
    pub fn take(&self, key: TargetKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let queue = idle.get_mut(&key)?;
        let now = clock::now();

        while let Some(Idle { connection, expires_at }) = queue.pop_front() {
            if now < expires_at && connection.sender.is_ready() {
                return Some(connection);
            }
        }

        None
    }

    /// Puts a connection on which no answer is outstanding into the pool. Closes it if the target
    /// would soon close it, if it is not ready in time, or if the pool has [`MAX_IDLE`] connections
    /// to the target.
    pub async fn put_back(
        &self,
        key: TargetKey,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(CLOSE_MARGIN);

        if keep_alive.is_zero()
            || !matches!(timeout(READY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(())))
        {
            return;
        }

        let mut idle = self.idle.borrow_mut();
        let queue = idle.entry(key).or_default();
        if queue.len() < MAX_IDLE {
            queue.push_back(Idle { connection, expires_at: clock::now() + keep_alive });
        }
    }

    /// Closes the idle connections to a target that no longer exists.
    pub fn close(&self, key: TargetKey) {
        self.idle.borrow_mut().remove(&key);
    }
}

/// Why connecting failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// Nothing listens at the address, so the target's process has ended.
    Refused,
    /// There was no answer in time.
    Silent,
    /// The connection broke immediately.
    Broken,
}

/// Opens a new connection.
pub async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(ConnectError::Refused);
        }
        Ok(Err(_)) => return Err(ConnectError::Broken),
        Err(_) => return Err(ConnectError::Silent),
    };
    set_socket_options(&stream);

    let allowance = Allowance::default();
    let stream = LimitedStream::new(stream, allowance.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ConnectError::Broken)?;
    tokio::task::spawn_local(async move {
        // A failure is reported by the call that uses the connection. On an idle connection it does
        // not matter.
        if let Err(e) = connection.await {
            tracing::trace!(error = %e, "connection: closed");
        }
    });

    Ok(Connection { sender, allowance })
}

/// Sets the socket options that make an unresponsive peer noticeable.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);

    // The connection also works without these options, but an unresponsive peer is noticed later.
    if let Err(e) =
        stream.set_nodelay(true).and(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)))
    {
        tracing::debug!(error = %e, "connection: options not set");
    }
}
