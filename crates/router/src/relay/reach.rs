//! Whether this daemon reaches the servers of each service, for all requests that it sends.
//!
//! Decisions are made in [`hibiscusvale_core::relay::reach`].

use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::relay::reach::{Reach, ReachChange};
use hibiscusvale_core::sched::FailureCause;
use parking_lot::Mutex;
use rand::seq::IteratorRandom;

use super::state::RelayState;
use super::trace::cause_label;
use crate::backend::{Probe, probe};
use crate::clock;
use crate::directory::BackendServer;
use crate::external::ListedState;

/// Interval of the checks whether servers that are out of reach accept connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of servers of a service that one check connects to. All have to accept: while a single server is in
/// reach, it would have to bear all requests of this daemon.
const CHECKED_SERVERS: usize = 2;

/// Shortest time-out that shows something about a server.
const TIMEOUT_MIN: Duration = Duration::from_millis(100);

/// What this daemon knows about its way to the servers.
#[derive(Debug, Default)]
pub struct SharedReach {
    services: Mutex<Reach>,
}

impl SharedReach {
    /// Records whether a server answered a request that waited for up to `timeout`.
    pub fn record(
        &self,
        state: &RelayState,
        server: &BackendServerId,
        timeout: Duration,
        answered: Result<(), FailureCause>,
    ) {
        let listing = state.directory.listing();
        let Some(service) = listing.servers.get(server).and_then(|listed| listed.kind.service()) else {
            return;
        };
        let cause = match answered {
            Ok(()) => return self.services.lock().answered(clock::now(), service),
            Err(FailureCause::Timeout) if timeout < TIMEOUT_MIN => return,
            Err(cause) => cause,
        };
        let listed = listing.servers.values().filter(|listed| is_in_use(listed, service)).count();
        let change = self.services.lock().failed(clock::now(), service, server, cause, listed);
        log_change(state, service, change);
    }

    /// Number of services whose servers are out of reach.
    pub fn lost(&self) -> usize {
        self.services.lock().lost().count()
    }
}

fn is_in_use(listed: &BackendServer, service: &str) -> bool {
    listed.kind.service() == Some(service) && listed.listed == ListedState::Live
}

fn log_change(state: &RelayState, service: &str, change: Option<ReachChange>) {
    match change {
        Some(ReachChange::Lost { servers, failures, cause, last_answer_ms }) => {
            let cause = cause_label(cause);
            state.log.servers_out_of_reach(service, &servers, failures, cause, last_answer_ms);
        }
        Some(ReachChange::Regained { lost_ms }) => state.log.servers_in_reach(service, lost_ms),
        None => {}
    }
}

/// Checks servers that are out of reach, for as long as the daemon runs.
pub async fn run_checks(state: Arc<RelayState>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let lost: Vec<String> = state.reach.services.lock().lost().map(str::to_owned).collect();
        for service in lost {
            let accepts = accept_connections(&state, &service).await;
            let change = state.reach.services.lock().checked(clock::now(), &service, accepts);
            log_change(&state, &service, change);
        }
    }
}

/// Whether servers of a service accept connections. A service without servers is not out of reach.
async fn accept_connections(state: &RelayState, service: &str) -> bool {
    let listing = state.directory.listing();
    let in_use = listing.servers.values().filter(|listed| is_in_use(listed, service));
    let checked = in_use.map(|listed| listed.address).sample(&mut rand::rng(), CHECKED_SERVERS);
    let probes = checked.into_iter().map(probe);
    futures_util::future::join_all(probes).await.into_iter().all(|result| result == Probe::Accepts)
}
