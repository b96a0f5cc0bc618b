//! Outgoing connections: each sends the messages for one peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::PeerMessage;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use crate::errors::{Error, Result};
use crate::handshake::{Connection, dial};
use crate::peers::{Inbound, Shared};
use crate::sending::{Ended, Sending};

/// The most items taken from the queue at once.
pub(crate) const BATCH: usize = 64;

/// What waits in a peer's queue.
#[derive(Debug)]
pub(crate) enum Item {
    /// A message to send.
    Message(PeerMessage),
    /// Tells when all before it was taken in; dropped if that cannot be known.
    Flush(oneshot::Sender<()>),
}

/// The sending side of one peer, as the rest of the process sees it.
pub(crate) struct Link {
    /// The peer's queue.
    pub(crate) tx: mpsc::Sender<Item>,
    /// The peer's address.
    pub(crate) address: watch::Sender<SocketAddr>,
    /// Ends the connection.
    pub(crate) stop: CancellationToken,
}

/// What one peer's task reads from.
pub(crate) struct Queue {
    /// What waits.
    pub(crate) rx: mpsc::Receiver<Item>,
    /// Items taken from `rx` and not sent yet.
    pub(crate) batch: Vec<Item>,
    /// The peer's address.
    pub(crate) address: watch::Receiver<SocketAddr>,
}

/// Connects to one peer, again and again.
struct Dialler {
    /// What all of this part share.
    shared: Arc<Shared>,
    /// The peer.
    host: HostId,
    /// What is to be sent.
    queue: Queue,
    /// The pause after the next failure.
    backoff: Duration,
}

/// Starts the task that sends to one peer.
pub(crate) fn start(shared: Arc<Shared>, host: HostId, address: SocketAddr) -> Link {
    let (tx, rx) = mpsc::channel(shared.options.send_queue);
    let (address_tx, address) = watch::channel(address);
    let stop = shared.stop.child_token();

    let backoff = shared.options.min_backoff;
    let queue = Queue { rx, batch: Vec::new(), address };
    let mut dialler = Dialler { shared, host, queue, backoff };
    let stopped = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stopped.cancelled() => {}
            () = dialler.run() => {}
        }

        // When all stops, nobody is left to be told.
        if !dialler.shared.stop.is_cancelled() {
            dialler.drop_waiting().await;
        }
    });

    Link { tx, address: address_tx, stop }
}

impl Dialler {
    /// Dials on demand and sends, until the queue's other end is gone.
    async fn run(&mut self) {
        while self.wait_for_item().await {
            // Nothing is under way without a connection, so there is nothing to dial for.
            if let Some(done) = self.take_flush() {
                let _ = done.send(());
                continue;
            }

            let started = Instant::now();
            let address = *self.queue.address.borrow_and_update();

            match self.connect_and_send(address).await {
                Ok(Ended::NewAddress) => {}
                Ok(Ended::NoMore) => return,
                Err(error) => {
                    self.note_failure(address, &error);
                    self.drop_waiting().await;
                    self.pause(started).await;
                }
            }
        }
    }

    /// Connects and sends until the connection ends; tells if messages may be lost with it.
    async fn connect_and_send(&mut self, address: SocketAddr) -> Result<Ended> {
        let connection = self.dial(address).await?;
        let mut sending = Sending::new(&self.shared, connection);
        let ended = sending.run(&mut self.queue).await;

        if !sending.is_settled() {
            let broken = Inbound::ConnectionLost { host: self.host };
            let _ = self.shared.inbound.send(broken).await;
        }
        ended
    }

    /// Waits until there is something to send; false when nothing can come any more.
    async fn wait_for_item(&mut self) -> bool {
        let Queue { rx, batch, .. } = &mut self.queue;

        !batch.is_empty() || rx.recv_many(batch, BATCH).await > 0
    }

    /// Takes the first item that waits if it is a flush.
    fn take_flush(&mut self) -> Option<oneshot::Sender<()>> {
        match self.queue.batch.remove(0) {
            Item::Flush(done) => Some(done),
            message => {
                self.queue.batch.insert(0, message);
                None
            }
        }
    }

    /// Connects and performs the handshake within the time limit.
    async fn dial(&self, address: SocketAddr) -> Result<Connection<TcpStream>> {
        let options = &self.shared.options;
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            dial(stream, &self.shared.identity, &options.secret, options.max_frame_bytes).await
        };
        let connection =
            timeout(options.connect_timeout, connect).await.map_err(|_| Error::Timeout)??;

        // A replaced host's address may belong to another one by now; what is meant for
        // the one must not reach the other.
        if connection.identity.host != self.host {
            return Err(Error::WrongHost);
        }

        debug!("peer: connected to {} at {address}", connection.identity.name);
        Ok(connection)
    }

    /// Counts a failure, and logs it once for each reason and address.
    fn note_failure(&self, address: SocketAddr, error: &Error) {
        let reason = error.reason();
        self.shared.metrics.failed.with_label_values(&[reason]).inc();

        if self.shared.notices.is_new(reason, address.ip()) {
            info!("peer: connection to {address} failed: {error}");
        }
    }

    /// Gives back what waits: by the next connect it would be stale.
    async fn drop_waiting(&mut self) {
        let Queue { rx, batch, .. } = &mut self.queue;
        while let Ok(item) = rx.try_recv() {
            batch.push(item);
        }

        for item in batch.drain(..) {
            if let Item::Message(message) = item {
                self.shared.metrics.drop_messages("unsent", 1);
                let unsent = Inbound::SendFailed { to: self.host, message };
                let _ = self.shared.inbound.send(unsent).await;
            }
        }
    }

    /// Pauses after a failure: longer each time, until a connection lasts.
    async fn pause(&mut self, started: Instant) {
        let options = &self.shared.options;
        if started.elapsed() > options.connect_timeout + options.max_backoff {
            self.backoff = options.min_backoff;
        }

        // The random half keeps the hosts from dialling a restarted peer all at once.
        let pause = self.backoff.mul_f64(rand::random_range(0.5..1.0));
        let _ = timeout(pause, self.queue.address.changed()).await;
        self.backoff = (self.backoff * 2).min(options.max_backoff);
    }
}
