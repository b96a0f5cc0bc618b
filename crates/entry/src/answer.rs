//! Answers to callers: those of targets, and refusals of our own.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use camphorwalk_adapter::head;
use futures::Stream;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use rand::Rng as _;

/// The reason that an answer's body ends before it is whole. The connection is then closed
/// without the end of the body, so that the caller cannot take it for whole.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off: {0}")]
pub struct Broken(pub &'static str);

/// The pieces of an answer that is passed on as it comes.
pub type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Broken>>>>;

/// The body of an answer.
pub enum AnswerBody {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It is passed on as it comes.
    Pieces(Pieces),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
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

/// A final answer of our own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Its status. 429, 503, 408 and 421 promise that the call has not run and never will.
    pub status: StatusCode,
    /// Why, for the caller and the logs.
    pub reason: &'static str,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal of a call that cannot be right at any time.
    pub fn wrong(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Makes a refusal of a call that has not run, and may be sent again after `after`.
    pub fn later(reason: &'static str, after: Duration) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after: Some(after) }
    }

    /// Makes a refusal as `later` does, of a call that many others come with. Their return is
    /// spread, so that they do not come back together.
    pub fn later_spread(reason: &'static str, after: Duration) -> Self {
        Self::later(reason, after.mul_f64(rand::rng().random_range(0.7..1.3)))
    }

    /// Makes a refusal of a call over its tenant's rate.
    pub fn over_rate(after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: "over the tenant's rate",
            retry_after: Some(after),
        }
    }

    /// Makes the answer to a call that may have run and whose answer is lost.
    pub fn lost(reason: &'static str) -> Self {
        Self { status: StatusCode::BAD_GATEWAY, reason, retry_after: None }
    }

    /// Makes the answer to a call whose time is over. Only if it was never sent to a target
    /// may it be told that it has not run.
    pub fn late(may_have_run: bool) -> Self {
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

    /// Makes the answer.
    pub fn answer(&self, request_id: &str) -> Answer {
        let body = format!("{{\"error\":\"{}\"}}\n", self.reason);
        let mut answer = Response::new(AnswerBody::Whole(Some(body.into())));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = head::local_answer_headers(request_id, self.retry_after);

        answer
    }
}

/// Has the connection closed after an answer.
pub fn close_after(answer: &mut Answer) {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
