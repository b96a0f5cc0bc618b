//! Outgoing connections: each sends the messages for one peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::PeerMessage;
use futures::{SinkExt, StreamExt as _};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use crate::codec::Frame;
use crate::errors::{Error, Result};
use crate::handshake::{Connection, dial};
use crate::incoming::OpenGuard;
use crate::peers::Shared;

/// The direction of this module's connections in the counters.
const DIRECTION: &str = "out";

/// The most messages taken from the queue at once.
const BATCH: usize = 64;

/// The sending side of one peer, as the rest of the process sees it.
pub(crate) struct Link {
    /// The peer's queue.
    pub(crate) tx: mpsc::Sender<PeerMessage>,
    /// The peer's address.
    pub(crate) address: watch::Sender<SocketAddr>,
    /// Ends the connection.
    pub(crate) stop: CancellationToken,
}

/// The task that sends to one peer.
pub(crate) struct Sending {
    /// What all of this part share.
    shared: Arc<Shared>,
    /// The peer.
    host: HostId,
    /// Its queue.
    rx: mpsc::Receiver<PeerMessage>,
    /// Its address.
    address: watch::Receiver<SocketAddr>,
    /// Messages taken from the queue and not sent yet.
    batch: Vec<PeerMessage>,
    /// The pause after the next failure.
    backoff: Duration,
}

/// What to do after a connection ended or could not be made.
enum Next {
    /// Waits for the next message, then dials.
    OnDemand,
    /// Dials the new address.
    NewAddress,
}

/// Starts the task that sends to one peer.
pub(crate) fn start(shared: Arc<Shared>, host: HostId, address: SocketAddr) -> Link {
    let (tx, rx) = mpsc::channel(shared.options.send_queue);
    let (address_tx, address) = watch::channel(address);
    let stop = shared.stop.child_token();

    let backoff = shared.options.min_backoff;
    let mut sending = Sending { shared, host, rx, address, batch: Vec::new(), backoff };
    let stopped = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stopped.cancelled() => {}
            () = sending.run() => {}
        }
    });

    Link { tx, address: address_tx, stop }
}

impl Sending {
    /// Dials on demand and sends, until the queue's other end is gone.
    async fn run(&mut self) {
        while self.wait_for_message().await {
            let started = Instant::now();
            let address = *self.address.borrow_and_update();

            let ended = match self.dial(address).await {
                Ok(connection) => self.send_all(connection).await,
                Err(error) => Err(error),
            };

            match ended {
                Ok(Next::NewAddress) => continue,
                Ok(Next::OnDemand) => {}
                Err(error) => self.note_failure(address, &error),
            }
            self.drop_waiting();
            self.pause(started).await;
        }
    }

    /// Waits until there is something to send; false when nothing can come any more.
    async fn wait_for_message(&mut self) -> bool {
        !self.batch.is_empty() || self.rx.recv_many(&mut self.batch, BATCH).await > 0
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

    /// Sends messages until the connection ends or the peer's address changes.
    async fn send_all(&mut self, mut connection: Connection<TcpStream>) -> Result<Next> {
        let shared = Arc::clone(&self.shared);
        let gauge = shared.metrics.connections.with_label_values(&[DIRECTION]);
        let _open = OpenGuard::new(gauge);

        let limit = shared.options.silence_limit;
        let mut keepalive = interval(shared.options.keepalive);
        keepalive.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut heard = Instant::now();

        loop {
            self.send_batch(&mut connection).await?;

            tokio::select! {
                count = self.rx.recv_many(&mut self.batch, BATCH) => {
                    if count == 0 {
                        return Ok(Next::OnDemand);
                    }
                }
                _ = keepalive.tick() => {
                    // Without this, frames for a peer that was cut off would wait for
                    // TCP's own retries, which come minutes after the cut is mended.
                    if heard.elapsed() > limit {
                        return Err(Error::Timeout);
                    }
                    self.send_frame(&mut connection, Frame::Keepalive).await?;
                    self.flush(&mut connection).await?;
                }
                answer = connection.frames.next() => {
                    answer.ok_or(Error::Closed)??;
                    heard = Instant::now();
                }
                _ = self.address.changed() => return Ok(Next::NewAddress),
            }
        }
    }

    /// Sends the messages taken from the queue.
    async fn send_batch(&mut self, connection: &mut Connection<TcpStream>) -> Result<()> {
        if self.batch.is_empty() {
            return Ok(());
        }

        // A message leaves the batch once it is written: those left are counted as lost.
        self.batch.reverse();
        while let Some(message) = self.batch.last().cloned() {
            self.send_frame(connection, Frame::Message(message)).await?;
            self.batch.pop();
        }

        self.flush(connection).await
    }

    /// Puts one frame into the connection's buffer, and writes it out when that is full.
    async fn send_frame(&self, connection: &mut Connection<TcpStream>, frame: Frame) -> Result<()> {
        let bytes = frame.wire_bytes();
        let limit = self.shared.options.silence_limit;

        timeout(limit, connection.frames.feed(frame)).await.map_err(|_| Error::Timeout)??;
        self.shared.metrics.frame(DIRECTION, bytes);
        Ok(())
    }

    /// Writes out the connection's buffer.
    async fn flush(&self, connection: &mut Connection<TcpStream>) -> Result<()> {
        let limit = self.shared.options.silence_limit;
        let flush = SinkExt::<Frame>::flush(&mut connection.frames);

        timeout(limit, flush).await.map_err(|_| Error::Timeout)?
    }

    /// Counts a failure, and logs it once for each reason and address.
    fn note_failure(&self, address: SocketAddr, error: &Error) {
        let reason = error.reason();
        self.shared.metrics.failed.with_label_values(&[reason]).inc();

        if self.shared.notices.is_new(reason, address.ip()) {
            info!("peer: connection to {address} failed: {error}");
        }
    }

    /// Drops the messages that wait: by the next connect they would be stale.
    fn drop_waiting(&mut self) {
        while let Ok(message) = self.rx.try_recv() {
            self.batch.push(message);
        }

        self.shared.metrics.drop_messages("unsent", self.batch.len());
        self.batch.clear();
    }

    /// Pauses after a failure: longer each time, until a connection lasts.
    async fn pause(&mut self, started: Instant) {
        let options = &self.shared.options;
        if started.elapsed() > options.max_backoff {
            self.backoff = options.min_backoff;
        }

        // The random half keeps the hosts from dialling a restarted peer all at once.
        let pause = self.backoff.mul_f64(rand::random_range(0.5..1.0));
        let _ = timeout(pause, self.address.changed()).await;
        self.backoff = (self.backoff * 2).min(options.max_backoff);
    }
}
