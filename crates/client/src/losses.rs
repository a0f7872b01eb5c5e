//! What streams came to, by the log lines of their hosts: how many were in time, and why the others were not.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::log_line::Line;

/// What counts as in time. The lines don't tell: a route's targets change with the routes.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Longest time to the first event.
    pub first_event_ms: u64,
    /// Longest pause between two events.
    pub pause_ms: u64,
}

/// What a stream came to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String")]
pub enum Ending {
    /// Whole and in time.
    InTime,
    /// Whole, but its first event came late: it waited for an engine, or for its prompt to be read.
    LateFirstEvent,
    /// Whole, but it paused for too long.
    LongPause,
    /// Not whole; the daemon's word for it.
    Other(String),
}

impl Ending {
    fn of(line: &Line, targets: Targets) -> Self {
        match line.text("outcome").as_str() {
            "answered" if line.number("first_event_ms") > targets.first_event_ms => Self::LateFirstEvent,
            "answered" if line.number("longest_pause_ms") > targets.pause_ms => Self::LongPause,
            "answered" => Self::InTime,
            other => Self::Other(other.to_owned()),
        }
    }

    /// Its name in tables.
    pub fn label(&self) -> &str {
        match self {
            Self::InTime => "in time",
            Self::LateFirstEvent => "late first event",
            Self::LongPause => "long pause",
            Self::Other(outcome) => outcome,
        }
    }
}

/// Names of fields have to be text.
impl From<Ending> for String {
    fn from(ending: Ending) -> Self {
        ending.label().to_owned()
    }
}

/// Streams by what they came to.
pub type Endings = BTreeMap<Ending, u64>;

/// What the streams of some logs came to.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Losses {
    /// All of them.
    pub all: Endings,
    /// By the second of their arrival, from the first one on, by their hosts' clocks.
    pub seconds: BTreeMap<u64, Endings>,
    /// By the server that was asked last; those that reached none stand under an empty name.
    pub servers: BTreeMap<String, Endings>,
}

/// Counts the streams in the text of some logs.
pub fn count<'a, Logs>(logs: Logs, targets: Targets) -> Losses
where
    Logs: Iterator<Item = &'a str>,
{
    let lines: Vec<Line> = logs
        .flat_map(str::lines)
        .filter_map(Line::parse)
        .filter(|line| line.is_relayed() && is_stream(line))
        .collect();
    let first_ms = lines.iter().map(arrived_ms).min().unwrap_or_default();
    let mut losses = Losses::default();
    for line in &lines {
        let ending = Ending::of(line, targets);
        let second = (arrived_ms(line) - first_ms) / 1_000;
        for endings in [
            &mut losses.all,
            losses.seconds.entry(second).or_default(),
            losses.servers.entry(last_server(line)).or_default(),
        ] {
            *endings.entry(ending.clone()).or_default() += 1;
        }
    }
    losses
}

fn arrived_ms(line: &Line) -> u64 {
    line.at_ms.saturating_sub(line.number("took_ms"))
}

/// Requests for a model state a prompt; all others have zeros there.
fn is_stream(line: &Line) -> bool {
    let generation = line.text("generation");
    let prompt = generation.trim_start_matches('[').split(',').next().unwrap_or_default();
    prompt.parse::<u64>().is_ok_and(|tokens| tokens > 0)
}

/// The server of the last `WHAT:SERVER:CAUSE@MS`.
fn last_server(line: &Line) -> String {
    let steps = line.text("steps");
    let last = steps.split_whitespace().last().and_then(|step| step.split(':').nth(1));
    last.unwrap_or_default().to_owned()
}
