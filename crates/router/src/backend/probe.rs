//! Probes whether a server accepts connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Connect timeout: many round trips inside a region.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Result of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// The server accepts connections.
    Accepts,
    /// The host refuses connections: the server process is gone.
    Refuses,
    /// Inconclusive: the attempt timed out or failed on the way.
    Unreachable,
}

/// Attempts a connection to `address`.
pub async fn probe(address: SocketAddr) -> Probe {
    match tokio::time::timeout(TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Probe::Accepts,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Probe::Refuses,
        Ok(Err(_)) | Err(_) => Probe::Unreachable,
    }
}
