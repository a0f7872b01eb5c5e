//! Output of commands: text for people, JSON for scripts.

use std::io::{self, Write};

use serde::Serialize;

use crate::error;

/// Result of a command in both output formats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Human-readable text without a trailing newline.
    pub human: String,
    /// JSON value for scripts, or the same text as `human` for generated files.
    pub json: String,
}

impl Report {
    /// Creates a report from a serializable view and its human-readable text.
    pub fn new<View>(view: &View, human: String) -> Self
    where
        View: Serialize,
    {
        Self {
            human,
            // Serializing plain data with string keys does not fail; a script would notice the empty line.
            json: serde_json::to_string(view).unwrap_or_default(),
        }
    }

    /// Creates a report whose text is the same in both formats, such as a generated file.
    pub fn raw(text: String) -> Self {
        Self { json: text.clone(), human: text }
    }

    /// Prints the report to standard output, as JSON if `is_json` is set.
    pub fn print(&self, is_json: bool) {
        let text = if is_json { &self.json } else { &self.human };
        // A reader that closes the pipe early, such as `head`, is not an error.
        let _ = writeln!(io::stdout(), "{}", text.trim_end_matches('\n'));
    }
}

#[derive(Serialize)]
struct ErrorView {
    error: String,
    exit_code: u8,
}

/// Prints the error of a command to standard error.
pub fn print_error(error: &anyhow::Error, is_json: bool) {
    let message = format!("{error:#}");
    if is_json {
        let view = ErrorView { error: message, exit_code: error::exit_code(error) };
        eprintln!("{}", serde_json::to_string(&view).unwrap_or_default());
    } else {
        eprintln!("hibiscusvale: {message}");
    }
}

/// Formats a table with left-aligned columns.
pub fn table<const COLUMNS: usize>(headers: [&str; COLUMNS], rows: &[[String; COLUMNS]]) -> String {
    let mut widths = headers.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header = headers.map(str::to_owned);
    let lines = std::iter::once(&header).chain(rows).map(|row| line(row, &widths));
    lines.collect::<Vec<_>>().join("\n")
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, &width)| format!("{cell:width$}"));
    padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
}

/// Formats a value, or a dash for `None`.
pub fn or_dash<Value>(value: Option<Value>) -> String
where
    Value: ToString,
{
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_MINUTE: u64 = 60;
const SECONDS_PER_HOUR: u64 = 3_600;
const SECONDS_PER_DAY: u64 = 86_400;

/// Formats an age in the largest unit in which it is at least 1.
pub fn age(age_ms: u64) -> String {
    let seconds = age_ms / MILLIS_PER_SECOND;
    match seconds {
        0..SECONDS_PER_MINUTE => format!("{seconds}s ago"),
        SECONDS_PER_MINUTE..SECONDS_PER_HOUR => format!("{}m ago", seconds / SECONDS_PER_MINUTE),
        SECONDS_PER_HOUR..SECONDS_PER_DAY => format!("{}h ago", seconds / SECONDS_PER_HOUR),
        _ => format!("{}d ago", seconds / SECONDS_PER_DAY),
    }
}
