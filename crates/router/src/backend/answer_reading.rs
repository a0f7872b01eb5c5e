//! Bounds what the answer that arrives on a connection to a server may take.
//!
//! The library bounds single lines and buffers. An answer of many 1xx answers, or of zeros in front of a chunk size, fills
//! none of them, and would be read as fast as it comes for as long as the call may last.

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

use super::suspension::{CallScope, Suspensions};
use crate::link_meter::{LinkMeter, MeteredStream};
use crate::metrics::Label;

/// Maximum size of the head of an answer, with the 1xx answers before it.
const HEAD_BYTES_MAX: u64 = 64 << 10;

/// Maximum number of bytes of a body between two parts of its content, such as chunk sizes.
const FRAMING_BYTES_MAX: u64 = 64 << 10;

/// Maximum size of a read. Up to two reads of content may be waiting for their reader, which then do not count as framing.
const READ_BYTES_MAX: usize = 16 << 10;

/// Bytes of a head, and between two parts of a body's content, after which an answer that is given up counts as one without
/// end, such as when its time is over.
const GIVEN_UP_HEAD_BYTES: u64 = 16 << 10;
const GIVEN_UP_FRAMING_BYTES: u64 = 48 << 10;

/// Size of a head beyond which bytes count for the body.
const USUAL_HEAD_BYTES: u64 = 4 << 10;

/// Bytes after the last content of a body that breaks off, from which on it counts as one without end. The library gives up
/// chunk extensions and trailers of 16 KB, and reads 8 KB at first.
const FAILED_FRAMING_BYTES: u64 = 4 << 10;

/// The answer takes more than its bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer of the server does not end")]
struct WithoutEnd;

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
    /// Calls that the server gets none of for `pause`.
    pub scope: CallScope,
    /// How long it is suspended from now on.
    pub pause: Duration,
}

/// The answer that arrives on a connection. Calls follow one another on it.
#[derive(Debug)]
pub struct AnswerReading {
    server: SocketAddr,
    meter: Arc<LinkMeter>,
    suspensions: Arc<Suspensions>,
    progress: Mutex<Progress>,
}

#[derive(Debug)]
struct Progress {
    began_at: Instant,
    scope: CallScope,
    is_head_read: bool,
    is_reported: bool,
    read: u64,
    /// Bytes since the last part of the content.
    without_content: u64,
    /// Maximum of `read`.
    read_max: u64,
}

impl Progress {
    fn new(began_at: Instant, scope: CallScope) -> Self {
        Self {
            began_at,
            scope,
            is_head_read: false,
            is_reported: false,
            read: 0,
            without_content: 0,
            read_max: u64::MAX,
        }
    }

    /// The part that is being read.
    fn part(&self) -> AnswerPart {
        if self.is_head_read { AnswerPart::Framing } else { AnswerPart::Head }
    }

    /// Whether the answer would not have ended with more time.
    fn is_endless(&self) -> bool {
        let limit = if self.is_head_read { GIVEN_UP_FRAMING_BYTES } else { GIVEN_UP_HEAD_BYTES };
        self.without_content >= limit || self.read >= self.read_max
    }

    /// Bytes that may still be read before the head ends, or more content comes.
    fn room(&self) -> u64 {
        let limit = if self.is_head_read { FRAMING_BYTES_MAX } else { HEAD_BYTES_MAX };
        limit.saturating_sub(self.without_content).min(self.read_max.saturating_sub(self.read))
    }
}

impl AnswerReading {
    /// Counts the answers of the server at `server`.
    pub fn new(server: SocketAddr, meter: Arc<LinkMeter>, suspensions: Arc<Suspensions>) -> Arc<Self> {
        let progress = Mutex::new(Progress::new(Instant::now(), CallScope::default()));
        Arc::new(Self { server, meter, suspensions, progress })
    }

    /// A request begins.
    pub fn begin(&self, scope: CallScope) {
        *self.progress.lock() = Progress::new(Instant::now(), scope);
    }

    /// Bounds the rest of the answer, whose content may take `content_bytes`.
    pub fn bound(&self, content_bytes: usize) {
        let mut progress = self.progress.lock();
        progress.read_max = progress.read.saturating_add(content_bytes as u64 + FRAMING_BYTES_MAX);
    }

    /// The head of the answer is complete.
    pub fn head_read(&self) {
        let mut progress = self.progress.lock();
        progress.is_head_read = true;
        // What was read beyond the head is not known.
        progress.without_content = progress.read.saturating_sub(USUAL_HEAD_BYTES);
    }

    /// A part of the content was read.
    pub fn content_read(&self) {
        self.progress.lock().without_content = 0;
    }

    /// The body broke off, or its time was over, after all content that came was read. Suspends the server if that was long ago.
    pub fn content_failed(&self) {
        if self.progress.lock().without_content >= FAILED_FRAMING_BYTES {
            self.suspend(AnswerPart::Framing);
        }
    }

    /// The answer was given up. Suspends the server if a part did not end.
    pub fn given_up(&self) {
        let progress = self.progress.lock();
        let (part, is_endless) = (progress.part(), progress.is_endless());
        drop(progress);
        if is_endless {
            self.suspend(part);
        }
    }

    /// Suspends the server, since `part` did not end.
    pub fn suspend(&self, part: AnswerPart) {
        let mut progress = self.progress.lock();
        if std::mem::replace(&mut progress.is_reported, true) {
            return;
        }
        let (read, after, scope) = (Bytes(progress.read), progress.began_at.elapsed(), progress.scope);
        drop(progress);
        let pause = self.suspensions.suspend(Instant::now(), self.server, scope);
        self.meter.record_endless(EndlessAnswer { server: self.server, part, read, after, scope, pause });
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
        let room = usize::try_from(self.reading.progress.lock().room()).unwrap_or(usize::MAX);
        if room == 0 {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, WithoutEnd)));
        }
        let size = room.min(buf.remaining()).min(READ_BYTES_MAX);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        self.reading.count(count);
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
