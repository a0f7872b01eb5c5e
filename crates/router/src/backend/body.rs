//! Bodies of backend servers' answers, and how they are delimited.

use std::fmt;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use hibiscusvale_core::units::Millis;
use http::{Response, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::answer_reading::AnswerReading;
use super::probe::{Probe, probe};
use crate::metrics::Label;

/// What tells where the body of an answer ends (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Connection,
    /// A length, or a status that allows no body.
    Length,
}

impl Framing {
    fn of(response: &Response<Incoming>) -> Self {
        if response.body().size_hint().exact().is_some() {
            Self::Length
        } else if response.headers().contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }
}

impl Label for Framing {
    fn label(self) -> &'static str {
        match self {
            Self::Chunks => "chunks",
            Self::Connection => "connection",
            Self::Length => "length",
        }
    }
}

/// Why a body ended before it was complete.
#[derive(Debug, thiserror::Error)]
pub enum BodyFailure {
    /// The connection broke.
    #[error("connection broken")]
    Broken(#[source] hyper::Error),
    /// The connection ended, and nothing shows that the answer did.
    #[error("end of the answer not confirmed by the server")]
    Unconfirmed,
}

/// Run of a server that answers a call sent after the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerRun {
    /// The one that was sent the request.
    Same,
    /// Another one, or another server at its address.
    Other,
    /// None answers.
    Silent,
}

/// What was asked at the end of an answer that is delimited by its connection, and what the server answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndEvidence {
    /// Whether its listener accepts connections.
    Listener(Probe),
    /// Its report.
    Report(ServerRun),
}

impl EndEvidence {
    /// Whether the answer counts as complete.
    pub fn is_complete(self) -> bool {
        match self {
            Self::Listener(probe) => probe != Probe::Refuses,
            Self::Report(run) => run == ServerRun::Same,
        }
    }

    /// Label of what was asked.
    pub fn asked(self) -> &'static str {
        match self {
            Self::Listener(_) => "listener",
            Self::Report(_) => "report",
        }
    }

    /// Label of what the server answered.
    pub fn answered(self) -> &'static str {
        match self {
            Self::Listener(Probe::Accepts) => "accepts",
            Self::Listener(Probe::Refuses) => "refuses",
            Self::Listener(Probe::Unreachable) => "unreachable",
            Self::Report(ServerRun::Same) => "same-run",
            Self::Report(ServerRun::Other) => "other-run",
            Self::Report(ServerRun::Silent) => "no-answer",
        }
    }
}

/// Check of the end of an answer that is delimited by its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndCheck {
    /// What decided.
    pub evidence: EndEvidence,
    /// Time that the check took.
    pub took: Duration,
}

impl EndCheck {
    /// Asks whether the server at `server` accepts connections.
    pub async fn of_listener(server: SocketAddr) -> Self {
        let started_at = Instant::now();
        let evidence = EndEvidence::Listener(probe(server).await);
        Self { evidence, took: started_at.elapsed() }
    }

    /// Time that the check took.
    pub fn took_ms(self) -> Millis {
        Millis(u64::try_from(self.took.as_millis()).unwrap_or(u64::MAX))
    }

    /// Label of the judgement.
    pub fn judged(self) -> &'static str {
        if self.evidence.is_complete() { "complete" } else { "broken" }
    }
}

/// Starts the check of an answer's end.
type EndChecker = Box<dyn FnOnce() -> BoxFuture<'static, EndCheck> + Send>;

/// Body of an answer. It ends without a failure only if the answer is complete.
///
/// A process that exits closes its connections as one does that has finished an answer without a length and
/// without chunks. Such an answer is complete only if its server confirms it afterwards.
pub struct ServerBody {
    incoming: Incoming,
    framing: Framing,
    end: End,
    reading: Option<Arc<AnswerReading>>,
}

/// A body whose content is read as it comes.
#[derive(Debug)]
pub struct UnfinishedBody(Option<Arc<AnswerReading>>);

impl UnfinishedBody {
    /// The time for the answer is over.
    pub fn time_is_over(&self) {
        if let Some(reading) = &self.0 {
            reading.content_failed();
        }
    }
}

/// Progress at the end of an answer that is delimited by its connection.
enum End {
    NotReached(Option<EndChecker>),
    Checking(BoxFuture<'static, EndCheck>),
    Complete,
}

impl ServerBody {
    /// Wraps the body of an answer of the server at `server`.
    pub(super) fn wrap(response: Response<Incoming>, server: SocketAddr) -> Response<Self> {
        let framing = Framing::of(&response);
        let reading: Option<Arc<AnswerReading>> = response.extensions().get().cloned();
        if let Some(reading) = &reading {
            reading.head_read();
        }
        let checker: EndChecker = Box::new(move || EndCheck::of_listener(server).boxed());
        response.map(|incoming| Self { incoming, framing, end: End::NotReached(Some(checker)), reading })
    }

    /// Checks the end with `checker` if the connection delimits the answer.
    pub fn check_end_with<Checker, Check>(&mut self, checker: Checker)
    where
        Checker: FnOnce() -> Check + Send + 'static,
        Check: Future<Output = EndCheck> + Send + 'static,
    {
        self.end = End::NotReached(Some(Box::new(move || checker().boxed())));
    }

    /// What is read of the answer.
    pub(super) fn reading(&self) -> Option<Arc<AnswerReading>> {
        self.reading.clone()
    }

    /// Records the end of its time while it is read.
    pub fn unfinished(&self) -> UnfinishedBody {
        UnfinishedBody(self.reading.clone())
    }

    /// Bounds what a body of at most `content_bytes` may take.
    pub fn bound(&self, content_bytes: usize) {
        if let Some(reading) = &self.reading {
            reading.bound(content_bytes);
        }
    }

    /// How the body is delimited.
    pub fn framing(&self) -> Framing {
        self.framing
    }
}

impl Drop for ServerBody {
    fn drop(&mut self) {
        // Content may be left that nobody wants any more.
        if let Some(reading) = &self.reading {
            reading.given_up();
        }
    }
}

impl Debug for ServerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerBody").field("framing", &self.framing).finish_non_exhaustive()
    }
}

impl Body for ServerBody {
    type Data = Bytes;
    type Error = BodyFailure;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFailure>>> {
        let Self { incoming, framing, end, reading } = self.get_mut();
        loop {
            match end {
                End::NotReached(checker) => {
                    let frame = ready!(Pin::new(&mut *incoming).poll_frame(cx));
                    count(reading.as_deref(), frame.as_ref());
                    if frame.is_some() || *framing != Framing::Connection {
                        return Poll::Ready(frame.map(|frame| frame.map_err(BodyFailure::Broken)));
                    }
                    *end = checker.take().map_or(End::Complete, |checker| End::Checking(checker()));
                }
                End::Checking(check) => {
                    let check = ready!(check.poll_unpin(cx));
                    *end = End::Complete;
                    if !check.evidence.is_complete() {
                        return Poll::Ready(Some(Err(BodyFailure::Unconfirmed)));
                    }
                }
                End::Complete => return Poll::Ready(None),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self.framing {
            Framing::Connection => matches!(self.end, End::Complete),
            Framing::Chunks | Framing::Length => self.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Counts a part of a body, or its failure.
fn count(reading: Option<&AnswerReading>, frame: Option<&Result<Frame<Bytes>, hyper::Error>>) {
    match (reading, frame) {
        (Some(reading), Some(Ok(_))) => reading.content_read(),
        (Some(reading), Some(Err(_))) => reading.content_failed(),
        (Some(_), None) | (None, _) => {}
    }
}
