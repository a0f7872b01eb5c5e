//! Releases engine memory, and repeats each release until the engine confirms it.
//!
//! A cancellation can be lost like any other message. The engine would then hold a slot for a caller that
//! has left, and the only sign of it would be a shrinking pool. A release therefore ends only with the
//! engine's confirmation, or when the server is no longer listed: a server that returns under the same name
//! starts empty.

use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::{AttemptId, BackendServerId};
use hibiscusvale_core::orphan::{DueRelease, PendingReleases, ReleaseSettings};
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::time::MissedTickBehavior;

use crate::backend::{EngineClient, HeldMemory};
use crate::clock;
use crate::directory::Directory;

/// Interval of the checks for releases that are due again; shorter than the first retry delay.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends releases and tracks those that are not confirmed.
#[derive(Debug)]
pub struct Releases {
    engines: Arc<dyn EngineClient>,
    directory: Arc<Directory>,
    runtime: Handle,
    pending: Mutex<PendingReleases<HeldMemory>>,
}

impl Releases {
    /// Creates a tracker that sends releases on `runtime`.
    pub fn new(engines: Arc<dyn EngineClient>, directory: Arc<Directory>, runtime: Handle) -> Self {
        let pending = Mutex::new(PendingReleases::new(ReleaseSettings::default()));
        Self { engines, directory, runtime, pending }
    }

    /// Number of releases that are not confirmed.
    pub fn unconfirmed(&self) -> usize {
        self.pending.lock().len()
    }

    /// Releases what this daemon's attempt holds at `server`.
    pub fn release(self: &Arc<Self>, server: &BackendServerId, attempt_id: AttemptId) {
        self.release_held(server, HeldMemory::own(attempt_id));
    }

    /// Releases what an attempt of any daemon holds at `server`.
    pub fn release_held(self: &Arc<Self>, server: &BackendServerId, held: HeldMemory) {
        self.pending.lock().request(clock::now(), server, held);
        self.send_due();
    }

    /// Repeats unconfirmed releases. Runs until the daemon stops.
    pub async fn run(self: Arc<Self>) {
        let mut tick = tokio::time::interval(CHECK_INTERVAL);
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
