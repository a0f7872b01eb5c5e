//! `hibiscusvale man`.

use gumdrop::Options;

use crate::manual;
use crate::report::Report;

/// Prints a man page.
#[derive(Debug, Options)]
pub struct Man {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "for hibiscusvaled")]
    daemon: bool,
}

impl Man {
    pub(super) fn run(&self) -> Report {
        let program = if self.daemon { manual::daemon() } else { manual::client() };
        Report::raw(program.man())
    }
}
