//! Telling a server that crashed under a request from a connection that broke.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::Millis;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::state::Incoming;
use crate::external::ListedState;

/// The host of a crashed process refuses a connection within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// One sending of a request to a server.
#[derive(Clone, Debug)]
pub struct Sending {
    server: BackendServerId,
    address: SocketAddr,
    sent: Instant,
}

impl Sending {
    /// A sending that begins now.
    pub fn new(server: &BackendServerId, address: SocketAddr) -> Self {
        Self { server: server.clone(), address, sent: Instant::now() }
    }

    /// Where it goes.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Finds out, beside the request, whether the server crashed when a sending failed.
pub fn check(incoming: &Incoming, sending: &Sending, cause: FailureCause) {
    if cause != FailureCause::Broken || is_leaving(incoming, &sending.server) {
        return;
    }
    let in_flight_ms = Millis(u64::try_from(sending.sent.elapsed().as_millis()).unwrap_or(u64::MAX));
    let &Incoming { request_id, fingerprint, .. } = incoming;
    let (state, sending) = (Arc::clone(&incoming.state), sending.clone());
    tokio::spawn(async move {
        if refuses_connections(sending.address).await {
            state.log.server_crashed(&sending.server, request_id, fingerprint, in_flight_ms);
        }
    });
}

/// A server that leaves ends with open connections when its time is over.
fn is_leaving(incoming: &Incoming, server: &BackendServerId) -> bool {
    let listing = incoming.state.directory.listing();
    listing.servers.get(server).is_none_or(|listed| listed.listed == ListedState::Leaving)
}

async fn refuses_connections(address: SocketAddr) -> bool {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
