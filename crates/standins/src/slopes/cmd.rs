//! The subcommands.

use std::path::PathBuf;

use anyhow::Context;
use gumdrop::Options;

use crate::{plot, virtual_time};

/// What to measure.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "show this text")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "measure state machines on a virtual clock")]
    Virtual(Virtual),
}

#[derive(Debug, Options)]
struct Virtual {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "directory for the CSV and the plot", required)]
    out: PathBuf,
    #[options(help = "measure only the smallest sizes")]
    small: bool,
}

impl Arguments {
    /// Runs the chosen subcommand.
    pub fn run(self) -> anyhow::Result<()> {
        match self.command {
            Some(Command::Virtual(arguments)) => arguments.run(),
            None => anyhow::bail!("no subcommand given, see --help"),
        }
    }
}

impl Virtual {
    fn run(self) -> anyhow::Result<()> {
        std::fs::create_dir_all(&self.out).context("could not make the output directory")?;
        let rows = virtual_time::measure(self.small);
        let path = self.out.join("slopes-virtual.csv");
        std::fs::write(&path, virtual_time::csv(&rows)).context("could not write the CSV")?;
        plot::virtual_rows(&rows, &self.out.join("slopes-virtual.svg"))?;
        virtual_time::print_slopes(&rows);
        Ok(())
    }
}
