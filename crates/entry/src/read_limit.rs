//! Limits what a target may send. A faulty one may send bytes without end, in the head or the body
//! of an answer, until the host closes the connection.
//!
//! Two limits hold for each answer. Its body has a maximum size. All other bytes, and those of the
//! body that have not been taken yet, are limited by an allowance, to which each piece of the body
//! that is taken adds its length. It covers whatever the HTTP library reads without passing it on:
//! heads, interim answers, chunk extensions and trailers.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The maximum size of the head of an answer, and of the buffer of a connection.
pub(crate) const MAX_HEAD_BYTES: usize = 32 << 10;

/// The maximum number of headers of an answer.
pub(crate) const MAX_HEADERS: usize = 100;

/// The maximum size of the body of an answer that is received as a whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The maximum size of a stream, which is forwarded as fast as the caller takes it.
const MAX_STREAM_BYTES: usize = 32 << 20;

/// The maximum size of the body of a refusal, which is only read to keep its connection.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// The allowance at the start of an answer: a head, and two pieces of the body that wait to be taken
/// while a third is read.
const ANSWER_ALLOWANCE: usize = 4 * MAX_HEAD_BYTES;

/// What a piece of a body adds to the allowance besides its length, for the framing of a chunk.
const CHUNK_ALLOWANCE: usize = 64;

/// Why an answer without an end is given up.
pub(crate) const ENDLESS: &str = "the answer has no end";

/// How many bytes may be read from a connection. Clones share one number.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowance(Rc<Cell<usize>>);

impl Allowance {
    /// Sets the allowance for a new answer.
    pub(crate) fn reset(&self) {
        self.0.set(ANSWER_ALLOWANCE);
    }

    /// Returns whether nothing more may be read.
    pub(crate) fn is_used_up(&self) -> bool {
        self.0.get() == 0
    }

    fn take(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }

    fn add(&self, bytes: usize) {
        self.0.set((self.0.get() + bytes).min(ANSWER_ALLOWANCE));
    }
}

/// A stream that fails once the allowance is used up. The last read may exceed it by a buffer.
#[derive(Debug)]
pub(crate) struct LimitedStream<S> {
    stream: S,
    allowance: Allowance,
}

impl<S> LimitedStream<S> {
    pub(crate) fn new(stream: S, allowance: Allowance) -> Self {
        allowance.reset();

        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, ENDLESS)));
        }

        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.allowance.take(buf.filled().len() - before);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Why the body of an answer ends early.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection broke, or the body is no valid HTTP.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    /// The target sends more than an answer has.
    #[error("{ENDLESS}")]
    Endless,
}

/// The body of an answer, with a limit.
#[derive(Debug)]
pub(crate) struct TargetBody {
    body: Incoming,
    allowance: Allowance,
    left: usize,
}

impl TargetBody {
    pub(crate) fn new(body: Incoming, allowance: Allowance) -> Self {
        Self { body, allowance, left: MAX_ANSWER_BYTES }
    }

    /// Changes the limit to that of a stream.
    pub(crate) fn into_stream(self) -> Self {
        Self { left: MAX_STREAM_BYTES, ..self }
    }

    /// Changes the limit to that of a refusal.
    pub(crate) fn into_refusal(self) -> Self {
        Self { left: MAX_REFUSAL_BYTES, ..self }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.body.size_hint().lower() > self.left as u64 {
            return Poll::Ready(Some(Err(BodyError::Endless)));
        }

        let polled = Pin::new(&mut self.body).poll_frame(cx);
        Poll::Ready(match std::task::ready!(polled) {
            None => None,
            Some(Err(_)) if self.allowance.is_used_up() => Some(Err(BodyError::Endless)),
            Some(Err(e)) => Some(Err(e.into())),
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, Bytes::len);
                self.allowance.add(length + CHUNK_ALLOWANCE);
                match self.left.checked_sub(length) {
                    Some(left) => {
                        self.left = left;
                        Some(Ok(frame))
                    }
                    None => Some(Err(BodyError::Endless)),
                }
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
