//! Follows the routes and the servers.

use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::units::Millis;

use super::edge::TableSource;
use super::state::RelayState;
use crate::external::HostList;

/// How long the source may hold its answer back when there is no news. A connection that went silent is noticed by
/// this time at the latest, and routes have two seconds to be in force.
const TABLE_WAIT_MS: Millis = Millis(1_000);

/// Pause after a failed read.
const RETRY: Duration = Duration::from_millis(250);

/// Pause between reads of the list of servers. Some server tells something new all the time; a leaving one must be
/// known within two seconds, of which its word takes up to one to get into the list.
const LIST_PERIOD: Duration = Duration::from_millis(700);

/// Longest wait of one read of the list.
const LIST_WAIT_MS: Millis = Millis(1_000);

/// Keeps the newest routes in force for as long as the daemon runs. While the source is away the last ones stay.
pub async fn follow_table(source: Arc<dyn TableSource>, state: Arc<RelayState>) {
    let mut is_lost = false;
    loop {
        match source.next(TABLE_WAIT_MS).await {
            Ok(table) => {
                if std::mem::take(&mut is_lost) {
                    state.log.changed("routes regained", &"");
                }
                if let Some(table) = table {
                    adopt(&state, table);
                }
            }
            Err(failure) => {
                if !std::mem::replace(&mut is_lost, true) {
                    state.log.changed("routes lost", &failure);
                }
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

fn adopt(state: &RelayState, table: RouteTable) {
    if !state.table.load().is_replaced_by(&table) {
        return;
    }
    state.log.table_in_force(table.version().0);
    state.engine_hub.configure(&table);
    state.table.store(Arc::new(table));
}

/// Keeps the list of servers for as long as the daemon runs.
pub async fn follow_servers(list: Arc<dyn HostList>, state: Arc<RelayState>) {
    let mut is_lost = false;
    loop {
        let known = state.directory.listing().version;
        match list.read(known, LIST_WAIT_MS).await {
            Ok(page) => {
                if std::mem::take(&mut is_lost) {
                    state.log.changed("servers regained", &"");
                }
                state.directory.take(page);
                let listing = state.directory.listing();
                if listing.version != known {
                    state.plain_hub.adopt(&listing);
                    state.engine_hub.adopt(&listing);
                    state.engine_hub.configure(&state.table.load());
                }
                tokio::time::sleep(LIST_PERIOD).await;
            }
            Err(failure) => {
                if !std::mem::replace(&mut is_lost, true) {
                    state.log.changed("servers lost", &failure);
                }
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}
