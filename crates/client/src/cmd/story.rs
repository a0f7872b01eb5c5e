//! `hibiscusvale story ID FILE...`.

use std::path::PathBuf;

use gumdrop::Options;

use crate::error::ClientError;
use crate::report::Report;
use crate::request_trace::{self, HostLog};

/// Traces a request through log files.
#[derive(Debug, Options)]
pub struct Story {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "call id from the caller, or request id from the relay")]
    id: String,
    #[options(free, help = "log files, each named after its host")]
    files: Vec<PathBuf>,
}

impl Story {
    pub(super) fn run(&self) -> Result<Report, ClientError> {
        let files = super::logs::read_all(&self.files)?;
        let logs: Vec<HostLog<'_>> =
            files.iter().map(|log| HostLog { host: &log.host, text: &log.text }).collect();
        let traces = request_trace::find(&self.id, &logs);
        if traces.is_empty() {
            return Err(ClientError::NotLogged { id: self.id.clone(), files: self.files.len() });
        }
        let human: Vec<String> = traces.iter().map(human).collect();
        Ok(Report::new(&traces, human.join("\n\n")))
    }
}

fn human(trace: &request_trace::RequestTrace) -> String {
    let mut lines = vec![format!(
        "attempt {} ({}) on route {}, received by {}: {} after {} ms",
        trace.call, trace.request_id, trace.route, trace.host, trace.outcome, trace.took_ms
    )];
    for step in &trace.steps {
        let end = if step.cause.is_empty() { "done" } else { &step.cause };
        lines.push(format!("{:>8} ms  {} at {}: {end}", step.after_ms, step.what, step.server));
    }
    if trace.steps.is_empty() {
        lines.push("            no server was called, or no call failed".to_owned());
    }
    if !trace.news.is_empty() {
        lines.push(format!("events at {}, by its own clock:", trace.host));
    }
    for event in &trace.news {
        lines.push(format!("{:>8} ms  {}", event.after_ms, event.what));
    }
    if trace.left_out > 0 {
        lines.push(format!("{} request lines were dropped by this host in the same period", trace.left_out));
    }
    lines.join("\n")
}
