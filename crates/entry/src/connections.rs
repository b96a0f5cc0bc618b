//! Kept connections to targets.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::placement::TargetKey;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock;

/// How long a connect may take. Zones are a millisecond apart; a target behind a cut answers
/// nothing, and the call is better sent elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long bytes may stay unacknowledged, as a guard against connections that fell silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// How long an unused connection is kept where the target does not say.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// A connection is left unused this long before its target would close it, so that no call
/// crosses the close.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);

/// How long a used connection may take to be ready again before it is dropped.
const READY_LIMIT: Duration = Duration::from_millis(100);

/// The most unused connections kept to one target. A host rarely has more calls in flight at
/// one target, whose connections all hosts share.
const MOST_UNUSED: usize = 6;

/// A connection in use. Dropping it closes it, which has its target stop work.
pub struct Connection {
    /// The sending side.
    pub sender: SendRequest<Full<Bytes>>,
}

struct Unused {
    sender: SendRequest<Full<Bytes>>,
    until: Instant,
}

/// The unused connections to all targets.
#[derive(Default)]
pub struct Connections {
    unused: RefCell<Map<TargetKey, VecDeque<Unused>>>,
}

impl Connections {
    /// Returns an unused connection to a target.
    ///
    /// The one that was unused the longest comes first: a late second answer of a target in
    /// disorder then shows while the connection is unused, and closes it.
    pub fn take(&self, key: TargetKey) -> Option<Connection> {
        let mut unused = self.unused.borrow_mut();
        let queue = unused.get_mut(&key)?;
        let now = clock::now();

        while let Some(Unused { sender, until }) = queue.pop_front() {
            if now < until && sender.is_ready() {
                return Some(Connection { sender });
            }
        }

        None
    }

    /// Keeps a connection whose answer was taken whole.
    pub async fn put_back(
        &self,
        key: TargetKey,
        mut connection: Connection,
        keep: Option<Duration>,
    ) {
        let keep = keep.unwrap_or(DEFAULT_KEEP).saturating_sub(CLOSE_MARGIN);

        if keep.is_zero()
            || !matches!(timeout(READY_LIMIT, connection.sender.ready()).await, Ok(Ok(())))
        {
            return;
        }

        let mut unused = self.unused.borrow_mut();
        let queue = unused.entry(key).or_default();
        if queue.len() < MOST_UNUSED {
            queue.push_back(Unused { sender: connection.sender, until: clock::now() + keep });
        }
    }

    /// Closes the unused connections to a target that is gone.
    pub fn close(&self, key: TargetKey) {
        self.unused.borrow_mut().remove(&key);
    }
}

/// Why no connection could be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// Nothing listens there: the target's process is gone.
    Refused,
    /// Nothing answered in time.
    Silent,
    /// The connection broke at once.
    Broken,
}

/// Makes a new connection.
pub async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(ConnectError::Refused);
        }
        Ok(Err(_)) => return Err(ConnectError::Broken),
        Err(_) => return Err(ConnectError::Silent),
    };
    guard(&stream);

    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ConnectError::Broken)?;
    tokio::task::spawn_local(async move {
        // A broken connection shows at the call that uses it; on an unused one it is no news.
        if let Err(e) = connection.await {
            tracing::trace!(error = %e, "connection: closed");
        }
    });

    Ok(Connection { sender })
}

/// Sets what a connection needs to notice that the other side fell silent.
pub fn guard(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);

    // Without these options the connection works, only silence is noticed later.
    if let Err(e) = stream.set_nodelay(true).and(socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))) {
        tracing::debug!(error = %e, "connection: options not set");
    }
}
