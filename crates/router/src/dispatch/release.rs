//! Release of engine memory, repeated until the engine confirms it.
//!
//! A cancellation can be lost like any message; the engine would then hold a slot for a caller who has gone,
//! and nobody would notice but by a pool that shrinks. So a release ends only with the engine's
//! confirmation, or when the server is no longer listed: whatever comes back under its name starts empty.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hibiscusvale_core::ids::{AttemptId, BackendServerId};
use rand::RngExt;
use tokio::runtime::Handle;

use crate::backend::{EngineEdge, Held};
use crate::directory::Directory;

/// First pause between tries: several round trips inside a region.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause: an engine that comes back is relieved within about this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Starts releases and counts those under way.
#[derive(Debug)]
pub struct Releases {
    engines: Arc<dyn EngineEdge>,
    directory: Arc<Directory>,
    runtime: Handle,
    under_way: AtomicUsize,
}

impl Releases {
    /// Makes releases that run on `runtime`.
    pub fn new(engines: Arc<dyn EngineEdge>, directory: Arc<Directory>, runtime: Handle) -> Self {
        Self { engines, directory, runtime, under_way: AtomicUsize::new(0) }
    }

    /// Releases not yet confirmed.
    pub fn under_way(&self) -> usize {
        self.under_way.load(Ordering::Relaxed)
    }

    /// Releases what this daemon's try holds at `server`.
    pub fn release(self: &Arc<Self>, server: &BackendServerId, attempt_id: AttemptId) {
        self.release_held(server, Held::own(attempt_id));
    }

    /// Releases what any daemon's try holds at `server`.
    pub fn release_held(self: &Arc<Self>, server: &BackendServerId, held: Held) {
        self.under_way.fetch_add(1, Ordering::Relaxed);
        let releases = Arc::clone(self);
        let server = server.clone();
        self.runtime.spawn(async move {
            releases.until_confirmed(&server, &held).await;
            releases.under_way.fetch_sub(1, Ordering::Relaxed);
        });
    }

    async fn until_confirmed(&self, server: &BackendServerId, held: &Held) {
        let mut pause = FIRST_PAUSE;
        loop {
            let Some(address) = self.directory.listing().servers.get(server).map(|server| server.address)
            else {
                return;
            };
            if self.engines.cancel(address, held.clone()).await.is_ok() {
                return;
            }
            // Jitter keeps many releases towards an engine that comes back from arriving in one burst.
            tokio::time::sleep(jittered(pause)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
