//! Selection of free ports for processes that are started later.
//!
//! A port is free between its selection and the start of the process that uses it. Processes that select at random from
//! one range therefore give the same port to two daemons now and then: one of them fails to start, or a client speaks to
//! the daemon of another installation. So each process takes blocks of ports for itself, and holds the first port of a
//! block for as long as it runs.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;

use parking_lot::Mutex;
use rand::RngExt;

/// Below the ephemeral port range: an outgoing connection could otherwise take a port between the check and the
/// start of the process, or while that process restarts.
const PORTS: Range<u16> = 18_000..32_000;

/// Ports of a block, the first one included.
const BLOCK_PORTS: u16 = 50;

const MAX_ATTEMPTS: usize = 1_000;

/// Blocks of this process; the last one still has ports to give out.
static BLOCKS: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// Ports that no other process selects.
#[derive(Debug)]
struct Block {
    _first: TcpListener,
    unused: Range<u16>,
}

impl Block {
    /// Takes a block whose first port is held by no process.
    fn take() -> io::Result<Self> {
        let mut rng = rand::rng();
        let blocks = (PORTS.end - PORTS.start) / BLOCK_PORTS;
        let starts = (0..MAX_ATTEMPTS).map(|_| PORTS.start + rng.random_range(0..blocks) * BLOCK_PORTS);
        let mut free = starts.filter_map(|start| {
            let first = TcpListener::bind(loopback(start)).ok()?;
            Some(Self { _first: first, unused: start + 1..start + BLOCK_PORTS })
        });
        free.next().ok_or_else(|| io::Error::from(io::ErrorKind::AddrInUse))
    }

    fn next_free(&mut self) -> Option<SocketAddr> {
        let mut addresses = self.unused.by_ref().map(loopback);
        addresses.find(|address| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok())
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns a loopback address that is free for TCP and UDP and that no other process selects while this one runs.
///
/// # Errors
/// No free port was found.
pub fn free_address() -> io::Result<SocketAddr> {
    let mut blocks = BLOCKS.lock();
    if let Some(address) = blocks.last_mut().and_then(Block::next_free) {
        return Ok(address);
    }
    let mut block = Block::take()?;
    let address = block.next_free().ok_or_else(|| io::Error::from(io::ErrorKind::AddrInUse))?;
    blocks.push(block);
    Ok(address)
}
