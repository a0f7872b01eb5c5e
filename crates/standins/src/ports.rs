//! Selection of free ports for processes that are started later.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;

use rand::RngExt;

/// Below the ephemeral port range: an outgoing connection could otherwise take a port between the check and the
/// start of the process, or while that process restarts.
const PORTS: Range<u16> = 18_000..32_000;

const MAX_ATTEMPTS: usize = 1_000;

/// Returns a loopback address that is free for TCP and UDP.
///
/// # Errors
/// No free port was found.
pub fn free_address() -> io::Result<SocketAddr> {
    let mut rng = rand::rng();
    let addresses =
        (0..MAX_ATTEMPTS).map(|_| SocketAddr::from((Ipv4Addr::LOCALHOST, rng.random_range(PORTS))));
    let mut free =
        addresses.filter(|address| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok());
    free.next().ok_or_else(|| io::Error::from(io::ErrorKind::AddrInUse))
}
