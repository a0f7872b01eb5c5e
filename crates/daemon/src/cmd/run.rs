//! `hibiscusvaled run FILE`.

use std::path::PathBuf;

use gumdrop::Options;
use hibiscusvale::daemon::{Daemon, ExternalSystems, new_incarnation};
use hibiscusvale::settings::Settings;

use crate::signals::{self, LifecycleRequest};

/// Runs the daemon until a stop is requested.
#[derive(Debug, Options)]
pub struct Run {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings file")]
    file: PathBuf,
}

impl Run {
    /// Returns after a graceful stop; a second stop signal exits the process at once.
    pub fn run(self) -> anyhow::Result<()> {
        // Handlers come first: by default SIGHUP ends the process, and it may arrive during startup when settings change.
        let signals = signals::watch()?;
        let settings = Settings::load(&self.file)?;
        let incarnation = new_incarnation();
        let edges = ExternalSystems::new(&settings, incarnation);
        let daemon = Daemon::start(&settings, edges, incarnation)?;
        // Prints the addresses, since settings with port 0 let the system choose the port.
        println!(
            "{{\"callers\":\"{}\",\"operators\":\"{}\",\"peers\":\"{}\"}}",
            daemon.callers_address(),
            daemon.operators_address(),
            daemon.peer_address()
        );
        let sender = signals.sender();
        // Sending fails only after the receiver is dropped, which means that the daemon is stopping already.
        daemon.on_superseded(move || {
            let _ = sender.send(LifecycleRequest::Superseded);
        });
        loop {
            match signals.wait() {
                LifecycleRequest::Stop => break,
                LifecycleRequest::Superseded => {
                    eprintln!("hibiscusvaled: stopping, another process runs under this host's name");
                    break;
                }
                LifecycleRequest::Reload => eprintln!("hibiscusvaled: settings are read only at startup"),
            }
        }
        signals.exit_on_next_stop();
        daemon.stop();
        Ok(())
    }
}
