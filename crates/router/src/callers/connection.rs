//! One caller's connection, from its first byte to its end.

use std::error::Error;
use std::io;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::metrics::Label;

/// What an HTTP/2 connection begins with (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Pause between looks at a preface that comes in pieces.
const PREFACE_PAUSE: Duration = Duration::from_millis(5);

/// Why the router ended a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnectionFault {
    /// A head that is not HTTP, or whose lengths contradict each other.
    HeadMalformed,
    /// A head larger than allowed.
    HeadTooLarge,
    /// A head that did not arrive in time.
    HeadTooSlow,
    /// Frames that break the rules of HTTP/2.
    ProtocolViolation,
    /// Streams opened and reset in a flood.
    ResetFlood,
}

impl Label for ConnectionFault {
    fn label(self) -> &'static str {
        match self {
            Self::HeadMalformed => "head-malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::HeadTooSlow => "head-too-slow",
            Self::ProtocolViolation => "protocol-violation",
            Self::ResetFlood => "reset-flood",
        }
    }
}

impl ConnectionFault {
    /// The fault behind an error of the library; `None` where the caller went away.
    pub(super) fn of(error: &(dyn Error + 'static)) -> Option<Self> {
        let error = error.downcast_ref::<hyper::Error>()?;
        if error.is_parse_too_large() {
            return Some(Self::HeadTooLarge);
        }
        if error.is_parse() {
            return Some(Self::HeadMalformed);
        }
        if error.is_timeout() {
            return Some(Self::HeadTooSlow);
        }
        let violation = error.source()?.downcast_ref::<h2::Error>()?;
        if violation.is_remote() || violation.is_io() {
            return None;
        }
        match violation.reason()? {
            h2::Reason::ENHANCE_YOUR_CALM => Some(Self::ResetFlood),
            h2::Reason::NO_ERROR | h2::Reason::CANCEL => None,
            _ => Some(Self::ProtocolViolation),
        }
    }
}

/// Waits until the first bytes tell HTTP/1.1 from HTTP/2. The library waits for them without a bound: a caller
/// that connects and says nothing would hold its connection for ever, and enough of them all descriptors.
///
/// # Errors
///
/// The fault where they do not come within `limit`, or the system's error where the connection ended.
pub(super) async fn first_bytes(stream: &TcpStream, limit: Duration) -> Result<(), FirstBytesError> {
    match tokio::time::timeout(limit, version_known(stream)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(FirstBytesError::Ended(error)),
        Err(_) => Err(FirstBytesError::TooSlow),
    }
}

/// Why no first bytes came.
#[derive(Debug, thiserror::Error)]
pub(super) enum FirstBytesError {
    /// The connection ended.
    #[error("connection ended")]
    Ended(#[source] io::Error),
    /// Nothing that tells the version came in time.
    #[error("nothing came in time")]
    TooSlow,
}

async fn version_known(stream: &TcpStream) -> io::Result<()> {
    let mut bytes = [0; HTTP2_PREFACE.len()];
    loop {
        let came = stream.peek(&mut bytes).await?;
        if came == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let is_partial_preface = came < HTTP2_PREFACE.len() && HTTP2_PREFACE.starts_with(&bytes[..came]);
        if !is_partial_preface {
            return Ok(());
        }
        tokio::time::sleep(PREFACE_PAUSE).await;
    }
}
