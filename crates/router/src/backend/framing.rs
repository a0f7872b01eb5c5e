//! How answers of backend servers are delimited.

use http::{Response, header};
use hyper::body::{Body as _, Incoming};

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
    /// Framing of an answer that has not been read.
    pub fn of(response: &Response<Incoming>) -> Self {
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
