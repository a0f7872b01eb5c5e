//! Statements of backend servers about themselves in their answers, for all requests that this daemon sends.
//!
//! Every answer is recorded here and every request is checked here before it is sent, whatever its path.
//! Decisions are made in [`hibiscusvale_core::relay::server_statements`].

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::relay::server_statements::{ListedAvailability, ServerStatements};
use hibiscusvale_core::sched::{FailureCause, Hold, HoldReason};
use http::StatusCode;
use parking_lot::Mutex;

use super::interfaces::{ReplyHead, Rest, Task};
use super::state::RelayState;
use crate::clock;
use crate::directory::BackendServer;
use crate::external::ListedState;
use crate::servers::Servers;

/// Kind of request that a server answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// A caller's request that the server runs.
    Run,
    /// The prefill of a caller's prompt.
    Prefill,
    /// A call of the router itself.
    Router,
}

impl Path {
    /// The kind of a request with `task`.
    pub fn of(task: &Task) -> Self {
        match task {
            Task::Run | Task::Decode { .. } => Self::Run,
            Task::Prefill => Self::Prefill,
        }
    }

    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Prefill => "prefill",
            Self::Router => "router",
        }
    }
}

/// What a request asks of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// New work, or a step towards it.
    Work,
    /// To free what it holds for a request.
    Cleanup,
}

/// What servers have stated in their answers to this daemon.
#[derive(Debug, Default)]
pub struct SharedStatements {
    servers: Mutex<ServerStatements>,
}

impl SharedStatements {
    /// Records what a server states in an answer.
    pub fn record(
        &self,
        state: &RelayState,
        server: &BackendServerId,
        path: Path,
        status: StatusCode,
        head: &ReplyHead,
    ) {
        if head.availability.is_leaving {
            state.metrics.record_statement("leaving");
            let listed = availability(state.directory.listing().servers.get(server).map(AsRef::as_ref));
            let hold = self.servers.lock().leaving(clock::now(), server, listed.unwrap_or_default());
            if let Some(hold) = hold {
                state.log.server_stated(server, "leaving", None, path.label(), status.as_u16());
                apply(state, server, hold);
            }
        }
        match head.availability.rest {
            Some(Rest::For(rest_ms)) => {
                state.metrics.record_statement("rest");
                state.log.server_stated(server, "rest", Some(rest_ms), path.label(), status.as_u16());
            }
            Some(Rest::Malformed) => {
                state.metrics.record_statement("malformed-rest");
                state.log.server_stated(server, "malformed-rest", None, path.label(), status.as_u16());
            }
            None => {}
        }
    }

    /// Checks that a server may be sent a request.
    ///
    /// # Errors
    ///
    /// [`FailureCause::Held`] with the reason why it may not.
    pub fn check(&self, server: &BackendServerId, kind: CallKind) -> Result<(), FailureCause> {
        match (kind, self.servers.lock().hold(server)) {
            (CallKind::Work, Some(hold)) => Err(FailureCause::Held(hold.reason)),
            (CallKind::Cleanup, Some(_)) | (_, None) => Ok(()),
        }
    }

    /// Number of servers that have stated that they are leaving.
    pub fn leaving_count(&self) -> usize {
        self.servers.lock().leaving_count()
    }

    /// Applies a newer server list.
    pub fn adopt(&self, state: &RelayState, listed: &Servers) {
        let (available, held) = {
            let mut servers = self.servers.lock();
            let available = servers.adopt(|server| availability(listed.get(server).map(AsRef::as_ref)));
            (available, servers.holds())
        };
        for (server, hold) in held {
            apply(state, &server, hold);
        }
        for server in available {
            state.log.state_changed("server no longer leaving", &server);
            state.plain_schedulers.release(&server);
            state.engine_pools.release(&server);
        }
    }
}

/// Checks that a server may be sent new work, and charges `requests` to the limit that it states.
///
/// # Errors
///
/// [`FailureCause::Held`] with the reason why nothing may be sent.
pub async fn admit(state: &RelayState, server: &BackendServerId, requests: u64) -> Result<(), FailureCause> {
    state.statements.check(server, CallKind::Work)?;
    state.limits.admit(state, server, requests).await.map_err(|reached| {
        state.plain_schedulers.limited(server, reached);
        state.engine_pools.limited(server, reached);
        FailureCause::Held(HoldReason::RateLimited)
    })
}

fn apply(state: &RelayState, server: &BackendServerId, hold: Hold) {
    state.plain_schedulers.hold(server, hold);
    state.engine_pools.hold(server, hold);
}

fn availability(server: Option<&BackendServer>) -> Option<ListedAvailability> {
    server.map(|server| ListedAvailability { is_leaving: server.listed == ListedState::Leaving })
}
