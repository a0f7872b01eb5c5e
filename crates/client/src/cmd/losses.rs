//! `hibiscusvale losses FILE...`.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::path::PathBuf;

use gumdrop::Options;

use crate::error::ClientError;
use crate::losses::{self, Ending, Endings, Targets};
use crate::report::Report;

/// Counts what streams came to, from logs alone.
#[derive(Debug, Options)]
pub struct Losses {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, meta = "MS", default = "900", help = "target for the first event")]
    first_event_ms: u64,
    #[options(no_short, meta = "MS", default = "300", help = "longest pause between events in aim")]
    pause_ms: u64,
    #[options(free, required, help = "log files")]
    files: Vec<PathBuf>,
}

impl Losses {
    pub(super) fn run(&self) -> Result<Report, ClientError> {
        let logs = super::logs::read_all(&self.files)?;
        let targets = Targets { first_event_ms: self.first_event_ms, pause_ms: self.pause_ms };
        let losses = losses::count(logs.iter().map(|log| log.text.as_str()), targets);
        let endings: Vec<&Ending> = losses.all.keys().collect();
        let all = BTreeMap::from([("all", losses.all.clone())]);
        let tables = [
            table("streams", &endings, &all),
            table("from second", &endings, &losses.seconds),
            table("asked last", &endings, &losses.servers),
        ];
        Ok(Report::new(&losses, tables.join("\n\n")))
    }
}

fn table<Key>(title: &str, endings: &[&Ending], rows: &BTreeMap<Key, Endings>) -> String
where
    Key: Display,
{
    let heads = endings.iter().map(|ending| ending.label());
    let mut lines = vec![row(title, heads)];
    for (key, counts) in rows {
        let counts = endings.iter().map(|ending| counts.get(*ending).copied().unwrap_or_default());
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
