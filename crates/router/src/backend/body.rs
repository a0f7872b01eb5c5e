//! Bodies of backend servers' answers, and how they are delimited.

use std::fmt;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use http::{Response, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};

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
    /// The connection ended and the server refuses new ones: its process has exited.
    #[error("server exited during its answer")]
    ServerExited,
}

/// Body of an answer. It ends without a failure only if the answer is complete.
///
/// A process that exits closes its connections as one does that has finished an answer without a length and
/// without chunks. Such an answer is complete only if its server still accepts connections.
pub struct ServerBody {
    incoming: Incoming,
    framing: Framing,
    server: SocketAddr,
    end: End,
}

/// Progress at the end of an answer that is delimited by its connection.
enum End {
    NotReached,
    Checking(BoxFuture<'static, Probe>),
    Complete,
}

impl ServerBody {
    /// Wraps the body of an answer of the server at `server`.
    pub(super) fn wrap(response: Response<Incoming>, server: SocketAddr) -> Response<Self> {
        let framing = Framing::of(&response);
        response.map(|incoming| Self { incoming, framing, server, end: End::NotReached })
    }

    /// How the body is delimited.
    pub fn framing(&self) -> Framing {
        self.framing
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFailure>>> {
        loop {
            match &mut self.end {
                End::NotReached => {
                    let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
                    if frame.is_some() || self.framing != Framing::Connection {
                        return Poll::Ready(frame.map(|frame| frame.map_err(BodyFailure::Broken)));
                    }
                    self.end = End::Checking(probe(self.server).boxed());
                }
                End::Checking(check) => {
                    let result = ready!(check.poll_unpin(cx));
                    self.end = End::Complete;
                    if result == Probe::Refuses {
                        return Poll::Ready(Some(Err(BodyFailure::ServerExited)));
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
