//! Counts stream outcomes from the hosts' logs: how many streams met their targets, and why the others did not.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::log_line::LogLine;

/// Latency targets of a stream. They are not part of a log line, as the targets of a route change with the route table.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Longest time to the first event, in ms.
    pub first_event_ms: u64,
    /// Longest pause between two events, in ms.
    pub pause_ms: u64,
}

/// Outcome of a stream.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String")]
pub enum StreamOutcome {
    /// Complete and within the targets.
    InTime,
    /// Complete, but the first event was late: the stream waited for an engine or for prefill.
    LateFirstEvent,
    /// Complete, but one pause exceeded the target.
    LongPause,
    /// Not complete; the outcome as logged by the daemon.
    Other(String),
}

impl StreamOutcome {
    fn classify(line: &LogLine, targets: Targets) -> Self {
        match line.text("outcome").as_str() {
            "answered" if line.number("first_event_ms") > targets.first_event_ms => Self::LateFirstEvent,
            "answered" if line.number("longest_pause_ms") > targets.pause_ms => Self::LongPause,
            "answered" => Self::InTime,
            other => Self::Other(other.to_owned()),
        }
    }

    /// Label in tables and in JSON.
    pub fn label(&self) -> &str {
        match self {
            Self::InTime => "in time",
            Self::LateFirstEvent => "late first event",
            Self::LongPause => "long pause",
            Self::Other(outcome) => outcome,
        }
    }
}

/// Serializes outcomes as their labels, since keys of a JSON object are strings.
impl From<StreamOutcome> for String {
    fn from(outcome: StreamOutcome) -> Self {
        outcome.label().to_owned()
    }
}

/// Number of streams by outcome.
pub type OutcomeCounts = BTreeMap<StreamOutcome, u64>;

/// Outcomes of all streams in a set of logs.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct StreamOutcomes {
    /// Counts over all streams.
    pub all: OutcomeCounts,
    /// Counts by second of arrival, relative to the first arrival, by the hosts' clocks.
    pub seconds: BTreeMap<u64, OutcomeCounts>,
    /// Counts by the server called last; the key is empty for streams that reached no server.
    pub servers: BTreeMap<String, OutcomeCounts>,
}

/// Counts the outcomes of all streams in the given log texts.
pub fn count<'a, Logs>(logs: Logs, targets: Targets) -> StreamOutcomes
where
    Logs: Iterator<Item = &'a str>,
{
    let lines: Vec<LogLine> = logs
        .flat_map(str::lines)
        .filter_map(LogLine::parse)
        .filter(|line| line.is_request() && is_stream(line))
        .collect();
    let first_arrival_ms = lines.iter().map(arrived_ms).min().unwrap_or_default();
    let mut outcomes = StreamOutcomes::default();
    for line in &lines {
        let outcome = StreamOutcome::classify(line, targets);
        let second = (arrived_ms(line) - first_arrival_ms) / 1_000;
        for counts in [
            &mut outcomes.all,
            outcomes.seconds.entry(second).or_default(),
            outcomes.servers.entry(last_server(line)).or_default(),
        ] {
            *counts.entry(outcome.clone()).or_default() += 1;
        }
    }
    outcomes
}

fn arrived_ms(line: &LogLine) -> u64 {
    line.at_ms.saturating_sub(line.number("took_ms"))
}

/// Whether the request is for a model: only those have a prompt length above zero.
fn is_stream(line: &LogLine) -> bool {
    let generation = line.text("generation");
    let prompt = generation.trim_start_matches('[').split(',').next().unwrap_or_default();
    prompt.parse::<u64>().is_ok_and(|tokens| tokens > 0)
}

/// Server of the last step, in the form `WHAT:SERVER:CAUSE@MS`; empty if there is none.
fn last_server(line: &LogLine) -> String {
    let steps = line.text("steps");
    let last = steps.split_whitespace().last().and_then(|step| step.split(':').nth(1));
    last.unwrap_or_default().to_owned()
}
