//! What a command prints: a text for people, JSON for scripts.

use std::io::{self, Write};

use serde::Serialize;

use crate::error;

/// The result of a command in both forms.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// For people; ends without a newline.
    pub human: String,
    /// For scripts: one JSON value.
    pub json: String,
}

impl Report {
    /// A result with its two forms.
    pub fn new<View>(view: &View, human: String) -> Self
    where
        View: Serialize,
    {
        Self {
            human,
            // Plain data with text keys has no way to fail; a script would notice the empty line.
            json: serde_json::to_string(view).unwrap_or_default(),
        }
    }

    /// A text that is the same for people and scripts, such as a generated file.
    pub fn raw(text: String) -> Self {
        Self { json: text.clone(), human: text }
    }

    /// Prints one of the forms.
    pub fn print(&self, is_json: bool) {
        let text = if is_json { &self.json } else { &self.human };
        // Whoever closed our output early (`| head`) has seen enough.
        let _ = writeln!(io::stdout(), "{}", text.trim_end_matches('\n'));
    }
}

#[derive(Serialize)]
struct ErrorView {
    error: String,
    exit_code: u8,
}

/// Prints why a command failed.
pub fn print_error(error: &anyhow::Error, is_json: bool) {
    let message = format!("{error:#}");
    if is_json {
        let view = ErrorView { error: message, exit_code: error::exit_code(error) };
        eprintln!("{}", serde_json::to_string(&view).unwrap_or_default());
    } else {
        eprintln!("hibiscusvale: {message}");
    }
}

/// A table with left-aligned columns.
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

/// A text or a dash.
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

/// How long ago something was, in the largest fitting unit.
pub fn age(age_ms: u64) -> String {
    let seconds = age_ms / MILLIS_PER_SECOND;
    match seconds {
        0..SECONDS_PER_MINUTE => format!("{seconds}s ago"),
        SECONDS_PER_MINUTE..SECONDS_PER_HOUR => format!("{}m ago", seconds / SECONDS_PER_MINUTE),
        SECONDS_PER_HOUR..SECONDS_PER_DAY => format!("{}h ago", seconds / SECONDS_PER_HOUR),
        _ => format!("{}d ago", seconds / SECONDS_PER_DAY),
    }
}
