//! What the log lines of several hosts tell of one request.
//!
//! Clocks of hosts differ by seconds, so lines of different hosts are never merged by time: the request's own line gives
//! its steps in order, and what a host believed at the time is taken from that host's lines alone.

use serde::Serialize;

use crate::log_line::{LEFT_OUT, Line};

/// How long before the request's arrival a host's news still matter to it, in ms: lists and routes are seconds old at
/// most, and an engine changes its role in six to eight.
const BEFORE_MS: u64 = 10_000;

/// One host's log.
#[derive(Clone, Copy, Debug)]
pub struct HostLog<'a> {
    /// The host, as the file is named.
    pub host: &'a str,
    /// Its lines.
    pub text: &'a str,
}

/// What became of one try of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Story {
    /// The host that took it in.
    pub host: String,
    /// The caller's name for this try.
    pub call: String,
    /// The relay's name for it.
    pub request_id: String,
    /// The route, and the version of the routes.
    pub route: String,
    /// How it ended.
    pub outcome: String,
    /// How long it took.
    pub took_ms: u64,
    /// What was tried, in order.
    pub steps: Vec<Step>,
    /// What the host learned before and meanwhile.
    pub news: Vec<News>,
    /// Lines of requests that the host left out meanwhile.
    pub left_out: u64,
}

/// One step of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// When it ended, after the request's arrival.
    pub after_ms: u64,
    /// What was asked for.
    pub what: String,
    /// Of whom.
    pub server: String,
    /// Why it failed; empty where it did not.
    pub cause: String,
}

/// Something that a host learned.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct News {
    /// When, after the request's arrival.
    pub after_ms: i64,
    /// What.
    pub what: String,
}

/// The tries that go by `id`, the caller's name or the relay's, with what their hosts knew.
pub fn find(id: &str, logs: &[HostLog<'_>]) -> Vec<Story> {
    logs.iter().flat_map(|log| find_in(id, *log)).collect()
}

fn find_in(id: &str, log: HostLog<'_>) -> Vec<Story> {
    // Most lines are of other requests: a search in the text is much quicker than reading each.
    if !log.text.contains(id) {
        return Vec::new();
    }
    let lines: Vec<Line> = log.text.lines().filter_map(Line::parse).collect();
    lines.iter().filter(|line| line.is_of(id)).map(|line| story(line, &lines, log.host)).collect()
}

fn story(own: &Line, lines: &[Line], host: &str) -> Story {
    let took_ms = own.number("took_ms");
    let arrived_ms = own.at_ms.saturating_sub(took_ms);
    let is_near = |line: &&Line| line.at_ms + BEFORE_MS >= arrived_ms && line.at_ms <= own.at_ms;
    let news = lines.iter().filter(is_near).filter_map(|line| {
        let after_ms = i64::try_from(line.at_ms).ok()? - i64::try_from(arrived_ms).ok()?;
        Some(News { after_ms, what: line.news()? })
    });
    let left_out = lines.iter().filter(is_near).filter(|line| line.text("what") == LEFT_OUT);
    Story {
        host: host.to_owned(),
        call: own.text("call"),
        request_id: own.text("request_id"),
        route: format!("{}, version {}", own.text("route"), own.text("version")),
        outcome: own.text("outcome"),
        took_ms,
        steps: own.text("steps").split_whitespace().filter_map(step).collect(),
        news: news.collect(),
        left_out: left_out.filter_map(|line| line.text("detail").parse::<u64>().ok()).sum(),
    }
}

/// Reads `WHAT:SERVER:CAUSE@MS`.
fn step(text: &str) -> Option<Step> {
    let (rest, after_ms) = text.rsplit_once('@')?;
    let mut parts = rest.splitn(3, ':').map(str::to_owned);
    let (what, server, cause) = (parts.next()?, parts.next()?, parts.next().unwrap_or_default());
    Some(Step { after_ms: after_ms.parse().ok()?, what, server, cause })
}
