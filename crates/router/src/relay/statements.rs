//! Statements of backend servers about themselves in their answers: that they are leaving, or that they want no
//! requests from this daemon for a time.

use hibiscusvale_core::ids::BackendServerId;
use http::StatusCode;

use super::interfaces::{ReplyHead, Rest, Task};
use super::state::RelayState;

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

/// Records what a server states in an answer.
pub fn record(
    state: &RelayState,
    server: &BackendServerId,
    path: Path,
    status: StatusCode,
    head: &ReplyHead,
) {
    if head.availability.is_leaving {
        state.metrics.record_statement("leaving");
        state.log.server_stated(server, "leaving", None, path.label(), status.as_u16());
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
