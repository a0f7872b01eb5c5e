//! Statements of backend servers about themselves in their answers, for all requests that this daemon sends.
//!
//! Every answer is recorded here and every request is checked here before it is sent, whatever its path.
//! Decisions are made in [`hibiscusvale_core::relay::server_statements`].

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::relay::server_statements::{ListedAvailability, REST_MAX_MS, ServerStatements};
use hibiscusvale_core::sched::{FailureCause, Hold, HoldReason};
use hibiscusvale_core::units::Millis;
use http::StatusCode;
use parking_lot::Mutex;
use rand::RngExt;

use super::end_checks::SharedEndChecks;
use super::interfaces::{Availability, ReplyHead, Rest, Task};
use super::state::RelayState;
use crate::clock;
use crate::directory::BackendServer;
use crate::external::ListedState;
use hibiscusvale_core::servers::Servers;

/// Divisor of a rest: the quotient is the maximum time by which its end is delayed at random, because the server may
/// have asked all daemons at the same moment.
const REST_SPREAD_DIVISOR: u64 = 8;

/// Maximum of that time.
const REST_SPREAD_MS_MAX: u64 = 300;

/// Kind of request that a server answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestPath {
    /// A caller's request that the server runs.
    Run,
    /// The prefill of a caller's prompt.
    Prefill,
    /// A call of the router itself.
    Router,
}

impl RequestPath {
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
    /// To tell its state, while it serves a request.
    Report,
}

impl CallKind {
    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Work => "work",
            Self::Cleanup => "cleanup",
            Self::Report => "report",
        }
    }
}

/// What servers have stated in their answers to this daemon.
#[derive(Debug, Default)]
pub struct SharedStatements {
    /// What they state of their run once an answer has ended.
    pub end_checks: SharedEndChecks,
    servers: Mutex<ServerStatements>,
}

impl SharedStatements {
    /// Records what a server states in an answer.
    pub fn record(
        &self,
        state: &RelayState,
        server: &BackendServerId,
        path: RequestPath,
        status: StatusCode,
        head: &ReplyHead,
    ) {
        state.leaving_checks.record(server, head);
        if head.availability == Availability::default() {
            return;
        }
        let listed = availability(state.directory.listing().servers.get(server).map(AsRef::as_ref));
        let listed = listed.unwrap_or_default();
        if head.availability.is_leaving {
            state.metrics.record_statement("leaving");
            let hold = self.servers.lock().leaving(clock::now(), server, listed);
            if let Some(hold) = hold {
                state.log.server_stated(server, "leaving", None, path.label(), status.as_u16());
                apply(state, server, hold);
            }
        }
        match head.availability.rest {
            Some(Rest::For(rest_ms)) => {
                let statement = if rest_ms > REST_MAX_MS { "clamped-rest" } else { "rest" };
                state.metrics.record_statement(statement);
                let spread_ms = Millis(rand::rng().random_range(0..=max_spread_ms(rest_ms)));
                let hold = self.servers.lock().rest(clock::now(), server, listed, rest_ms + spread_ms);
                if let Some(hold) = hold {
                    state.log.server_stated(server, statement, Some(rest_ms), path.label(), status.as_u16());
                    apply(state, server, hold);
                }
            }
            Some(Rest::Malformed) => {
                state.metrics.record_statement("malformed-rest");
                state.log.server_stated(server, "malformed-rest", None, path.label(), status.as_u16());
            }
            None => {}
        }
    }

    /// Records that a server that was asked is leaving, by its own reply or that of another daemon.
    pub fn replied_leaving(&self, state: &RelayState, server: &BackendServerId, path: &'static str) {
        let listed = availability(state.directory.listing().servers.get(server).map(AsRef::as_ref));
        let hold = self.servers.lock().replied_leaving(clock::now(), server, listed.unwrap_or_default());
        if let Some(hold) = hold {
            state.metrics.record_statement("leaving");
            state.log.server_stated(server, "leaving", None, path, StatusCode::OK.as_u16());
            apply(state, server, hold);
        }
    }

    /// Records that what a server replied about its leaving holds no longer.
    pub fn withdraw_reply(&self, state: &RelayState, server: &BackendServerId) {
        let rest = {
            let mut servers = self.servers.lock();
            if !servers.withdraw_reply(server) {
                return;
            }
            servers.hold(clock::now(), server)
        };
        state.log.state_changed("server available again", server);
        state.plain_schedulers.release(server);
        state.engine_pools.release(server);
        if let Some(rest) = rest {
            apply(state, server, rest);
        }
    }

    /// Keeps requests from a server for `pause_ms`, as if it had asked for a rest.
    pub fn hold_for(&self, state: &RelayState, server: &BackendServerId, pause_ms: Millis) {
        let listed = availability(state.directory.listing().servers.get(server).map(AsRef::as_ref));
        let hold = self.servers.lock().rest(clock::now(), server, listed.unwrap_or_default(), pause_ms);
        if let Some(hold) = hold {
            apply(state, server, hold);
        }
    }

    /// Checks that a server may be sent a request, by what it has stated.
    ///
    /// # Errors
    ///
    /// [`FailureCause::Held`] with the reason why it may not.
    fn check(&self, server: &BackendServerId, kind: CallKind) -> Result<(), FailureCause> {
        let Some(hold) = self.servers.lock().hold(clock::now(), server) else {
            return Ok(());
        };
        match (kind, hold.reason) {
            (CallKind::Cleanup | CallKind::Report, HoldReason::Leaving) => Ok(()),
            (CallKind::Work | CallKind::Cleanup | CallKind::Report, reason) => {
                Err(FailureCause::Held(reason))
            }
        }
    }

    /// Number of servers that get no requests for this reason.
    pub fn count(&self, reason: HoldReason) -> usize {
        self.servers.lock().count(clock::now(), reason)
    }

    /// Applies a newer server list.
    pub fn adopt(&self, state: &RelayState, listed: &Servers) {
        let (available, held) = {
            let mut servers = self.servers.lock();
            let now_us = clock::now();
            let available =
                servers.adopt(now_us, |server| availability(listed.get(server).map(AsRef::as_ref)));
            (available, servers.holds(now_us))
        };
        for (server, hold) in held {
            apply(state, &server, hold);
        }
        for server in available {
            state.log.state_changed("server available again", &server);
            state.plain_schedulers.release(&server);
            state.engine_pools.release(&server);
        }
    }
}

/// Checks that a server may be sent a request now, by what it has stated and by the list. It was chosen earlier: before
/// its prompt was prefilled, or before the request waited.
///
/// # Errors
///
/// [`FailureCause::Held`] with the reason why it may not.
pub fn check(state: &RelayState, server: &BackendServerId, kind: CallKind) -> Result<(), FailureCause> {
    state.statements.check(server, kind)?;
    match kind {
        CallKind::Work if is_leaving_or_unlisted(state, server) => {
            Err(FailureCause::Held(HoldReason::Leaving))
        }
        CallKind::Work | CallKind::Cleanup | CallKind::Report => Ok(()),
    }
}

/// Whether a server is leaving or gone, by its own statement or the list.
pub fn is_leaving(state: &RelayState, server: &BackendServerId) -> bool {
    let stated = state.statements.check(server, CallKind::Work);
    stated == Err(FailureCause::Held(HoldReason::Leaving)) || is_leaving_or_unlisted(state, server)
}

fn is_leaving_or_unlisted(state: &RelayState, server: &BackendServerId) -> bool {
    let listing = state.directory.listing();
    listing.servers.get(server).is_none_or(|listed| listed.listed == ListedState::Leaving)
}

/// Waits until a server is leaving or gone.
pub async fn wait_until_leaving(state: &RelayState, server: &BackendServerId) {
    let mut changes = state.directory.changes();
    while !is_leaving(state, server) {
        if changes.changed().await.is_err() {
            // The directory lives as long as the state.
            return std::future::pending().await;
        }
    }
}

/// Checks that a server may be sent new work, and charges `requests` to the limit that it states.
///
/// # Errors
///
/// [`FailureCause::Held`] with the reason why nothing may be sent.
pub async fn admit(state: &RelayState, server: &BackendServerId, requests: u64) -> Result<(), FailureCause> {
    check(state, server, CallKind::Work)?;
    state.limits.admit(state, server, requests).await.map_err(|reached| {
        state.plain_schedulers.limited(server, reached);
        state.engine_pools.limited(server, reached);
        FailureCause::Held(HoldReason::RateLimited)
    })
}

fn max_spread_ms(rest_ms: Millis) -> u64 {
    (rest_ms.0 / REST_SPREAD_DIVISOR).min(REST_SPREAD_MS_MAX)
}

fn apply(state: &RelayState, server: &BackendServerId, hold: Hold) {
    state.plain_schedulers.hold(server, hold);
    state.engine_pools.hold(server, hold);
}

fn availability(server: Option<&BackendServer>) -> Option<ListedAvailability> {
    server.map(|server| ListedAvailability {
        lifetime: server.lifetime,
        is_leaving: server.listed == ListedState::Leaving,
    })
}
