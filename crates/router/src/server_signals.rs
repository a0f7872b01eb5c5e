//! Applies server signals spread among daemons: a server is leaving, or accepts work again.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::{Event, StateSignal};
use hibiscusvale_core::spread::{ServerStatus, SpreadView};

use crate::clock;
use crate::control::Hubs;
use crate::directory::Directory;
use crate::service_registry::{ServiceName, ServiceRegistry};
use crate::watcher::WatcherCommand;

/// Interval at which spread signals are checked. A leaving server stops receiving new work from all daemons within
/// the spreading time plus this interval.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Applies the signals observed by any daemon, including this one: a leaving server gets no new work from this
/// daemon until the signal expires or the server is seen accepting work again.
pub async fn follow(
    registry: ServiceRegistry,
    view: Arc<ArcSwap<SpreadView>>,
    directory: Arc<Directory>,
    hubs: Arc<OnceLock<Hubs>>,
) {
    let mut seen = Arc::new(SpreadView::default());
    let mut period = tokio::time::interval(POLL_INTERVAL);
    loop {
        period.tick().await;
        let now = view.load_full();
        if Arc::ptr_eq(&seen, &now) {
            continue;
        }
        let changed = now.statuses.iter().filter(|(server, sign)| seen.statuses.get(*server) != Some(*sign));
        for (server, sign) in changed {
            apply_signal(&registry, &directory, &hubs, server, *sign);
        }
        for server in seen.statuses.keys().filter(|server| !now.statuses.contains_key(*server)) {
            apply_signal(&registry, &directory, &hubs, server, ServerStatus::Accepting);
        }
        seen = now;
    }
}

fn apply_signal(
    registry: &ServiceRegistry,
    directory: &Directory,
    hubs: &OnceLock<Hubs>,
    server: &BackendServerId,
    sign: ServerStatus,
) {
    let signal = match sign {
        ServerStatus::Leaving => {
            directory.mark_leaving(clock::now(), server);
            StateSignal::Leaving
        }
        ServerStatus::Accepting => {
            directory.clear_leaving(server);
            StateSignal::Live
        }
        // Temporary lack of capacity is tracked by the slot ledger.
        ServerStatus::Refusing => return,
    };
    if let Ok(inbox) = registry.find(ServiceName::Watcher) {
        let _ = inbox.try_send(WatcherCommand::ServerSignal(server.clone()));
    }
    if let Some(hubs) = hubs.get() {
        hubs.language.feed(Event::StateSignal { server: server.clone(), signal });
        hubs.plain.sign(server, signal);
    }
}
