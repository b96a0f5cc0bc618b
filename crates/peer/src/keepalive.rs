//! Keepalives of an outgoing connection, which show whether the peer still receives messages.

use std::time::{Duration, Instant};

/// The intervals and the timeout of a [`KeepaliveTracker`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepaliveTimes {
    /// How long after the previous keepalive the next one is sent, if there were messages since.
    /// Its reply confirms those messages.
    pub(crate) keepalive: Duration,
    /// The interval between keepalives when nothing else is sent.
    pub(crate) idle_keepalive: Duration,
    /// The longest time that a reply may take.
    pub(crate) silence_limit: Duration,
}

/// What a connection has to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeepaliveAction {
    /// Nothing.
    Wait,
    /// Send a keepalive.
    Send,
    /// Close the connection: the peer does not reply.
    Close,
}

/// Tracks the keepalives of one connection and the replies to them.
///
/// Replies arrive in the order of the keepalives. The peer replies to a keepalive only after it
/// has received everything that was sent before, so a reply confirms all earlier messages.
#[derive(Debug)]
pub(crate) struct KeepaliveTracker {
    /// The intervals and the timeout.
    times: KeepaliveTimes,
    /// The number of the keepalive whose reply confirms the last message.
    confirming_keepalive: u64,
    /// The number of keepalives sent.
    keepalives: u64,
    /// The number of replies received.
    replies: u64,
    /// When the last keepalive was sent.
    last_keepalive: Instant,
    /// When the oldest keepalive without a reply was sent, or when the last reply arrived if that
    /// is later. `None` if the peer has replied to all keepalives.
    awaiting_since: Option<Instant>,
}

impl KeepaliveTracker {
    /// Creates the tracker of a connection that opens now.
    pub(crate) fn new(times: KeepaliveTimes, now: Instant) -> Self {
        let (confirming_keepalive, keepalives, replies) = (0, 0, 0);

        Self {
            times,
            confirming_keepalive,
            keepalives,
            replies,
            last_keepalive: now,
            awaiting_since: None,
        }
    }

    /// Records that a message was sent.
    pub(crate) fn record_message(&mut self) {
        self.confirming_keepalive = self.keepalives + 1;
    }

    /// Records that a keepalive was sent; returns its number.
    pub(crate) fn record_keepalive(&mut self, now: Instant) -> u64 {
        self.keepalives += 1;
        self.last_keepalive = now;
        self.awaiting_since.get_or_insert(now);

        self.keepalives
    }

    /// Records a reply; returns the number of the keepalive that it belongs to.
    pub(crate) fn record_reply(&mut self, now: Instant) -> u64 {
        self.replies = (self.replies + 1).min(self.keepalives);
        self.awaiting_since = (self.replies < self.keepalives).then_some(now);

        self.replies
    }

    /// Returns whether the peer has confirmed all messages.
    pub(crate) fn is_all_confirmed(&self) -> bool {
        self.replies >= self.confirming_keepalive
    }

    /// Returns what to do now.
    pub(crate) fn next(&self, now: Instant) -> KeepaliveAction {
        // Without this timeout, frames for a partitioned peer would wait for TCP retransmissions,
        // which may come minutes after the partition has healed.
        if self.awaiting_since.is_some_and(|since| now - since >= self.times.silence_limit) {
            return KeepaliveAction::Close;
        }

        let since_keepalive = now - self.last_keepalive;
        let is_due = self.confirming_keepalive > self.keepalives
            && since_keepalive >= self.times.keepalive
            || since_keepalive >= self.times.idle_keepalive;
        if is_due { KeepaliveAction::Send } else { KeepaliveAction::Wait }
    }
}
