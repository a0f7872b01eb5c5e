//! Applies server statuses spread among daemons: a server is leaving, or accepts work again.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::{Event, StatusUpdate};
use hibiscusvale_core::spread::{ServerStatus, SpreadView};

use crate::clock;
use crate::control::SharedSchedulers;
use crate::directory::Directory;
use crate::service_registry::{ServiceName, ServiceRegistry};
use crate::watcher::WatcherCommand;

/// Interval at which spread statuses are checked. A leaving server stops receiving new work from all daemons
/// within the spreading time plus this interval.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Applies the statuses observed by any daemon, including this one: a leaving server gets no new work from this
/// daemon until the update expires or the server is seen accepting work again.
pub async fn follow(
    registry: ServiceRegistry,
    view: Arc<ArcSwap<SpreadView>>,
    directory: Arc<Directory>,
    schedulers: Arc<OnceLock<SharedSchedulers>>,
) {
    let mut seen = Arc::new(SpreadView::default());
    let mut period = tokio::time::interval(POLL_INTERVAL);
    loop {
        period.tick().await;
        let now = view.load_full();
        if Arc::ptr_eq(&seen, &now) {
            continue;
        }
        let changed =
            now.statuses.iter().filter(|(server, status)| seen.statuses.get(*server) != Some(*status));
        for (server, status) in changed {
            apply_status(&registry, &directory, &schedulers, server, *status);
        }
        for server in seen.statuses.keys().filter(|server| !now.statuses.contains_key(*server)) {
            apply_status(&registry, &directory, &schedulers, server, ServerStatus::Accepting);
        }
        seen = now;
    }
}

fn apply_status(
    registry: &ServiceRegistry,
    directory: &Directory,
    schedulers: &OnceLock<SharedSchedulers>,
    server: &BackendServerId,
    status: ServerStatus,
) {
    let update = match status {
        ServerStatus::Leaving => {
            directory.mark_leaving(clock::now(), server);
            StatusUpdate::Leaving
        }
        ServerStatus::Accepting => {
            directory.clear_leaving(server);
            StatusUpdate::Live
        }
        // Temporary lack of capacity is tracked by the slot ledger.
        ServerStatus::Refusing => return,
    };
    if let Ok(inbox) = registry.find(ServiceName::Watcher) {
        let _ = inbox.try_send(WatcherCommand::ServerStatus(server.clone()));
    }
    if let Some(schedulers) = schedulers.get() {
        schedulers.language.feed(Event::StatusUpdate { server: server.clone(), update });
        schedulers.plain.update_status(server, update);
    }
}
