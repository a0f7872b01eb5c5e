//! Free ports for processes that are started later.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;

use rand::RngExt;

/// Below the ports that the system gives to outgoing connections: one of those could take a port between our
/// look at it and the start of the process that it is meant for, or while that process is being replaced.
const PORTS: Range<u16> = 18_000..32_000;

const TRIES: usize = 1_000;

/// An address on loopback that nobody listens on.
///
/// # Errors
/// No free port was found.
pub fn free_address() -> io::Result<SocketAddr> {
    let mut rng = rand::rng();
    let addresses = (0..TRIES).map(|_| SocketAddr::from((Ipv4Addr::LOCALHOST, rng.random_range(PORTS))));
    let mut free =
        addresses.filter(|address| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok());
    free.next().ok_or_else(|| io::Error::from(io::ErrorKind::AddrInUse))
}
