//! `hibiscusvaled check FILE`.

use std::path::PathBuf;

use gumdrop::Options;
use hibiscusvale::settings;

/// Checks a settings file.
#[derive(Debug, Options)]
pub struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings file")]
    file: PathBuf,
}

impl Check {
    /// Says nothing when the file is in order.
    pub fn run(self) -> anyhow::Result<()> {
        Ok(settings::check(&self.file)?)
    }
}
