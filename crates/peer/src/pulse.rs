//! Whether the other end of an outgoing connection still takes what is sent.

use std::time::{Duration, Instant};

/// The times of a [`Pulse`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    /// The longest time from a message to the keepalive that asks for its receipt.
    pub(crate) keepalive: Duration,
    /// The time between keepalives when nothing else is sent.
    pub(crate) idle_keepalive: Duration,
    /// The longest time that an answer may take.
    pub(crate) silence_limit: Duration,
}

/// What to do next for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// Nothing.
    Wait,
    /// Send a keepalive.
    Ping,
    /// Close the connection: the other end is gone.
    Close,
}

/// Counts the keepalives of one connection and their answers.
///
/// Answers come in the order of the keepalives, and a keepalive is answered only after
/// all that was sent before it was taken in.
#[derive(Debug)]
pub(crate) struct Pulse {
    /// The times.
    times: Times,
    /// The number of the keepalive whose answer confirms the last message.
    confirms_last: u64,
    /// How many keepalives were sent.
    pings: u64,
    /// How many were answered.
    answers: u64,
    /// When the last keepalive was sent.
    last_ping: Instant,
    /// Since when an answer is owed.
    owed_since: Option<Instant>,
}

impl Pulse {
    /// Makes the pulse of a connection that opens now.
    pub(crate) fn new(times: Times, now: Instant) -> Self {
        let (confirms_last, pings, answers) = (0, 0, 0);

        Self { times, confirms_last, pings, answers, last_ping: now, owed_since: None }
    }

    /// Notes that a message was sent.
    pub(crate) fn note_message(&mut self) {
        self.confirms_last = self.pings + 1;
    }

    /// Notes that a keepalive was sent; returns its number.
    pub(crate) fn note_ping(&mut self, now: Instant) -> u64 {
        self.pings += 1;
        self.last_ping = now;
        self.owed_since.get_or_insert(now);

        self.pings
    }

    /// Notes an answer; returns the number of the keepalive that it answers.
    pub(crate) fn note_answer(&mut self, now: Instant) -> u64 {
        self.answers = (self.answers + 1).min(self.pings);
        self.owed_since = (self.answers < self.pings).then_some(now);

        self.answers
    }

    /// Returns whether all messages were surely taken in.
    pub(crate) fn is_settled(&self) -> bool {
        self.answers >= self.confirms_last
    }

    /// Returns what to do at this time.
    pub(crate) fn next(&self, now: Instant) -> Next {
        // Without this, frames for a peer that was cut off would wait for TCP's own
        // retries, which come minutes after the cut is mended.
        if self.owed_since.is_some_and(|since| now - since >= self.times.silence_limit) {
            return Next::Close;
        }

        let since_ping = now - self.last_ping;
        let is_due = self.confirms_last > self.pings && since_ping >= self.times.keepalive
            || since_ping >= self.times.idle_keepalive;
        if is_due { Next::Ping } else { Next::Wait }
    }
}
