//! Connections of callers, which can be closed with a reset.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http::{Response, Version};
use http_body_util::BodyExt;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use super::response::AnswerBody;
use crate::link_meter::MeteredStream;

/// Tells whether a connection has to be closed with a reset.
#[derive(Clone, Debug, Default)]
pub struct ResetFlag(Arc<AtomicBool>);

impl ResetFlag {
    /// Makes an answer whose body is aborted reset its connection if nothing else shows that it is incomplete:
    /// HTTP/1.0 has no chunks, and an ordinary close is the end of a complete answer.
    pub fn guard(&self, version: Version, response: Response<AnswerBody>) -> Response<AnswerBody> {
        if version != Version::HTTP_10 {
            return response;
        }
        let flag = self.clone();
        response.map(|body| body.map_err(move |broken| flag.set(broken)).boxed_unsync())
    }

    fn set<Failure>(&self, failure: Failure) -> Failure {
        self.0.store(true, Ordering::Relaxed);
        failure
    }
}

/// Tells whether a connection has bytes to write that it has not taken.
#[derive(Clone, Debug, Default)]
pub struct PendingWrites(Arc<AtomicBool>);

impl PendingWrites {
    /// Whether there are any.
    pub fn is_any(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: MeteredStream,
    reset: ResetFlag,
    pending: PendingWrites,
    stall: Option<WriteStall>,
}

/// Ends a connection to which nothing can be written for a time.
#[derive(Debug)]
struct WriteStall {
    timeout: Duration,
    /// Runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteStall {
    /// Applies the time limit to the result of a write.
    fn limit<Written>(
        &mut self,
        written: Poll<io::Result<Written>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<Written>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(self.timeout)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl CallerStream {
    /// Wraps a connection that is reset when it is closed with `reset` set.
    pub fn new(stream: MeteredStream, reset: ResetFlag) -> Self {
        Self { stream, reset, pending: PendingWrites::default(), stall: None }
    }

    /// Tells in `pending` whether bytes are to be written.
    #[must_use]
    pub fn with_pending_writes(mut self, pending: PendingWrites) -> Self {
        self.pending = pending;
        self
    }

    /// Makes writes fail once the caller has taken nothing for `timeout`.
    #[must_use]
    pub fn with_write_timeout(mut self, timeout: Duration) -> Self {
        self.stall = Some(WriteStall { timeout, timer: None });
        self
    }

    fn limit<Written>(
        &mut self,
        written: Poll<io::Result<Written>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<Written>> {
        self.pending.0.store(written.is_pending(), Ordering::Relaxed);
        match &mut self.stall {
            Some(stall) => stall.limit(written, cx),
            None => written,
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.reset.0.load(Ordering::Relaxed) {
            // Fails only if the connection has ended already.
            let _ = SockRef::from(self.stream.socket()).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limit(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limit(written, cx)
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
