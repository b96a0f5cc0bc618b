//! Where answers and streamed text go: the open requests of this host's callers, and how
//! much was streamed to those of other hosts.

use std::sync::{Mutex, MutexGuard, PoisonError};

use camphorwalk_core::calls::Reply;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{RequestId, RequestOrigin};
use tokio::sync::{mpsc, oneshot};

/// How many parts of a stream wait for a slow caller before the target is read no further.
const STREAM_BUFFER: usize = 256;

/// A part of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its place in the stream, from 0.
    pub number: u32,
    /// The text.
    pub text: String,
}

/// The final answer to a request.
#[derive(Debug)]
pub struct Final {
    /// The answer.
    pub reply: Reply,
    /// How many parts were streamed before it.
    pub parts: u32,
}

/// The caller's end of an open request.
#[derive(Debug)]
pub struct OpenRequest {
    /// Parts as they come.
    pub parts: mpsc::Receiver<Part>,
    /// The final answer.
    pub answer: oneshot::Receiver<Final>,
}

/// The answering end of an open request.
#[derive(Debug)]
struct Answering {
    parts: mpsc::Sender<Part>,
    answer: oneshot::Sender<Final>,
    /// How many parts go before the answer.
    expected: u32,
}

/// The open requests of this host.
#[derive(Debug, Default)]
pub struct Streams {
    open: Mutex<Map<RequestId, Answering>>,
    /// Parts sent towards callers of other hosts.
    sent: Mutex<Map<RequestOrigin, u32>>,
}

impl Streams {
    /// Opens a request.
    pub fn open(&self, request: RequestId) -> OpenRequest {
        let (parts_tx, parts) = mpsc::channel(STREAM_BUFFER);
        let (answer_tx, answer) = oneshot::channel();
        let answering = Answering { parts: parts_tx, answer: answer_tx, expected: 0 };
        lock(&self.open).insert(request, answering);

        OpenRequest { parts, answer }
    }

    /// Closes a request that will not be answered: its caller is gone.
    pub fn close(&self, request: RequestId) {
        lock(&self.open).remove(&request);
    }

    /// Returns how many requests are open.
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// Returns where the parts of a request's stream go, if it is still open.
    pub fn parts(&self, request: RequestId) -> Option<mpsc::Sender<Part>> {
        lock(&self.open).get(&request).map(|answering| answering.parts.clone())
    }

    /// Says how many parts go before the answer of a request.
    pub fn expect(&self, request: RequestId, parts: u32) {
        if let Some(answering) = lock(&self.open).get_mut(&request) {
            answering.expected = parts;
        }
    }

    /// Answers a request.
    pub fn answer(&self, request: RequestId, reply: Reply) {
        let answering = lock(&self.open).remove(&request);

        if let Some(answering) = answering {
            // A caller that went away in this moment has no use for the answer.
            let _ = answering.answer.send(Final { reply, parts: answering.expected });
        }
    }

    /// Notes how many parts were streamed towards a caller of another host.
    pub fn note_sent(&self, origin: RequestOrigin, parts: u32) {
        lock(&self.sent).insert(origin, parts);
    }

    /// Takes the number of parts that were streamed towards a caller of another host.
    pub fn take_sent(&self, origin: RequestOrigin) -> u32 {
        lock(&self.sent).remove(&origin).unwrap_or(0)
    }
}

/// Locks a map. No code panics while it holds one, so a poisoned lock is still sound.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
