//! Queues the pieces of an answer for a caller that may read slowly.
//!
//! A task reads the answer from its target. It pauses while too much waits for the caller, so that
//! the target slows down too. If the caller does not catch up, the rest is taken over as far as the
//! account has room, which frees the target before it cuts the answer off.

use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::held_bytes::{ReadDecision, decide_read};
use futures::StreamExt as _;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tracing::info;

use crate::answer::{BrokenBody, Pieces};
use crate::call::Call;
use crate::clock;
use crate::held_bytes::{FULL, Hold, MAX_ROOM_WAIT, Piece};
use crate::host::OpenRequest;

/// An item of the queue. Without an explicit end the answer counts as broken.
enum Item {
    Piece(Piece),
    Broken(BrokenBody),
    End,
}

/// The body of an answer that a task reads from the target. Dropping it ends the task.
pub struct QueuedBody {
    rx: UnboundedReceiver<Item>,
    reader: AbortHandle,
    /// Counts the request as open until the caller has the answer.
    _open: OpenRequest,
}

impl QueuedBody {
    /// Starts to read an answer, whose bytes are reserved in `hold`.
    pub(crate) fn start(call: &Rc<Call>, hold: Hold, pieces: Pieces) -> Self {
        let (tx, rx) = unbounded_channel();
        hold.deliver();
        let reader = Reader {
            request_id: call.head.request_id.clone(),
            deadline: call.deadline,
            hold: Rc::new(hold),
            behind_since: None,
            tx,
        };

        Self {
            rx,
            reader: tokio::task::spawn_local(reader.run(pieces)).abort_handle(),
            _open: call.shared.track_request(),
        }
    }

    /// Returns the next piece; `None` at the end of a complete answer.
    pub(crate) fn poll_piece(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Piece, BrokenBody>>> {
        self.rx.poll_recv(cx).map(|item| match item {
            Some(Item::Piece(piece)) => Some(Ok(piece)),
            Some(Item::Broken(broken)) => Some(Err(broken)),
            Some(Item::End) => None,
            None => Some(Err(BrokenBody("the answer is not read any more"))),
        })
    }
}

impl Drop for QueuedBody {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// Reads an answer from its target.
struct Reader {
    request_id: Box<str>,
    deadline: Instant,
    hold: Rc<Hold>,
    /// Since when too much of the answer waits for the caller.
    behind_since: Option<Instant>,
    tx: UnboundedSender<Item>,
}

impl Reader {
    async fn run(mut self, mut pieces: Pieces) {
        let last = loop {
            self.wait_to_read().await;
            let bytes = match pieces.next().await {
                None => break Item::End,
                Some(Err(broken)) => break Item::Broken(broken),
                Some(Ok(bytes)) => bytes,
            };
            let latest = self.deadline.min(clock::now() + MAX_ROOM_WAIT);
            if !self.hold.reserve_until(bytes.len(), latest).await {
                self.hold.record_given_up("no_room");
                break Item::Broken(BrokenBody(FULL));
            }
            self.send(Item::Piece(Piece::held(bytes, Rc::clone(&self.hold))));
        };

        self.send(last);
    }

    /// Waits until more of the answer should be read.
    async fn wait_to_read(&mut self) {
        loop {
            let now = clock::now();
            let behind = self.behind_since.map_or(Duration::ZERO, |since| now.since(since));
            match decide_read(self.hold.bytes(), behind) {
                ReadDecision::Read => {
                    self.behind_since = None;
                    return;
                }
                ReadDecision::Pause(longest) => {
                    self.behind_since.get_or_insert(now);
                    let caught_up = timeout(longest, self.hold.taken()).await.is_ok();
                    if !caught_up {
                        info!(
                            request = %self.request_id, bytes = self.hold.bytes(),
                            "held: answer taken over"
                        );
                    }
                }
                ReadDecision::TakeOver => return,
            }
        }
    }

    /// Queues an item. If the receiver is gone, so is the caller, and this task is about to end.
    fn send(&self, item: Item) {
        drop(self.tx.send(item));
    }
}
