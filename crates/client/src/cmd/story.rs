//! `hibiscusvale story ID FILE...`.

use std::path::PathBuf;

use gumdrop::Options;

use crate::error::ClientError;
use crate::report::Report;
use crate::story::{self, HostLog};

/// Tells what became of a request, from logs alone.
#[derive(Debug, Options)]
pub struct Story {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the caller's name for the try, or the relay's")]
    id: String,
    #[options(free, help = "log files, each named after its host")]
    files: Vec<PathBuf>,
}

impl Story {
    pub(super) fn run(&self) -> Result<Report, ClientError> {
        let files = super::logs::read_all(&self.files)?;
        let logs: Vec<HostLog<'_>> =
            files.iter().map(|log| HostLog { host: &log.host, text: &log.text }).collect();
        let stories = story::find(&self.id, &logs);
        if stories.is_empty() {
            return Err(ClientError::NotLogged { id: self.id.clone(), files: self.files.len() });
        }
        let human: Vec<String> = stories.iter().map(human).collect();
        Ok(Report::new(&stories, human.join("\n\n")))
    }
}

fn human(story: &story::Story) -> String {
    let mut lines = vec![format!(
        "try {} ({}) on route {}, taken in by {}: {} after {} ms",
        story.call, story.request_id, story.route, story.host, story.outcome, story.took_ms
    )];
    for step in &story.steps {
        let end = if step.cause.is_empty() { "done" } else { &step.cause };
        lines.push(format!("{:>8} ms  {} at {}: {end}", step.after_ms, step.what, step.server));
    }
    if story.steps.is_empty() {
        lines.push("            no server was asked, or none that failed".to_owned());
    }
    if !story.news.is_empty() {
        lines.push(format!("{} learned, by its own clock:", story.host));
    }
    for news in &story.news {
        lines.push(format!("{:>8} ms  {}", news.after_ms, news.what));
    }
    if story.left_out > 0 {
        lines.push(format!("{} lines of requests were left out there meanwhile", story.left_out));
    }
    lines.join("\n")
}
