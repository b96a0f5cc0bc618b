//! Closes connections on which the head of a request arrives too slowly.
//!
//! The HTTP library has one time limit for idle connections and for heads, which must be the longer
//! of the two. A head that has begun is limited here, so that its connection and buffer are not kept
//! for as long as an idle connection.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use camphorwalk_core::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::clock;

/// Observes when heads of requests begin and end on a connection.
#[derive(Clone)]
pub(crate) struct HeadWatch(Rc<WatchState>);

struct WatchState {
    /// Whether a request is being answered, so that bytes that arrive belong to its body.
    is_answering: Box<dyn Fn() -> bool>,
    /// When the first bytes of a head arrived that is not complete yet.
    began_at: Cell<Option<Instant>>,
    began: Notify,
}

impl HeadWatch {
    /// Creates a watch. `is_answering` tells whether the head of a request is complete, and its
    /// answer is not.
    pub(crate) fn new(is_answering: impl Fn() -> bool + 'static) -> Self {
        Self(Rc::new(WatchState {
            is_answering: Box::new(is_answering),
            began_at: Cell::default(),
            began: Notify::new(),
        }))
    }

    /// Records that the head of a request is complete.
    pub(crate) fn head_complete(&self) {
        self.0.began_at.set(None);
    }

    /// Waits until a head has been incomplete for longer than `limit`.
    pub(crate) async fn expired(&self, limit: Duration) {
        loop {
            let Some(began_at) = self.0.began_at.get() else {
                self.0.began.notified().await;
                continue;
            };
            let left = limit.saturating_sub(clock::now().since(began_at));
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }

    fn received(&self) {
        let state = &self.0;

        if state.began_at.get().is_none() && !(state.is_answering)() {
            state.began_at.set(Some(clock::now()));
            state.began.notify_one();
        }
    }
}

/// A connection whose received bytes are reported to a watch, if there is one.
pub(crate) struct WatchedStream {
    stream: TcpStream,
    watch: Option<HeadWatch>,
}

impl WatchedStream {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream, watch: Option<HeadWatch>) -> Self {
        Self { stream, watch }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;

        if let Some(watch) = self.watch.as_ref().filter(|_| buf.filled().len() > before) {
            watch.received();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
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
}
