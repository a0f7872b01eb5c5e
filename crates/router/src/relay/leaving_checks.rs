//! Asks servers whether they are leaving while the server list cannot tell.
//!
//! Decisions are made in [`hibiscusvale_core::relay::leaving_checks`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::relay::leaving_checks::{Finding, LeavingChecks, ListAge, ServerState};
use hibiscusvale_core::units::MonoTime;
use http::StatusCode;
use parking_lot::Mutex;

use super::hop;
use super::interfaces::{EngineReport, ReplyHead};
use super::state::RelayState;
use super::statements::CallKind;
use crate::backend::ConnectionReuse;
use crate::clock;
use crate::directory::BackendKind;

/// Interval at which servers that are due are asked.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time-out of a question. A plain server may let it wait for a slot.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Servers that may be leaving.
#[derive(Debug, Default)]
pub struct SharedLeavingChecks(Mutex<LeavingChecks>);

impl SharedLeavingChecks {
    /// Records the head of an answer that may mean that its server leaves: it closes the connection, or refuses a request
    /// although it does not state that it is full.
    pub fn record(&self, server: &BackendServerId, head: &ReplyHead) {
        if head.availability.closes_connection || (head.not_run && has_free_slots(head) != Some(false)) {
            self.0.lock().hinted(clock::now(), server);
        }
    }

    /// Adopts what another daemon has found.
    pub fn receive(&self, state: &RelayState, found: &[BackendServerId]) {
        if found.is_empty() {
            return;
        }
        let now_us = clock::now();
        let list = list_age(state, now_us);
        for server in found {
            let is_new = self.0.lock().found_by_other(now_us, server, &list);
            if is_new {
                state.statements.replied_leaving(state, server, "daemon");
            }
        }
    }

    /// The servers that this daemon has found to be leaving, for the others.
    pub fn found(&self) -> Vec<BackendServerId> {
        self.0.lock().found()
    }

    fn replied(
        &self,
        state: &RelayState,
        server: &BackendServerId,
        replied: ServerState,
        path: &'static str,
    ) {
        let finding = self.0.lock().replied(clock::now(), server, replied);
        match finding {
            Finding::Held => state.statements.replied_leaving(state, server, path),
            Finding::Released => state.statements.withdraw_reply(state, server),
            Finding::Unchanged => {}
        }
    }

    /// Ends what the list shows by now, and returns the servers to ask.
    fn step(&self, state: &RelayState, now_us: MonoTime) -> Vec<BackendServerId> {
        let (over, due) = {
            let mut checks = self.0.lock();
            if checks.is_empty() {
                return Vec::new();
            }
            let list = list_age(state, now_us);
            let over = checks.release(now_us, &list);
            let servers = state.server_list.lock();
            (over, checks.due(now_us, &list, |server| servers.expired().is_kept(server)))
        };
        for server in over {
            state.statements.withdraw_reply(state, &server);
        }
        due
    }
}

fn list_age(state: &RelayState, now_us: MonoTime) -> ListAge {
    ListAge {
        age_us: state.freshness.servers_age_us(now_us),
        current_for_us: state.server_list.lock().expired().current_for_us(now_us),
    }
}

/// Parses a report, and records whether its engine states that it is leaving.
pub fn parse_report(state: &RelayState, server: &BackendServerId, body: &[u8]) -> Option<EngineReport> {
    let report = state.wire.parse_report(body)?;
    if report.state == Some(ServerState::Leaving) {
        state.leaving_checks.replied(state, server, ServerState::Leaving, "report");
    }
    Some(report)
}

/// Asks the servers that are due, for as long as the daemon runs.
pub async fn run(state: Arc<RelayState>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        for server in state.leaving_checks.step(&state, clock::now()) {
            let state = Arc::clone(&state);
            tokio::spawn(async move {
                if let Some((replied, path)) = ask(&state, &server).await {
                    state.leaving_checks.replied(&state, &server, replied, path);
                }
            });
        }
    }
}

/// A question to a server about its state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Question {
    Health,
    /// For engines of a service without a health path; needs no slot. It states more than whether the engine leaves, which some
    /// reports leave out.
    Report,
}

impl Question {
    /// Label in logs.
    fn label(self) -> &'static str {
        match self {
            Self::Health => "health",
            Self::Report => "report",
        }
    }
}

/// Asks a server for its state. `None` if it does not tell.
async fn ask(state: &RelayState, server: &BackendServerId) -> Option<(ServerState, &'static str)> {
    let listed = state.directory.listing().servers.get(server).cloned()?;
    let health_path = {
        let table = state.table.load();
        let spec = listed.kind.service().and_then(|service| table.service(&service.parse().ok()?));
        spec.and_then(|spec| spec.health_path.clone())
    };
    let (question, call) = match (&listed.kind, health_path) {
        (_, Some(path)) => (Question::Health, state.wire.health(server, &path)),
        (BackendKind::Engine { .. }, None) => (Question::Report, state.wire.report(server)),
        (BackendKind::Plain { .. }, None) => return None,
    };
    state.limits.admit(state, server, 1).await.ok()?;
    let call = (CallKind::Report, call);
    let reply =
        hop::send_call_for_head(state, server, listed.address, call, ConnectionReuse::Pooled, TIMEOUT);
    let (status, head, body) = reply.await.ok()?;
    let replied = match question {
        Question::Health => health_state(status, &head),
        Question::Report => reported_state(state, status, &body),
    };
    Some((replied?, question.label()))
}

fn reported_state(state: &RelayState, status: StatusCode, body: &Bytes) -> Option<ServerState> {
    match status {
        StatusCode::OK => state.wire.parse_report(body)?.state,
        StatusCode::MISDIRECTED_REQUEST => Some(ServerState::Leaving),
        _ => None,
    }
}

/// Whether the load of the server leaves slots free; `None` if it states none.
fn has_free_slots(head: &ReplyHead) -> Option<bool> {
    head.load.map(|load| load.running.saturating_add(load.waiting) < load.slots)
}

/// A server that is full turns the question away like any request, which says nothing about its leaving.
fn health_state(status: StatusCode, head: &ReplyHead) -> Option<ServerState> {
    let may_be_full = head.not_run && has_free_slots(head) != Some(true);
    match status {
        StatusCode::OK => Some(ServerState::Serving),
        StatusCode::SERVICE_UNAVAILABLE if !may_be_full => Some(ServerState::Leaving),
        StatusCode::MISDIRECTED_REQUEST => Some(ServerState::Leaving),
        _ => None,
    }
}
