//! Faults of callers' connections, and the wait for their first bytes.

use std::error::Error;
use std::io;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::metrics::Label;

/// Connection preface of HTTP/2 (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Interval at which a partially received preface is checked again.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why the router closed a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnectionFault {
    /// The head is not HTTP, or its lengths contradict each other.
    HeadMalformed,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The head did not arrive in time.
    HeadTooSlow,
    /// Frames violate the HTTP/2 protocol.
    ProtocolViolation,
    /// A flood of streams was opened and reset.
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
    /// Classifies an error of the library; `None` when the caller closed the connection.
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

/// Waits until the first bytes distinguish HTTP/1.1 from HTTP/2. The library waits for them without a bound:
/// a caller that connects and sends nothing would hold its connection forever, and enough such callers would
/// use up all descriptors.
///
/// # Errors
///
/// [`FirstBytesError::TooSlow`] when they do not arrive within `limit`, or [`FirstBytesError::Ended`] when
/// the connection ended.
pub(super) async fn first_bytes(stream: &TcpStream, limit: Duration) -> Result<(), FirstBytesError> {
    match tokio::time::timeout(limit, wait_for_version(stream)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(FirstBytesError::Ended(error)),
        Err(_) => Err(FirstBytesError::TooSlow),
    }
}

/// Why the first bytes were not received.
#[derive(Debug, thiserror::Error)]
pub(super) enum FirstBytesError {
    /// The connection ended.
    #[error("connection ended")]
    Ended(#[source] io::Error),
    /// The bytes that distinguish the versions did not arrive in time.
    #[error("no first bytes within the time-out")]
    TooSlow,
}

async fn wait_for_version(stream: &TcpStream) -> io::Result<()> {
    let mut bytes = [0; HTTP2_PREFACE.len()];
    loop {
        let received = stream.peek(&mut bytes).await?;
        if received == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let is_partial_preface =
            received < HTTP2_PREFACE.len() && HTTP2_PREFACE.starts_with(&bytes[..received]);
        if !is_partial_preface {
            return Ok(());
        }
        tokio::time::sleep(PREFACE_POLL_INTERVAL).await;
    }
}
