//! An open outgoing connection.

use std::time::Instant;

use futures::{SinkExt, StreamExt as _};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::codec::Frame;
use crate::errors::{Error, Result};
use crate::handshake::Connection;
use crate::keepalive::{KeepaliveAction, KeepaliveTracker};
use crate::metrics::{Direction, OpenConnectionGuard};
use crate::outgoing::{BATCH, PeerQueue, QueueItem};
use crate::peers::Shared;

/// Why a connection ended without a failure.
pub(crate) enum EndReason {
    /// The peer's address changed.
    NewAddress,
    /// The send queue is closed.
    QueueClosed,
}

/// An open connection that messages are sent on.
pub(crate) struct Sending<'a> {
    /// The state shared by all tasks.
    shared: &'a Shared,
    /// The connection.
    connection: Connection<TcpStream>,
    /// Tracks whether the peer still confirms messages.
    keepalive: KeepaliveTracker,
    /// Flushes, each with the number of the keepalive whose reply completes it.
    flushes: Vec<(u64, oneshot::Sender<()>)>,
}

impl<'a> Sending<'a> {
    /// Creates the sender of a new connection.
    pub(crate) fn new(shared: &'a Shared, connection: Connection<TcpStream>) -> Self {
        let keepalive = KeepaliveTracker::new(shared.options.keepalive_times(), Instant::now());

        Self { shared, connection, keepalive, flushes: Vec::new() }
    }

    /// Returns whether the peer has confirmed all messages.
    pub(crate) fn is_all_confirmed(&self) -> bool {
        self.keepalive.is_all_confirmed()
    }

    /// Sends queued items until the connection ends.
    pub(crate) async fn run(&mut self, queue: &mut PeerQueue) -> Result<EndReason> {
        let _open = OpenConnectionGuard::new(&self.shared.metrics, Direction::Out);
        let mut ticks = interval(self.shared.options.keepalive / 2);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);

        loop {
            self.send_batch(&mut queue.batch).await?;

            tokio::select! {
                count = queue.rx.recv_many(&mut queue.batch, BATCH) => {
                    if count == 0 {
                        return Ok(EndReason::QueueClosed);
                    }
                }
                reply = self.connection.frames.next() => {
                    let frame = reply.ok_or(Error::Closed)??;
                    self.shared.metrics.record_frame(Direction::In, frame.wire_bytes());
                    self.record_reply();
                }
                _ = ticks.tick() => self.tick().await?,
                _ = queue.address.changed() => return Ok(EndReason::NewAddress),
            }
        }
    }

    /// Sends the items taken from the queue.
    async fn send_batch(&mut self, batch: &mut Vec<QueueItem>) -> Result<()> {
        if batch.is_empty() {
            return Ok(());
        }

        // Items are removed one by one, so that after a failure the batch holds those not sent.
        batch.reverse();
        while let Some(item) = batch.pop() {
            match item {
                QueueItem::Message(message) => self.send_message(Frame::Message(message)).await?,
                QueueItem::Encoded(message) => self.send_message(Frame::Encoded(message)).await?,
                QueueItem::Flush(done) => {
                    let number = self.send_keepalive().await?;
                    self.flushes.push((number, done));
                }
            }
        }

        self.flush().await
    }

    /// Sends one message.
    async fn send_message(&mut self, message: Frame) -> Result<()> {
        // Recorded before sending: after a failure, a part of the message may have been sent.
        self.keepalive.record_message();

        self.send_frame(message).await
    }

    /// Sends a keepalive; returns its number.
    async fn send_keepalive(&mut self) -> Result<u64> {
        self.send_frame(Frame::Keepalive).await?;

        Ok(self.keepalive.record_keepalive(Instant::now()))
    }

    /// Sends a keepalive if one is due. Fails if the peer has not replied in time.
    async fn tick(&mut self) -> Result<()> {
        match self.keepalive.next(Instant::now()) {
            KeepaliveAction::Wait => Ok(()),
            KeepaliveAction::Close => Err(Error::Timeout),
            KeepaliveAction::Send => {
                self.send_keepalive().await?;
                self.flush().await
            }
        }
    }

    /// Records the reply to a keepalive, and completes the flushes that waited for it.
    fn record_reply(&mut self) {
        let number = self.keepalive.record_reply(Instant::now());
        let is_open = |flush: &mut (u64, oneshot::Sender<()>)| flush.0 > number;

        for (_, done) in self.flushes.extract_if(.., |flush| !is_open(flush)) {
            let _ = done.send(());
        }
    }

    /// Writes one frame to the connection's buffer, and flushes the buffer if it is full.
    async fn send_frame(&mut self, frame: Frame) -> Result<()> {
        let bytes = frame.wire_bytes();
        let limit = self.shared.options.silence_limit;

        timeout(limit, self.connection.frames.feed(frame)).await.map_err(|_| Error::Timeout)??;
        self.shared.metrics.record_frame(Direction::Out, bytes);
        Ok(())
    }

    /// Flushes the connection's buffer.
    async fn flush(&mut self) -> Result<()> {
        let limit = self.shared.options.silence_limit;
        let flush = SinkExt::<Frame>::flush(&mut self.connection.frames);

        timeout(limit, flush).await.map_err(|_| Error::Timeout)?
    }
}
