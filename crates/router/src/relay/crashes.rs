//! Telling a server that crashed under a request from a connection that broke.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::Millis;
use tokio::time::Instant;

use super::probe::{Probe, probe};
use super::state::Incoming;
use crate::external::ListedState;

/// A server that has written for so long does not crash for what it runs: that ends it when the run begins.
const SURVIVED: Duration = Duration::from_secs(1);

/// One sending of a request to a server.
#[derive(Clone, Debug)]
pub struct Sending {
    server: BackendServerId,
    address: SocketAddr,
    sent: Instant,
    first_event: Option<Instant>,
    has_survived: bool,
}

impl Sending {
    /// A sending that begins now.
    pub fn new(server: &BackendServerId, address: SocketAddr) -> Self {
        Self { server: server.clone(), address, sent: Instant::now(), first_event: None, has_survived: false }
    }

    /// Where it goes.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// An event of its answer came.
    pub fn note_event(&mut self, incoming: &Incoming) {
        let first_event = *self.first_event.get_or_insert_with(Instant::now);
        if !self.has_survived && first_event.elapsed() >= SURVIVED {
            self.has_survived = true;
            survived(incoming);
        }
    }

    /// Its answer is complete. One without any event may be what a crash left of it.
    pub fn note_end(&self, incoming: &Incoming) {
        if self.first_event.is_some() {
            survived(incoming);
        }
    }
}

/// A server has run the request and lives.
pub fn survived(incoming: &Incoming) {
    incoming.state.quarantine.survived(&incoming.state, incoming.fingerprint);
}

/// Finds out whether the server crashed when a sending failed. A request that others crashed under before waits for
/// the result, so that it is not tried again meanwhile.
pub async fn check(incoming: &Incoming, sending: &Sending, cause: FailureCause) {
    if cause != FailureCause::Broken || sending.has_survived || is_leaving(incoming, &sending.server) {
        return;
    }
    let in_flight_ms = Millis(u64::try_from(sending.sent.elapsed().as_millis()).unwrap_or(u64::MAX));
    let &Incoming { request_id, fingerprint, .. } = incoming;
    let (state, sending) = (Arc::clone(&incoming.state), sending.clone());
    let is_suspect = state.quarantine.is_suspect(fingerprint);
    let report = async move {
        if probe(sending.address).await == Probe::Refuses {
            state.log.server_crashed(&sending.server, request_id, fingerprint, in_flight_ms);
            state.quarantine.crashed(&state, fingerprint, sending.server, in_flight_ms);
        }
    };
    if is_suspect {
        report.await;
    } else {
        tokio::spawn(report);
    }
}

/// A server that leaves ends with open connections when its time is over.
fn is_leaving(incoming: &Incoming, server: &BackendServerId) -> bool {
    let listing = incoming.state.directory.listing();
    listing.servers.get(server).is_none_or(|listed| listed.listed == ListedState::Leaving)
}
