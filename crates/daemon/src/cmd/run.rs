//! `hibiscusvaled run FILE`.

use std::path::PathBuf;

use gumdrop::Options;
use hibiscusvale::daemon::{Daemon, ExternalSystems, new_incarnation};
use hibiscusvale::settings::Settings;

use crate::signals::{self, Asked};

/// Runs the daemon until it is told to stop.
#[derive(Debug, Options)]
pub struct Run {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings file")]
    file: PathBuf,
}

impl Run {
    /// Returns after a graceful stop; a second signal ends the process at once.
    pub fn run(self) -> anyhow::Result<()> {
        // First of all: without a handler SIGHUP ends the process, and settings may change while it starts.
        let signals = signals::watch()?;
        let settings = Settings::load(&self.file)?;
        let incarnation = new_incarnation();
        let edges = ExternalSystems::new(&settings, incarnation);
        let daemon = Daemon::start(&settings, edges, incarnation)?;
        // Where the settings leave the port to the system, this is how one learns it.
        println!(
            "{{\"callers\":\"{}\",\"operators\":\"{}\",\"peers\":\"{}\"}}",
            daemon.callers_address(),
            daemon.operators_address(),
            daemon.peer_address()
        );
        let sender = signals.sender();
        // Whoever does not listen any more has been told to stop already.
        daemon.on_superseded(move || {
            let _ = sender.send(Asked::Superseded);
        });
        loop {
            match signals.wait() {
                Asked::Stop => break,
                Asked::Superseded => {
                    eprintln!("hibiscusvaled: stopping, another process runs under this host's name");
                    break;
                }
                Asked::Reload => eprintln!("hibiscusvaled: settings are read at the start only"),
            }
        }
        signals.end_at_once_on_the_next();
        daemon.stop();
        Ok(())
    }
}
