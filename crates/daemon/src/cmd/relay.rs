//! `hibiscusvaled relay FILE`.

use std::path::PathBuf;
use std::sync::Arc;

use gumdrop::Options;
use hibiscusvale::daemon::new_incarnation;
use hibiscusvale::relay::{RelayDaemon, RelayEdges, RelaySettings};
use hibiscusvale_platform::{PlatformWire, Store, StoreRegister, StoreServers, StoreTables};

use crate::signals;

/// Runs the daemon on the users' platform until it is told to stop.
#[derive(Debug, Options)]
pub struct Relay {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings file")]
    file: PathBuf,
}

impl Relay {
    /// Returns after a graceful stop; a second signal ends the process at once.
    pub fn run(self) -> anyhow::Result<()> {
        let settings = RelaySettings::load(&self.file)?;
        let signals = signals::watch()?;
        let store = Store::new(settings.store.address);
        let edges = RelayEdges {
            wire: Arc::new(PlatformWire),
            tables: Arc::new(StoreTables::new(store.clone())),
            register: Arc::new(StoreRegister::new(store.clone())),
            servers: Arc::new(StoreServers::new(store, settings.host.region.clone())),
        };
        let daemon = RelayDaemon::start(&settings, edges, new_incarnation())?;
        signals.wait();
        daemon.stop();
        Ok(())
    }
}
