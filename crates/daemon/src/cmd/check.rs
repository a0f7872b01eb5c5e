//! `hibiscusvaled check FILE`.

use std::path::PathBuf;

use gumdrop::Options;
use hibiscusvale::relay::RelaySettings;
use hibiscusvale::settings;

/// Checks a settings file without starting the daemon.
#[derive(Debug, Options)]
pub struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "the file is for `hibiscusvaled relay`")]
    relay: bool,
    #[options(free, required, help = "settings file")]
    file: PathBuf,
}

impl Check {
    /// Prints nothing if the file is valid.
    pub fn run(self) -> anyhow::Result<()> {
        if self.relay {
            RelaySettings::load(&self.file)?;
        } else {
            settings::check(&self.file)?;
        }
        Ok(())
    }
}
