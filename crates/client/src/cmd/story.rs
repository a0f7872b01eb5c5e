//! `hibiscusvale story ID FILE...`.

use std::fs;
use std::path::{Path, PathBuf};

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
        let texts = self.files.iter().map(|path| read(path)).collect::<Result<Vec<_>, _>>()?;
        let logs: Vec<HostLog<'_>> = texts.iter().map(|(host, text)| HostLog { host, text }).collect();
        let stories = story::find(&self.id, &logs);
        if stories.is_empty() {
            return Err(ClientError::NotLogged { id: self.id.clone(), files: self.files.len() });
        }
        let human: Vec<String> = stories.iter().map(human).collect();
        Ok(Report::new(&stories, human.join("\n\n")))
    }
}

/// A log and the host that its file is named after. Bytes that are no text come from a disk that failed or a line that
/// was cut; the other lines still count.
fn read(path: &Path) -> Result<(String, String), ClientError> {
    let bytes = fs::read(path).map_err(|source| ClientError::Read { path: path.to_owned(), source })?;
    let host = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    Ok((host, String::from_utf8_lossy(&bytes).into_owned()))
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
