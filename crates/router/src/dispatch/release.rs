//! Release of engine memory, repeated until the engine confirms it.
//!
//! A cancellation can be lost like any message; the engine would then hold a slot for a caller who has gone,
//! and nobody would notice but by a pool that shrinks. So a release ends only with the engine's
//! confirmation, or when the server is no longer listed: whatever comes back under its name starts empty.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hibiscusvale_core::ids::AttemptId;
use rand::RngExt;

use crate::backend::EngineEdge;
use crate::directory::{BackendServer, Directory};

/// First pause between tries: several round trips inside a region.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause: an engine that comes back is relieved within about this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Counts the releases that are under way.
#[derive(Debug, Default)]
pub struct Releases {
    under_way: AtomicUsize,
}

impl Releases {
    /// Releases not yet confirmed.
    pub fn under_way(&self) -> usize {
        self.under_way.load(Ordering::Relaxed)
    }

    /// Starts a release.
    pub fn release(
        self: &Arc<Self>,
        engines: Arc<dyn EngineEdge>,
        directory: Arc<Directory>,
        server: BackendServer,
        attempt_id: AttemptId,
    ) {
        self.under_way.fetch_add(1, Ordering::Relaxed);
        let releases = Arc::clone(self);
        tokio::spawn(async move {
            until_confirmed(&*engines, &directory, &server, attempt_id).await;
            releases.under_way.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn until_confirmed(
    engines: &dyn EngineEdge,
    directory: &Directory,
    server: &BackendServer,
    attempt_id: AttemptId,
) {
    let mut pause = FIRST_PAUSE;
    while engines.cancel(server.address, attempt_id).await.is_err() {
        if !directory.listing().servers.contains_key(&server.id) {
            return;
        }
        // Jitter keeps many releases towards an engine that comes back from arriving in one burst.
        tokio::time::sleep(jittered(pause)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
