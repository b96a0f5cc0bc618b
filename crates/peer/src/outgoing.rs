//! Outgoing connections, each of which sends the messages for one peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
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
use crate::sending::{EndReason, Sending};

/// The maximum number of items taken from the queue at once.
pub(crate) const BATCH: usize = 64;

/// An item in a peer's send queue.
#[derive(Debug)]
pub(crate) enum QueueItem {
    /// A message to send.
    Message(Box<PeerMessage>),
    /// A message to send that other peers get, too.
    Encoded(Bytes),
    /// Signals when the peer has confirmed all messages before it; dropped if it cannot.
    Flush(oneshot::Sender<()>),
}

/// The queue and controls of the task that sends to one peer.
pub(crate) struct PeerHandle {
    /// The peer's send queue.
    pub(crate) tx: mpsc::Sender<QueueItem>,
    /// The peer's address.
    pub(crate) address: watch::Sender<SocketAddr>,
    /// Stops the task and closes the connection.
    pub(crate) stop: CancellationToken,
}

/// The receiving ends that the task of one peer reads from.
pub(crate) struct PeerQueue {
    /// The queued items.
    pub(crate) rx: mpsc::Receiver<QueueItem>,
    /// Items taken from `rx` and not sent yet.
    pub(crate) batch: Vec<QueueItem>,
    /// The peer's address.
    pub(crate) address: watch::Receiver<SocketAddr>,
}

/// The task that connects to one peer whenever there is something to send.
struct Dialler {
    /// The state shared by all tasks.
    shared: Arc<Shared>,
    /// The peer.
    host: HostId,
    /// The items to send and the peer's address.
    queue: PeerQueue,
    /// The pause after the next failure.
    backoff: Duration,
}

/// Starts the task that sends to one peer.
pub(crate) fn start(shared: Arc<Shared>, host: HostId, address: SocketAddr) -> PeerHandle {
    let (tx, rx) = mpsc::channel(shared.options.send_queue);
    let (address_tx, address) = watch::channel(address);
    let stop = shared.stop.child_token();

    let backoff = shared.options.min_backoff;
    let queue = PeerQueue { rx, batch: Vec::new(), address };
    let mut dialler = Dialler { shared, host, queue, backoff };
    let stopped = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stopped.cancelled() => {}
            () = dialler.run() => {}
        }

        // If all tasks stop, nobody reads the events any more.
        if !dialler.shared.stop.is_cancelled() {
            dialler.report_unsent().await;
        }
    });

    PeerHandle { tx, address: address_tx, stop }
}

impl Dialler {
    /// Connects on demand and sends, until the queue's sender is dropped.
    async fn run(&mut self) {
        while self.wait_for_item().await {
            // Without a connection nothing is unconfirmed, so there is no need to connect.
            if let Some(done) = self.take_flush() {
                let _ = done.send(());
                continue;
            }

            let started = Instant::now();
            let address = *self.queue.address.borrow_and_update();

            match self.connect_and_send(address).await {
                Ok(EndReason::NewAddress) => {}
                Ok(EndReason::QueueClosed) => return,
                Err(error) => {
                    self.record_failure(address, &error);
                    self.report_unsent().await;
                    self.back_off(started).await;
                }
            }
        }
    }

    /// Connects and sends until the connection ends. Reports `ConnectionLost` if messages were not
    /// confirmed by then.
    async fn connect_and_send(&mut self, address: SocketAddr) -> Result<EndReason> {
        let connection = self.dial(address).await?;
        let mut sending = Sending::new(&self.shared, connection);
        let ended = sending.run(&mut self.queue).await;

        if !sending.is_all_confirmed() {
            let lost = Inbound::ConnectionLost { host: self.host };
            let _ = self.shared.inbound.send(lost).await;
        }
        ended
    }

    /// Waits until there is something to send; false if the queue is closed.
    async fn wait_for_item(&mut self) -> bool {
        let PeerQueue { rx, batch, .. } = &mut self.queue;

        !batch.is_empty() || rx.recv_many(batch, BATCH).await > 0
    }

    /// Takes the first queued item if it is a flush.
    fn take_flush(&mut self) -> Option<oneshot::Sender<()>> {
        match self.queue.batch.remove(0) {
            QueueItem::Flush(done) => Some(done),
            message => {
                self.queue.batch.insert(0, message);
                None
            }
        }
    }

    /// Connects and performs the handshake within the timeout.
    async fn dial(&self, address: SocketAddr) -> Result<Connection<TcpStream>> {
        let options = &self.shared.options;
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            dial(stream, &self.shared.identity, &options.secret, options.max_frame_bytes).await
        };
        let connection =
            timeout(options.connect_timeout, connect).await.map_err(|_| Error::Timeout)??;

        // The address of a replaced host may belong to another host by now, which must not receive
        // messages for the former.
        if connection.identity.host != self.host {
            return Err(Error::WrongHost);
        }

        debug!("peer: connected to {} at {address}", connection.identity.name);
        Ok(connection)
    }

    /// Counts a failure, and logs it once per reason and address.
    fn record_failure(&self, address: SocketAddr, error: &Error) {
        let reason = error.reason();
        self.shared.metrics.failed.with_label_values(&[reason]).inc();

        if self.shared.log_dedup.should_log(reason, address.ip()) {
            info!("peer: connection to {address} failed: {error}");
        }
    }

    /// Reports all queued messages as [`Inbound::SendFailed`] and drops the queued flushes. The
    /// messages would be stale after the next connect.
    async fn report_unsent(&mut self) {
        let PeerQueue { rx, batch, .. } = &mut self.queue;
        while let Ok(item) = rx.try_recv() {
            batch.push(item);
        }

        for item in batch.drain(..) {
            match item {
                QueueItem::Message(message) => {
                    self.shared.metrics.record_dropped("unsent", 1);
                    let failed = Inbound::SendFailed { to: self.host, message: *message };
                    let _ = self.shared.inbound.send(failed).await;
                }
                QueueItem::Encoded(_) => self.shared.metrics.record_dropped("unsent", 1),
                QueueItem::Flush(_) => {}
            }
        }
    }

    /// Waits after a failure, with exponential backoff. The backoff returns to its minimum if
    /// the connection lasted longer than a failed connect and its backoff can take.
    async fn back_off(&mut self, started: Instant) {
        let options = &self.shared.options;
        if started.elapsed() > options.connect_timeout + options.max_backoff {
            self.backoff = options.min_backoff;
        }

        // Jitter prevents all hosts from connecting to a restarted peer at the same moment.
        let pause = self.backoff.mul_f64(rand::random_range(0.5..1.0));
        let _ = timeout(pause, self.queue.address.changed()).await;
        self.backoff = (self.backoff * 2).min(options.max_backoff);
    }
}
