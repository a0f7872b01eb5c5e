//! Subcommands.

use std::path::PathBuf;

use anyhow::Context;
use gumdrop::Options;

use crate::{plot, procs, virtual_time, watch};

/// Command-line arguments.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "measure state machines on a virtual clock")]
    Virtual(Virtual),
    #[options(help = "choose addresses and write the plan of the mock servers")]
    Plan(procs::Plan),
    #[options(help = "write the settings of the daemons")]
    Settings(procs::Settings),
    #[options(help = "measure running daemons")]
    Steady(watch::Steady),
    #[options(help = "wait until a killed daemon is removed from all member lists")]
    Death(watch::Death),
    #[options(help = "plot the CSV of real daemons and fit lines")]
    Draw(plot::Draw),
}

#[derive(Debug, Options)]
struct Virtual {
    #[options(help = "print this help")]
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
            Some(Command::Plan(arguments)) => arguments.run(),
            Some(Command::Settings(arguments)) => arguments.run(),
            Some(Command::Steady(arguments)) => arguments.run(),
            Some(Command::Death(arguments)) => arguments.run(),
            Some(Command::Draw(arguments)) => arguments.run(),
            None => anyhow::bail!("no subcommand given, see --help"),
        }
    }
}

impl Virtual {
    fn run(self) -> anyhow::Result<()> {
        std::fs::create_dir_all(&self.out).context("could not create the output directory")?;
        let rows = virtual_time::measure(self.small);
        let path = self.out.join("slopes-virtual.csv");
        std::fs::write(&path, virtual_time::csv(&rows)).context("could not write the CSV")?;
        plot::virtual_rows(&rows, &self.out.join("slopes-virtual.svg"))?;
        virtual_time::print_slopes(&rows);
        Ok(())
    }
}
