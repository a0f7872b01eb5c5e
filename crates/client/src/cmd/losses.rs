//! `hibiscusvale losses FILE...`.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::path::PathBuf;

use gumdrop::Options;

use crate::error::ClientError;
use crate::report::Report;
use crate::stream_outcomes::{self, OutcomeCounts, StreamOutcome, Targets};

/// Counts stream outcomes in log files.
#[derive(Debug, Options)]
pub struct Losses {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, meta = "MS", default = "900", help = "target for the first event")]
    first_event_ms: u64,
    #[options(no_short, meta = "MS", default = "300", help = "target for the longest pause between events")]
    pause_ms: u64,
    #[options(free, required, help = "log files")]
    files: Vec<PathBuf>,
}

impl Losses {
    pub(super) fn run(&self) -> Result<Report, ClientError> {
        let logs = super::logs::read_all(&self.files)?;
        let targets = Targets { first_event_ms: self.first_event_ms, pause_ms: self.pause_ms };
        let outcomes = stream_outcomes::count(logs.iter().map(|log| log.text.as_str()), targets);
        let columns: Vec<&StreamOutcome> = outcomes.all.keys().collect();
        let all = BTreeMap::from([("all", outcomes.all.clone())]);
        let tables = [
            table("streams", &columns, &all),
            table("second of arrival", &columns, &outcomes.seconds),
            table("last server", &columns, &outcomes.servers),
        ];
        Ok(Report::new(&outcomes, tables.join("\n\n")))
    }
}

fn table<Key>(title: &str, columns: &[&StreamOutcome], rows: &BTreeMap<Key, OutcomeCounts>) -> String
where
    Key: Display,
{
    let headers = columns.iter().map(|outcome| outcome.label());
    let mut lines = vec![row(title, headers)];
    for (key, counts) in rows {
        let counts = columns.iter().map(|outcome| counts.get(*outcome).copied().unwrap_or_default());
        lines.push(row(key, counts));
    }
    lines.join("\n")
}

fn row<Key, Cells>(key: Key, cells: Cells) -> String
where
    Key: Display,
    Cells: Iterator<Item: Display>,
{
    let cells = cells.map(|cell| format!("{cell:>20}"));
    std::iter::once(format!("{key:<16}")).chain(cells).collect::<Vec<_>>().concat()
}
