//! Incoming connections, which receive messages from other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::{SinkExt as _, StreamExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

use crate::codec::Frame;
use crate::errors::{Error, Result};
use crate::handshake::{Connection, Identity, accept};
use crate::metrics::{Direction, OpenConnectionGuard};
use crate::peers::{Inbound, Shared};

/// The pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The incoming connection of a host that delivers messages at present.
pub(crate) struct ActiveConnection {
    /// The connection's number, unique in this process.
    number: u64,
    /// Closes the connection.
    stop: CancellationToken,
    /// Resolves when the connection has delivered its last event.
    finished: oneshot::Receiver<()>,
}

/// Accepts connections until [`Peers`](crate::Peers) is dropped.
pub(crate) async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(shared.options.max_handshakes));

    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, remote) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("peer: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };

        // Limits the connections that never complete their handshake.
        let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
            record_closed(&shared, remote, &Error::TooManyHandshakes);
            continue;
        };

        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let handshake = perform_handshake(&shared, stream).await;
            drop(permit);

            let ended = match handshake {
                Ok(connection) => serve(&shared, connection).await,
                Err(error) => Err(error),
            };
            if let Err(error) = ended {
                record_closed(&shared, remote, &error);
            }
        });
    }
}

/// Counts a closed connection, and logs it once per reason and remote address.
fn record_closed(shared: &Shared, remote: SocketAddr, error: &Error) {
    let reason = error.reason();
    shared.metrics.closed.with_label_values(&[reason]).inc();

    if shared.log_dedup.should_log(reason, remote.ip()) {
        warn!("peer: connection from {remote} closed: {error}");
    }
}

/// Performs the handshake within its timeout.
async fn perform_handshake(shared: &Shared, stream: TcpStream) -> Result<Connection<TcpStream>> {
    stream.set_nodelay(true)?;

    let options = &shared.options;
    let handshake = accept(stream, &shared.identity, &options.secret, options.max_frame_bytes);

    timeout(options.connect_timeout, handshake).await.map_err(|_| Error::Timeout)?
}

/// Delivers the messages of a connection, which replaces the host's previous one.
async fn serve(shared: &Shared, mut connection: Connection<TcpStream>) -> Result<()> {
    let identity = connection.identity.clone();
    let stop = shared.stop.child_token();
    let (finished_tx, finished) = oneshot::channel();

    // The previous connection ends first, so that none of its messages follows the new `Up`.
    let number = shared.next_connection.fetch_add(1, Ordering::Relaxed);
    let active = ActiveConnection { number, stop: stop.clone(), finished };
    let previous = shared.lock_active().insert(identity.host, active);
    if let Some(previous) = previous {
        previous.stop.cancel();
        let _ = previous.finished.await;
    }

    let ended = tokio::select! {
        () = stop.cancelled() => Ok(()),
        ended = deliver(shared, &mut connection) => ended,
    };

    let _ = shared.inbound.send(Inbound::Down { host: identity.host }).await;
    debug!("peer: {} is down", identity.name);

    // A newer connection may have replaced this one.
    let mut connections = shared.lock_active();
    if connections.get(&identity.host).is_some_and(|active| active.number == number) {
        connections.remove(&identity.host);
    }
    drop(connections);

    let _ = finished_tx.send(());
    ended
}

/// Delivers messages until the connection ends.
async fn deliver(shared: &Shared, connection: &mut Connection<TcpStream>) -> Result<()> {
    let Identity { host, name, zone, session } = connection.identity.clone();
    let limit = shared.options.silence_limit;
    let idle_limit = shared.options.idle_keepalive + limit;

    debug!("peer: {name} is up");
    let _open = OpenConnectionGuard::new(&shared.metrics, Direction::In);
    if shared.inbound.send(Inbound::Up { host, name, zone, session }).await.is_err() {
        return Ok(());
    }

    loop {
        let next = timeout(idle_limit, connection.frames.next()).await;
        let Some(frame) = next.map_err(|_| Error::Timeout)? else {
            return Ok(());
        };
        let frame = frame?;
        shared.metrics.record_frame(Direction::In, frame.wire_bytes());

        match frame {
            // The reply shows the dialler that the connection and this host still work.
            Frame::Keepalive => {
                let answer = connection.frames.send(Frame::Keepalive);
                timeout(limit, answer).await.map_err(|_| Error::Timeout)??;
                shared.metrics.record_frame(Direction::Out, Frame::Keepalive.wire_bytes());
            }
            // Only frames to send hold encoded messages.
            Frame::Encoded(_) => {}
            Frame::Message(message) => {
                if shared
                    .inbound
                    .send(Inbound::Message { from: host, message: *message })
                    .await
                    .is_err()
                {
                    return Ok(());
                }
            }
        }
    }
}
