//! `hibiscusvaled check FILE`.

use std::path::PathBuf;

use gumdrop::Options;
use hibiscusvale::relay::RelaySettings;
use hibiscusvale::settings;

/// Checks a settings file.
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
    /// Says nothing when the file is in order.
    pub fn run(self) -> anyhow::Result<()> {
        if self.relay {
            RelaySettings::load(&self.file)?;
        } else {
            settings::check(&self.file)?;
        }
        Ok(())
    }
}
