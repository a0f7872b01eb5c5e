//! Distinguishes a server that crashed under a request from a broken connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::Millis;
use tokio::time::Instant;

use super::state::Incoming;
use super::statements;
use crate::backend::{Probe, probe};

/// A server that has streamed events for this long is taken to have survived the request: a request that
/// crashes servers does so when its execution begins.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// One attempt to run a request on a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    server: BackendServerId,
    address: SocketAddr,
    started: Instant,
    first_event: Option<Instant>,
    has_survived: bool,
}

impl Attempt {
    /// An attempt that starts now.
    pub fn new(server: &BackendServerId, address: SocketAddr) -> Self {
        Self {
            server: server.clone(),
            address,
            started: Instant::now(),
            first_event: None,
            has_survived: false,
        }
    }

    /// The server.
    pub fn server(&self) -> &BackendServerId {
        &self.server
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records an event of the answer.
    pub fn record_event(&mut self, incoming: &Incoming) {
        let first_event = *self.first_event.get_or_insert_with(Instant::now);
        if !self.has_survived && first_event.elapsed() >= SURVIVAL_TIME {
            self.has_survived = true;
            record_survival(incoming);
        }
    }

    /// Records the end of the answer. An answer without any event may be the remains of a crash and does not
    /// count.
    pub fn record_end(&self, incoming: &Incoming) {
        if self.first_event.is_some() {
            record_survival(incoming);
        }
    }
}

/// Reports that a server ran the request and survived.
pub fn record_survival(incoming: &Incoming) {
    incoming.state.quarantine.survived(&incoming.state, &incoming.fingerprints);
}

/// Checks whether the server crashed when an attempt failed. A request that is already a crash suspect waits
/// for the result, so that it is not retried in the meantime.
pub async fn check_for_crash(incoming: &Incoming, attempt: &Attempt, cause: FailureCause) {
    if cause != FailureCause::Broken
        || attempt.has_survived
        || statements::is_leaving(&incoming.state, &attempt.server)
    {
        return;
    }
    let in_flight_ms = Millis(u64::try_from(attempt.started.elapsed().as_millis()).unwrap_or(u64::MAX));
    let request_id = incoming.request_id;
    let fingerprints = incoming.fingerprints.clone();
    let (state, attempt) = (Arc::clone(&incoming.state), attempt.clone());
    let parts = incoming.call.shared_prompt_parts.clone();
    let is_suspect = state.quarantine.is_suspect(&fingerprints);
    let report = async move {
        if probe(attempt.address).await == Probe::Refuses {
            state.log.server_crashed(&attempt.server, request_id, &fingerprints, &parts, in_flight_ms);
            state.quarantine.crashed(&state, &fingerprints, &attempt.server, in_flight_ms);
        }
    };
    if is_suspect {
        report.await;
    } else {
        tokio::spawn(report);
    }
}
