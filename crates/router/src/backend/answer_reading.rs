//! Counts what the answer that arrives on a connection to a server has taken.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hibiscusvale_core::units::Bytes;
use hyper_util::client::legacy::connect::{Connected, Connection};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::link_meter::{LinkMeter, MeteredStream};
use crate::metrics::Label;

/// Size of the head of an answer, with the 1xx answers before it.
const HEAD_BYTES_MAX: u64 = 64 << 10;

/// Bytes of a body between two parts of its content, such as chunk sizes.
const FRAMING_BYTES_MAX: u64 = 64 << 10;

/// Part of an answer that did not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerPart {
    /// Status line, headers and 1xx answers.
    Head,
    /// What delimits the content of a body.
    Framing,
    /// The content of a body that is read whole.
    Body,
}

impl AnswerPart {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Head, Self::Framing, Self::Body];
}

impl Label for AnswerPart {
    fn label(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Framing => "framing",
            Self::Body => "body",
        }
    }
}

/// An answer that was given up because a part of it did not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndlessAnswer {
    /// Address of the server.
    pub server: SocketAddr,
    /// The part.
    pub part: AnswerPart,
    /// What was read of the whole answer.
    pub read: Bytes,
    /// Time since the request.
    pub after: Duration,
}

/// The answer that arrives on a connection. Calls follow one another on it.
#[derive(Debug)]
pub struct AnswerReading {
    server: SocketAddr,
    meter: Arc<LinkMeter>,
    progress: Mutex<Progress>,
}

#[derive(Debug)]
struct Progress {
    began_at: Instant,
    is_head_read: bool,
    is_reported: bool,
    read: u64,
    /// Bytes since the last part of the content.
    without_content: u64,
}

impl Progress {
    fn new(began_at: Instant) -> Self {
        Self { began_at, is_head_read: false, is_reported: false, read: 0, without_content: 0 }
    }

    /// The part that takes more than its bound.
    fn endless_part(&self) -> Option<AnswerPart> {
        let (part, limit) = if self.is_head_read {
            (AnswerPart::Framing, FRAMING_BYTES_MAX)
        } else {
            (AnswerPart::Head, HEAD_BYTES_MAX)
        };
        (self.without_content >= limit).then_some(part)
    }
}

impl AnswerReading {
    /// Counts the answers of the server at `server`.
    pub fn new(server: SocketAddr, meter: Arc<LinkMeter>) -> Arc<Self> {
        Arc::new(Self { server, meter, progress: Mutex::new(Progress::new(Instant::now())) })
    }

    /// A request begins.
    pub fn begin(&self) {
        *self.progress.lock() = Progress::new(Instant::now());
    }

    /// The head of the answer is complete.
    pub fn head_read(&self) {
        let mut progress = self.progress.lock();
        progress.is_head_read = true;
        progress.without_content = 0;
    }

    /// A part of the content was read.
    pub fn content_read(&self) {
        self.progress.lock().without_content = 0;
    }

    /// The answer was given up. Reports it if a part did not end.
    pub fn given_up(&self) {
        let part = self.progress.lock().endless_part();
        if let Some(part) = part {
            self.report(part);
        }
    }

    /// Reports, once for an answer, that `part` did not end.
    pub fn report(&self, part: AnswerPart) {
        let mut progress = self.progress.lock();
        if std::mem::replace(&mut progress.is_reported, true) {
            return;
        }
        let (read, after) = (Bytes(progress.read), progress.began_at.elapsed());
        drop(progress);
        self.meter.record_endless(EndlessAnswer { server: self.server, part, read, after });
    }

    fn count(&self, bytes: usize) {
        let mut progress = self.progress.lock();
        progress.read += bytes as u64;
        progress.without_content += bytes as u64;
    }
}

/// A connection to a server whose answers are counted.
#[derive(Debug)]
pub struct AnswerStream {
    stream: MeteredStream,
    reading: Arc<AnswerReading>,
}

impl AnswerStream {
    /// Counts the answers on `stream`.
    pub fn new(stream: MeteredStream, reading: Arc<AnswerReading>) -> Self {
        Self { stream, reading }
    }
}

impl AsyncRead for AnswerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.reading.count(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AnswerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
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

impl Connection for AnswerStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(Arc::clone(&self.reading))
    }
}
