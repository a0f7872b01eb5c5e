//! `hibiscusvaled relay FILE`.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use gumdrop::Options;
use hibiscusvale::daemon::new_incarnation;
use hibiscusvale::relay::{RelayAdapters, RelayDaemon, RelaySettings};
use hibiscusvale_platform::{
    PlatformWire, Store, StoreEvidence, StoreLog, StoreRegister, StoreServers, StoreTables, StoreVersions,
};

use crate::signals::{self, LifecycleRequest};

/// Interval between reloads of the settings file, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the daemon as a relay on the platform until a stop is requested.
#[derive(Debug, Options)]
pub struct Relay {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings file")]
    file: PathBuf,
}

impl Relay {
    /// Returns after a graceful stop. Further signals have no effect: the grace period bounds the shutdown.
    pub fn run(self) -> anyhow::Result<()> {
        // Installs the signal handlers first: without one, a SIGHUP that announces changed settings during startup ends
        // the process.
        let signals = signals::watch()?;
        let settings = RelaySettings::load(&self.file)?;
        let store = Store::new(settings.store.address);
        let adapters = RelayAdapters {
            wire: Arc::new(PlatformWire),
            tables: Arc::new(StoreTables::new(store.clone())),
            register: Arc::new(StoreRegister::new(store.clone())),
            log: Arc::new(StoreLog::new(store.clone())),
            servers: Arc::new(StoreServers::new(store.clone(), settings.host.region.clone())),
            evidence: Arc::new(StoreEvidence::new(store.clone())),
            versions: Arc::new(StoreVersions::new(store.clone())),
            store_traffic: Arc::clone(store.traffic()),
        };
        let mut daemon = RelayDaemon::start(settings, adapters, new_incarnation())?;
        loop {
            match signals.wait_for(RELOAD_INTERVAL) {
                Some(LifecycleRequest::Stop | LifecycleRequest::Superseded) => break,
                Some(LifecycleRequest::Reload) | None => {
                    daemon.reload(RelaySettings::load(&self.file));
                    store.set_address(daemon.settings().store.address);
                }
            }
        }
        daemon.stop();
        Ok(())
    }
}
