//! `hibiscusvale completions SHELL`.

use gumdrop::Options;

use crate::error::{ClientError, UsageError};
use crate::manual::{self, Shell};
use crate::report::Report;

/// Prints the completion script for a shell.
#[derive(Debug, Options)]
pub struct Completions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "bash, fish or zsh")]
    shell: String,
    #[options(no_short, help = "for hibiscusvaled")]
    daemon: bool,
}

impl Completions {
    pub(super) fn run(&self) -> Result<Report, ClientError> {
        let shell: Shell = self
            .shell
            .parse()
            .map_err(|_| ClientError::Usage(UsageError::Shell { found: self.shell.clone() }))?;
        let program = if self.daemon { manual::daemon() } else { manual::client() };
        Ok(Report::raw(program.completions(shell)))
    }
}
