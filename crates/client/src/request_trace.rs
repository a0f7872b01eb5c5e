//! Reconstructs the course of a request from the logs of several hosts.
//!
//! Clocks of hosts differ by seconds, so lines of different hosts are never merged by time: the request's own line lists
//! its steps in order, and the state known to a host is taken from that host's lines only.

use serde::Serialize;

use crate::log_line::{LINES_LEFT_OUT, LogLine};

/// Period before the request's arrival whose host events are included, in ms. Server lists and routes are at most seconds
/// old, and an engine takes six to eight seconds to change its role.
const LOOKBACK_MS: u64 = 10_000;

/// Log of one host.
#[derive(Clone, Copy, Debug)]
pub struct HostLog<'a> {
    /// Name of the host, from the name of the log file.
    pub host: &'a str,
    /// Content of the log.
    pub text: &'a str,
}

/// Course of one attempt of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Host that received the request.
    pub host: String,
    /// Caller's id of the attempt.
    pub call: String,
    /// Request id assigned by the relay.
    pub request_id: String,
    /// Route with the version of the route table.
    pub route: String,
    /// Outcome as logged by the daemon.
    pub outcome: String,
    /// Duration from arrival to the end of the request, in ms.
    pub took_ms: u64,
    /// Steps in chronological order.
    pub steps: Vec<Step>,
    /// Events that the host observed shortly before and during the request.
    pub news: Vec<HostEvent>,
    /// Number of request lines that the host dropped in the same period.
    pub left_out: u64,
}

/// One step of a request, such as a call to a server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// End of the step in ms after the request's arrival.
    pub after_ms: u64,
    /// Operation requested from the server.
    pub what: String,
    /// Server that was called.
    pub server: String,
    /// Cause of the failure; empty if the step succeeded.
    pub cause: String,
}

/// Event that a host observed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HostEvent {
    /// Time in ms relative to the request's arrival; negative for earlier events.
    pub after_ms: i64,
    /// Description of the event.
    pub what: String,
}

/// Finds the attempts with this id, either the caller's call id or the relay's request id.
pub fn find(id: &str, logs: &[HostLog<'_>]) -> Vec<RequestTrace> {
    logs.iter().flat_map(|log| find_in(id, *log)).collect()
}

fn find_in(id: &str, log: HostLog<'_>) -> Vec<RequestTrace> {
    // A text search is much faster than parsing every line, most of which are about other requests.
    if !log.text.contains(id) {
        return Vec::new();
    }
    let lines: Vec<LogLine> = log.text.lines().filter_map(LogLine::parse).collect();
    lines.iter().filter(|line| line.is_of_request(id)).map(|line| trace(line, &lines, log.host)).collect()
}

fn trace(request_line: &LogLine, lines: &[LogLine], host: &str) -> RequestTrace {
    let took_ms = request_line.number("took_ms");
    let arrived_ms = request_line.at_ms.saturating_sub(took_ms);
    let is_in_window =
        |line: &&LogLine| line.at_ms + LOOKBACK_MS >= arrived_ms && line.at_ms <= request_line.at_ms;
    let events = lines.iter().filter(is_in_window).filter_map(|line| {
        let after_ms = i64::try_from(line.at_ms).ok()? - i64::try_from(arrived_ms).ok()?;
        Some(HostEvent { after_ms, what: line.host_event()? })
    });
    let left_out = lines.iter().filter(is_in_window).filter(|line| line.text("what") == LINES_LEFT_OUT);
    RequestTrace {
        host: host.to_owned(),
        call: request_line.text("call"),
        request_id: request_line.text("request_id"),
        route: format!("{}, version {}", request_line.text("route"), request_line.text("version")),
        outcome: request_line.text("outcome"),
        took_ms,
        steps: request_line.text("steps").split_whitespace().filter_map(step).collect(),
        news: events.collect(),
        left_out: left_out.filter_map(|line| line.text("detail").parse::<u64>().ok()).sum(),
    }
}

/// Parses a step in the form `WHAT:SERVER:CAUSE@MS`.
fn step(text: &str) -> Option<Step> {
    let (rest, after_ms) = text.rsplit_once('@')?;
    let mut parts = rest.splitn(3, ':').map(str::to_owned);
    let (what, server, cause) = (parts.next()?, parts.next()?, parts.next().unwrap_or_default());
    Some(Step { after_ms: after_ms.parse().ok()?, what, server, cause })
}
