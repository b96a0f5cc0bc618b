//! One outgoing connection while it is open.

use std::time::Instant;

use camphorwalk_core::messages::PeerMessage;
use futures::{SinkExt, StreamExt as _};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::codec::Frame;
use crate::errors::{Error, Result};
use crate::handshake::Connection;
use crate::metrics::OpenGuard;
use crate::outgoing::{BATCH, Item, Queue};
use crate::peers::Shared;
use crate::pulse::{Next, Pulse};

/// The direction of this module's connections in the counters.
const DIRECTION: &str = "out";

/// Why a connection ended without a failure.
pub(crate) enum Ended {
    /// The peer's address changed.
    NewAddress,
    /// Nothing can come to be sent any more.
    NoMore,
}

/// An open connection that messages are sent on.
pub(crate) struct Sending<'a> {
    /// What all of this part share.
    shared: &'a Shared,
    /// The connection.
    connection: Connection<TcpStream>,
    /// Whether the other end still takes what is sent.
    pulse: Pulse,
    /// Flushes that wait for the answer to the keepalive with this number.
    flushes: Vec<(u64, oneshot::Sender<()>)>,
}

impl<'a> Sending<'a> {
    /// Makes the sending side of a connection that is just open.
    pub(crate) fn new(shared: &'a Shared, connection: Connection<TcpStream>) -> Self {
        let pulse = Pulse::new(shared.options.times(), Instant::now());

        Self { shared, connection, pulse, flushes: Vec::new() }
    }

    /// Returns whether all messages were surely taken in.
    pub(crate) fn is_settled(&self) -> bool {
        self.pulse.is_settled()
    }

    /// Sends what comes until the connection ends.
    pub(crate) async fn run(&mut self, queue: &mut Queue) -> Result<Ended> {
        let _open = OpenGuard::new(&self.shared.metrics, DIRECTION);
        let mut ticks = interval(self.shared.options.keepalive / 2);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);

        loop {
            self.send_batch(&mut queue.batch).await?;

            tokio::select! {
                count = queue.rx.recv_many(&mut queue.batch, BATCH) => {
                    if count == 0 {
                        return Ok(Ended::NoMore);
                    }
                }
                answer = self.connection.frames.next() => {
                    let frame = answer.ok_or(Error::Closed)??;
                    self.shared.metrics.frame("in", frame.wire_bytes());
                    self.note_answer();
                }
                _ = ticks.tick() => self.tick().await?,
                _ = queue.address.changed() => return Ok(Ended::NewAddress),
            }
        }
    }

    /// Sends the items taken from the queue.
    async fn send_batch(&mut self, batch: &mut Vec<Item>) -> Result<()> {
        if batch.is_empty() {
            return Ok(());
        }

        // Items leave the batch one by one, so that a failure finds those not sent in it.
        batch.reverse();
        while let Some(item) = batch.pop() {
            match item {
                Item::Message(message) => self.send_message(message).await?,
                Item::Flush(done) => {
                    let number = self.ping().await?;
                    self.flushes.push((number, done));
                }
            }
        }

        self.write_out().await
    }

    /// Sends one message.
    async fn send_message(&mut self, message: PeerMessage) -> Result<()> {
        // Noted first: once it is handed over, a part of it may be on its way.
        self.pulse.note_message();

        self.send_frame(Frame::Message(message)).await
    }

    /// Sends a keepalive; returns its number.
    async fn ping(&mut self) -> Result<u64> {
        self.send_frame(Frame::Keepalive).await?;

        Ok(self.pulse.note_ping(Instant::now()))
    }

    /// Does what the time asks for.
    async fn tick(&mut self) -> Result<()> {
        match self.pulse.next(Instant::now()) {
            Next::Wait => Ok(()),
            Next::Close => Err(Error::Timeout),
            Next::Ping => {
                self.ping().await?;
                self.write_out().await
            }
        }
    }

    /// Notes the answer to a keepalive, and ends the flushes that waited for it.
    fn note_answer(&mut self) {
        let number = self.pulse.note_answer(Instant::now());
        let is_open = |flush: &mut (u64, oneshot::Sender<()>)| flush.0 > number;

        for (_, done) in self.flushes.extract_if(.., |flush| !is_open(flush)) {
            let _ = done.send(());
        }
    }

    /// Puts one frame into the connection's buffer, and writes it out when that is full.
    async fn send_frame(&mut self, frame: Frame) -> Result<()> {
        let bytes = frame.wire_bytes();
        let limit = self.shared.options.silence_limit;

        timeout(limit, self.connection.frames.feed(frame)).await.map_err(|_| Error::Timeout)??;
        self.shared.metrics.frame(DIRECTION, bytes);
        Ok(())
    }

    /// Writes out the connection's buffer.
    async fn write_out(&mut self) -> Result<()> {
        let limit = self.shared.options.silence_limit;
        let flush = SinkExt::<Frame>::flush(&mut self.connection.frames);

        timeout(limit, flush).await.map_err(|_| Error::Timeout)?
    }
}
