//! The open requests of this host's callers, with the channels that their streamed parts and final
//! replies go through, and the number of parts sent to callers of other hosts.

use std::sync::{Mutex, MutexGuard, PoisonError};

use camphorwalk_core::calls::Reply;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{RequestId, RequestOrigin};
use tokio::sync::{mpsc, oneshot};

/// How many parts of a stream are buffered for a slow caller. When the buffer is full, this
/// host stops reading from the target if it runs the attempt itself, and drops the part if another
/// host sent it.
const STREAM_BUFFER: usize = 256;

/// A part of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The part's position in the stream, from 0.
    pub number: u32,
    /// The text of the part.
    pub text: String,
}

/// The final reply to a request.
#[derive(Debug)]
pub struct FinalReply {
    /// The reply of the scheduler.
    pub reply: Reply,
    /// How many parts were streamed before the reply.
    pub parts: u32,
}

/// Receives what arrives for an open request.
#[derive(Debug)]
pub struct ReplyReceiver {
    /// The streamed parts.
    pub parts: mpsc::Receiver<Part>,
    /// The final reply.
    pub reply: oneshot::Receiver<FinalReply>,
}

/// Sends the parts and the final reply of an open request to its [`ReplyReceiver`].
#[derive(Debug)]
struct ReplySender {
    parts: mpsc::Sender<Part>,
    reply: oneshot::Sender<FinalReply>,
    /// How many parts precede the final reply.
    part_count: u32,
}

/// The open requests of this host and the part counts of streams to other hosts.
#[derive(Debug, Default)]
pub struct Streams {
    open: Mutex<Map<RequestId, ReplySender>>,
    /// The number of parts sent so far for each request of another host's caller.
    sent: Mutex<Map<RequestOrigin, u32>>,
}

impl Streams {
    /// Opens a request and returns the receiver of its parts and reply.
    pub fn open(&self, request: RequestId) -> ReplyReceiver {
        let (parts_tx, parts) = mpsc::channel(STREAM_BUFFER);
        let (reply_tx, reply) = oneshot::channel();
        let sender = ReplySender { parts: parts_tx, reply: reply_tx, part_count: 0 };
        lock(&self.open).insert(request, sender);

        ReplyReceiver { parts, reply }
    }

    /// Closes a request whose caller has disconnected. It gets no reply.
    pub fn close(&self, request: RequestId) {
        lock(&self.open).remove(&request);
    }

    /// Returns how many requests are open.
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// Returns the sender for the streamed parts of a request, if it is still open.
    pub fn parts(&self, request: RequestId) -> Option<mpsc::Sender<Part>> {
        lock(&self.open).get(&request).map(|sender| sender.parts.clone())
    }

    /// Sets how many parts precede the final reply of a request.
    pub fn set_part_count(&self, request: RequestId, parts: u32) {
        if let Some(sender) = lock(&self.open).get_mut(&request) {
            sender.part_count = parts;
        }
    }

    /// Sends the final reply of a request and closes the request.
    pub fn answer(&self, request: RequestId, reply: Reply) {
        let sender = lock(&self.open).remove(&request);

        if let Some(sender) = sender {
            // Sending fails if the caller has just disconnected; the reply is then dropped.
            let _ = sender.reply.send(FinalReply { reply, parts: sender.part_count });
        }
    }

    /// Records how many parts were streamed so far to a caller of another host.
    pub fn record_sent(&self, origin: RequestOrigin, parts: u32) {
        lock(&self.sent).insert(origin, parts);
    }

    /// Removes and returns the number of parts that were streamed to a caller of another host; 0 if
    /// none is recorded.
    pub fn take_sent(&self, origin: RequestOrigin) -> u32 {
        lock(&self.sent).remove(&origin).unwrap_or(0)
    }
}

/// Locks a map. A poisoned lock is used as it is, since no code panics while it holds the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
