//! Release of engine memory, repeated until the engine confirms it.
//!
//! A cancellation can be lost like any message; the engine would then hold a slot for a caller who has gone,
//! and nobody would notice but by a pool that shrinks. So a release ends only with the engine's
//! confirmation, or when the server is no longer listed: whatever comes back under its name starts empty.

use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::{AttemptId, BackendServerId};
use hibiscusvale_core::orphan::{DueRelease, PendingReleases, ReleaseSettings};
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::time::MissedTickBehavior;

use crate::backend::{EngineEdge, Held};
use crate::clock;
use crate::directory::Directory;

/// Time between looks at releases that are due again; below the first wait of any.
const TICK: Duration = Duration::from_millis(50);

/// Sends releases and counts those not confirmed.
#[derive(Debug)]
pub struct Releases {
    engines: Arc<dyn EngineEdge>,
    directory: Arc<Directory>,
    runtime: Handle,
    pending: Mutex<PendingReleases<Held>>,
}

impl Releases {
    /// Makes releases that are sent on `runtime`.
    pub fn new(engines: Arc<dyn EngineEdge>, directory: Arc<Directory>, runtime: Handle) -> Self {
        let pending = Mutex::new(PendingReleases::new(ReleaseSettings::default()));
        Self { engines, directory, runtime, pending }
    }

    /// Releases not yet confirmed.
    pub fn under_way(&self) -> usize {
        self.pending.lock().len()
    }

    /// Releases what this daemon's try holds at `server`.
    pub fn release(self: &Arc<Self>, server: &BackendServerId, attempt_id: AttemptId) {
        self.release_held(server, Held::own(attempt_id));
    }

    /// Releases what any daemon's try holds at `server`.
    pub fn release_held(self: &Arc<Self>, server: &BackendServerId, held: Held) {
        self.pending.lock().request(clock::now(), server, held);
        self.send_due();
    }

    /// Sends again what is not confirmed, for as long as the daemon runs.
    pub async fn run(self: Arc<Self>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            self.send_due();
        }
    }

    fn send_due(self: &Arc<Self>) {
        let due = self.pending.lock().due(clock::now());
        if due.is_empty() {
            return;
        }
        for DueRelease { server, item } in due {
            let Some(address) = self.directory.address_of(&server) else {
                self.pending.lock().remove_server(&server);
                continue;
            };
            let releases = Arc::clone(self);
            self.runtime.spawn(async move {
                if releases.engines.cancel(address, item.clone()).await.is_ok() {
                    releases.pending.lock().confirmed(&server, &item);
                }
            });
        }
    }
}
