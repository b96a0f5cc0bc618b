//! Incoming connections: they deliver messages.

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
use crate::metrics::OpenGuard;
use crate::peers::{Inbound, Shared};

/// The direction of this module's connections in the counters.
const DIRECTION: &str = "in";

/// The pause after a failed accept, for example when there are no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The connection of one host that delivers at present.
pub(crate) struct Current {
    /// Its number among all of this process.
    number: u64,
    /// Ends it.
    stop: CancellationToken,
    /// Resolves when it has delivered its last.
    over: oneshot::Receiver<()>,
}

/// Accepts connections until the part is stopped.
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

        // Strangers that connect and say nothing must not pile up.
        let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
            close(&shared, remote, &Error::Crowded);
            continue;
        };

        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let admitted = admit(&shared, stream).await;
            drop(permit);

            let ended = match admitted {
                Ok(connection) => serve(&shared, connection).await,
                Err(error) => Err(error),
            };
            if let Err(error) = ended {
                close(&shared, remote, &error);
            }
        });
    }
}

/// Counts a closed connection, and logs it once for each reason and remote address.
fn close(shared: &Shared, remote: SocketAddr, error: &Error) {
    let reason = error.reason();
    shared.metrics.closed.with_label_values(&[reason]).inc();

    if shared.notices.is_new(reason, remote.ip()) {
        warn!("peer: connection from {remote} closed: {error}");
    }
}

/// Performs the handshake within its time limit.
async fn admit(shared: &Shared, stream: TcpStream) -> Result<Connection<TcpStream>> {
    stream.set_nodelay(true)?;

    let options = &shared.options;
    let handshake = accept(stream, &shared.identity, &options.secret, options.max_frame_bytes);

    timeout(options.connect_timeout, handshake).await.map_err(|_| Error::Timeout)?
}

/// Delivers the messages of a connection, in place of the host's former one.
async fn serve(shared: &Shared, mut connection: Connection<TcpStream>) -> Result<()> {
    let identity = connection.identity.clone();
    let stop = shared.stop.child_token();
    let (over_tx, over) = oneshot::channel();

    // The former connection ends first, so that nothing of it comes after this one's `Up`.
    let number = shared.next_connection.fetch_add(1, Ordering::Relaxed);
    let current = Current { number, stop: stop.clone(), over };
    let former = shared.lock_current().insert(identity.host, current);
    if let Some(former) = former {
        former.stop.cancel();
        let _ = former.over.await;
    }

    let ended = tokio::select! {
        () = stop.cancelled() => Ok(()),
        ended = deliver(shared, &mut connection) => ended,
    };

    let _ = shared.inbound.send(Inbound::Down { host: identity.host }).await;
    debug!("peer: {} is down", identity.name);

    // A newer connection may have put itself in this one's place.
    let mut delivering = shared.lock_current();
    if delivering.get(&identity.host).is_some_and(|current| current.number == number) {
        delivering.remove(&identity.host);
    }
    drop(delivering);

    let _ = over_tx.send(());
    ended
}

/// Delivers messages until the connection ends.
async fn deliver(shared: &Shared, connection: &mut Connection<TcpStream>) -> Result<()> {
    let Identity { host, name, zone, session } = connection.identity.clone();
    let limit = shared.options.silence_limit;
    let idle_limit = shared.options.idle_keepalive + limit;

    debug!("peer: {name} is up");
    let _open = OpenGuard::new(&shared.metrics, DIRECTION);
    if shared.inbound.send(Inbound::Up { host, name, zone, session }).await.is_err() {
        return Ok(());
    }

    loop {
        let next = timeout(idle_limit, connection.frames.next()).await;
        let Some(frame) = next.map_err(|_| Error::Timeout)? else {
            return Ok(());
        };
        let frame = frame?;
        shared.metrics.frame(DIRECTION, frame.wire_bytes());

        match frame {
            // The dialler learns by the answer that the whole way still works.
            Frame::Keepalive => {
                let answer = connection.frames.send(Frame::Keepalive);
                timeout(limit, answer).await.map_err(|_| Error::Timeout)??;
                shared.metrics.frame("out", Frame::Keepalive.wire_bytes());
            }
            Frame::Message(message) => {
                if shared.inbound.send(Inbound::Message { from: host, message }).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}
