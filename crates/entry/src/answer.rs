//! Answers to callers: those of targets, and refusals made by the host itself.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use camphorwalk_adapter::head;
use futures::Stream;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use rand::Rng as _;

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
    /// A body that is forwarded as it arrives.
    Pieces(Pieces),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Pieces(pieces) => {
                pieces.as_mut().poll_next(cx).map(|piece| piece.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Pieces(_) => SizeHint::default(),
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
