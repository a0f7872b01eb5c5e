//! Looking whether a server takes connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Many round trips inside a region.
const TIMEOUT: Duration = Duration::from_millis(300);

/// What an attempt to connect shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// The server takes connections.
    Accepts,
    /// Its host refuses them: the process is gone.
    Refuses,
    /// Nothing: the attempt timed out or failed on its way.
    Unreachable,
}

/// Attempts to connect to `address`.
pub async fn probe(address: SocketAddr) -> Probe {
    match tokio::time::timeout(TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Probe::Accepts,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Probe::Refuses,
        Ok(Err(_)) | Err(_) => Probe::Unreachable,
    }
}
