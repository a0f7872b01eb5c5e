//! Measures what a daemon's connections to callers and servers take of its host: bytes, and the time to open them.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use hibiscusvale_core::units::{Bytes, Micros};
use hyper_util::client::legacy::connect::{Connected, Connection};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::backend::{AnswerPart, EndlessAnswer};

/// Peers whose bytes are counted apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkPeer {
    /// Callers.
    Callers,
    /// Backend servers, and daemons to which requests are forwarded.
    Servers,
    /// Daemons that forward requests here, or ask for state.
    Daemons,
}

impl LinkPeer {
    /// All of them.
    pub const ALL: [Self; LINK_PEERS] = [Self::Callers, Self::Servers, Self::Daemons];

    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Servers => "servers",
            Self::Daemons => "daemons",
        }
    }
}

/// Number of kinds of peers.
const LINK_PEERS: usize = 3;

/// Bytes since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkTotals {
    /// Bytes received.
    pub received: Bytes,
    /// Bytes sent.
    pub sent: Bytes,
}

/// Connections to servers that were opened in an interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectTimes {
    /// Their number.
    pub count: u32,
    /// Shortest time that one of them took.
    pub fastest_us: Option<Micros>,
}

/// Maximum number of answers without end that are kept for lines.
const ENDLESS_KEPT_MAX: usize = 64;

/// Answers that were given up because a part of them did not end.
#[derive(Debug, Default)]
struct EndlessAnswers {
    counts: [u64; AnswerPart::ALL.len()],
    /// Those since the last line.
    latest: Vec<EndlessAnswer>,
}

/// Bytes and connections of a daemon.
#[derive(Debug, Default)]
pub struct LinkMeter {
    received: [AtomicU64; LINK_PEERS],
    sent: [AtomicU64; LINK_PEERS],
    connects: Mutex<ConnectTimes>,
    endless: Mutex<EndlessAnswers>,
    endless_recorded: Notify,
}

impl LinkMeter {
    /// Bytes exchanged with `peer` since the start.
    pub fn totals(&self, peer: LinkPeer) -> LinkTotals {
        let read =
            |counters: &[AtomicU64; LINK_PEERS]| Bytes(counters[peer as usize].load(Ordering::Relaxed));
        LinkTotals { received: read(&self.received), sent: read(&self.sent) }
    }

    /// Bytes exchanged with all peers since the start.
    pub fn sum(&self) -> LinkTotals {
        LinkPeer::ALL.into_iter().map(|peer| self.totals(peer)).fold(LinkTotals::default(), |sum, totals| {
            LinkTotals { received: sum.received + totals.received, sent: sum.sent + totals.sent }
        })
    }

    /// Records a connection to a server that was opened within `took_us`.
    pub fn record_connect(&self, took_us: Micros) {
        let mut connects = self.connects.lock();
        connects.count += 1;
        connects.fastest_us = Some(connects.fastest_us.map_or(took_us, |fastest| fastest.min(took_us)));
    }

    /// Connections since the call before.
    pub fn take_connects(&self) -> ConnectTimes {
        std::mem::take(&mut *self.connects.lock())
    }

    /// Records an answer that was given up because a part of it did not end.
    pub fn record_endless(&self, answer: EndlessAnswer) {
        let mut endless = self.endless.lock();
        endless.counts[answer.part as usize] += 1;
        if endless.latest.len() < ENDLESS_KEPT_MAX {
            endless.latest.push(answer);
        }
        drop(endless);
        self.endless_recorded.notify_one();
    }

    /// Number of answers of which `part` did not end, since the start.
    pub fn endless(&self, part: AnswerPart) -> u64 {
        self.endless.lock().counts[part as usize]
    }

    /// Waits for answers without end. Returns those since the call before; the first ones if there were many.
    pub async fn take_endless(&self) -> Vec<EndlessAnswer> {
        self.endless_recorded.notified().await;
        std::mem::take(&mut self.endless.lock().latest)
    }

    fn count(counters: &[AtomicU64; LINK_PEERS], peer: LinkPeer, bytes: usize) {
        counters[peer as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    peer: LinkPeer,
    meter: Arc<LinkMeter>,
}

impl MeteredStream {
    /// Counts the bytes of a connection with `peer`.
    pub fn new(stream: TcpStream, peer: LinkPeer, meter: Arc<LinkMeter>) -> Self {
        Self { stream, peer, meter }
    }

    /// The connection.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    fn count_sent(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            LinkMeter::count(&self.meter.sent, self.peer, *bytes);
        }
        written
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        LinkMeter::count(&self.meter.received, self.peer, buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_sent(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_sent(written)
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

impl Connection for MeteredStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}
