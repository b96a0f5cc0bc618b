//! Answers to callers: those of targets, and refusals made by the host itself.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf as _, Bytes};
use camphorwalk_adapter::head;
use futures::Stream;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use rand::Rng as _;

use crate::answer_queue::QueuedBody;
use crate::held_bytes::{Hold, Piece};

/// Why the body of an answer ends early. The connection is then closed without the terminating
/// chunk, so that the caller cannot mistake the answer for a complete one.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off: {0}")]
pub struct BrokenBody(pub &'static str);

/// The body of an answer that is forwarded as it arrives, in pieces.
pub type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenBody>>>>;

/// The body of an answer.
pub enum AnswerBody {
    /// The complete body; `None` once it was sent.
    Whole(Option<Bytes>),
    /// The complete body, which counts as held until the caller has taken it.
    Held(Option<Piece>),
    /// A body that is forwarded as it arrives.
    Pieces(Pieces),
    /// A body that arrives independently of how fast the caller takes it.
    Queued(QueuedBody),
}

impl AnswerBody {
    /// Creates a complete body, of which the bytes are reserved in `hold` if there is one.
    pub(crate) fn whole(bytes: Bytes, hold: Option<Hold>) -> Self {
        match hold {
            Some(hold) => {
                hold.deliver();
                Self::Held(Some(Piece::held(bytes, Rc::new(hold))))
            }
            None => Self::Whole(Some(bytes)),
        }
    }
}

impl Body for AnswerBody {
    type Data = Piece;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Piece>, BrokenBody>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b.into())))),
            Self::Held(piece) => Poll::Ready(piece.take().map(|p| Ok(Frame::data(p)))),
            Self::Queued(queued) => {
                queued.poll_piece(cx).map(|piece| piece.map(|p| p.map(Frame::data)))
            }
            Self::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(cx)
                .map(|piece| piece.map(|p| p.map(|b| Frame::data(b.into())))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Held(piece) => piece.as_ref().is_none_or(Piece::is_empty),
            Self::Pieces(_) | Self::Queued(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Held(piece) => {
                SizeHint::with_exact(piece.as_ref().map_or(0, Piece::remaining) as u64)
            }
            Self::Pieces(_) | Self::Queued(_) => SizeHint::default(),
        }
    }
}

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// An answer that the host makes itself because the call cannot be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status. 429, 503, 408 and 421 promise that the call has not run and never will.
    pub status: StatusCode,
    /// The reason, for the caller and the logs.
    pub reason: &'static str,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a Retry-After, for a call that a retry would not help.
    pub fn permanent(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Creates a refusal of a call that has not run and may be retried after `after`.
    pub fn retry_later(reason: &'static str, after: Duration) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after: Some(after) }
    }

    /// Creates a refusal like [`Refusal::retry_later`] for a situation that affects many callers.
    /// The retry time is randomised, so that they do not all return at once.
    pub fn retry_later_jittered(reason: &'static str, after: Duration) -> Self {
        Self::retry_later(reason, after.mul_f64(rand::rng().random_range(0.7..1.3)))
    }

    /// Creates a refusal of a call that resumes a stream which cannot go on. Waiting does not help,
    /// so that the caller should come back soon and begin anew.
    pub fn begin_anew(reason: &'static str) -> Self {
        /// The pause before the caller begins anew.
        const RETRY_AFTER: Duration = Duration::from_millis(50);

        Self::retry_later(reason, RETRY_AFTER)
    }

    /// Creates a refusal of a call over its tenant's rate.
    pub fn over_rate(after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: "over the tenant's rate",
            retry_after: Some(after),
        }
    }

    /// Creates the answer to a call that may have run and whose answer was lost.
    pub fn answer_lost(reason: &'static str) -> Self {
        Self { status: StatusCode::BAD_GATEWAY, reason, retry_after: None }
    }

    /// Creates the answer to a call whose deadline has passed. The answer promises that the call
    /// has not run only if no target may have run it.
    pub fn timed_out(may_have_run: bool) -> Self {
        match may_have_run {
            true => Self {
                status: StatusCode::GATEWAY_TIMEOUT,
                reason: "no answer in time",
                retry_after: None,
            },
            false => Self {
                status: StatusCode::SERVICE_UNAVAILABLE,
                reason: "no place in time",
                retry_after: None,
            },
        }
    }

    /// Builds the HTTP answer.
    pub fn to_answer(&self, request_id: &str) -> Answer {
        let body = format!("{{\"error\":\"{}\"}}\n", self.reason);
        let mut answer = Response::new(AnswerBody::Whole(Some(body.into())));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = head::local_answer_headers(request_id, self.retry_after);

        answer
    }
}

/// Marks an answer so that the connection is closed after it.
pub fn close_after(answer: &mut Answer) {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
