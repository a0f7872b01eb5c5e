//! Keeps the route table up to date.

use std::ops::RangeInclusive;
use std::sync::Arc;

use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::relay::recipients::BroadcastScope;
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::units::Millis;

use rand::RngExt;

use super::dependency::Dependency;
use super::freshness::{Feed, NewerTable, wait_until_due};
use super::interfaces::TableSource;
use super::pacing::Urgency;
use super::state::RelayState;
use super::state_transfer;
use crate::clock;

/// Long-poll timeout of the route source: one call of a reader then covers a second, and a dead connection is
/// noticed at its end.
const TABLE_WAIT_MS: Millis = Millis(1_000);

/// Range of the delay of the first reads.
const FIRST_READ_DELAY_MS: RangeInclusive<u64> = 5_000..=8_000;

/// Waits for the register. In a large fleet the first reads are left to the readers of the data centre for a
/// random time, so that not all daemons read at once if the readers fail.
pub async fn delay_first_reads(state: &RelayState) {
    state.peers.wait_for_register().await;
    if state.peers.reach() == BroadcastScope::DataCentre || !state.peers.is_register_read() {
        let delay_ms = rand::rng().random_range(FIRST_READ_DELAY_MS);
        state.freshness.delay_first_reads(clock::now() + Millis(delay_ms));
    }
}

/// Keeps the newest routes in force for as long as the daemon runs. While the source is unavailable the
/// current ones stay.
pub async fn follow_table(source: Arc<dyn TableSource>, own: HostId, state: Arc<RelayState>) {
    let mut dependency = Dependency::new("routes lost", "routes regained");
    delay_first_reads(&state).await;
    loop {
        let begun_us = wait_until_due(&state, &own, Feed::Table).await;
        match state.freshness.newer_table(state.table.load().version()) {
            NewerTable::At(announcer) if state_transfer::fetch_table(&state, announcer).await => {
                state.freshness.table_learned();
                continue;
            }
            // The announcer gets requests of hundreds of daemons at once. Another daemon will announce the
            // same version; if not, this one reads from the store once its routes are too old.
            NewerTable::At(_) if state.peers.reach() == BroadcastScope::DataCentre => continue,
            NewerTable::InForce => {
                state.freshness.table_learned();
                continue;
            }
            NewerTable::At(_) | NewerTable::Unannounced => {}
        }
        match source.next(TABLE_WAIT_MS).await {
            Ok(table) => {
                dependency.report_success(&state);
                // Without a new table the source has held the call for the whole timeout, so the current one
                // is confirmed up to its end.
                let as_of_us = if table.is_some() { begun_us } else { begun_us + TABLE_WAIT_MS };
                if let Some(table) = table {
                    adopt_table(&state, table);
                }
                state.freshness.table_read(as_of_us);
                state.peers.schedule_message(Urgency::Soon);
            }
            Err(failure) => {
                dependency.report_failure(&state, &failure);
                state.freshness.failed(clock::now(), Feed::Table);
                catch_up(&state).await;
            }
        }
    }
}

/// Fetches from another daemon what the store did not return. The store may reject one daemon while it
/// answers the others; with its own reads alone this one would use replaced routes and servers that have left
/// for seconds, although newer versions were announced.
pub async fn catch_up(state: &RelayState) {
    if let Some(announcer) = state.freshness.announcer() {
        state_transfer::fetch_snapshot(state, announcer).await;
    }
}

/// Puts a table in force unless it is older than the current one; returns whether it did.
pub fn adopt_table(state: &RelayState, table: RouteTable) -> bool {
    if !state.table.load().is_replaced_by(&table) {
        return false;
    }
    state.log.routes_in_force(table.version().0);
    state.engine_pools.configure(&table, |service| state.uses_engine_speeds(service));
    state.caller_waits.lock().retain(|route| table.has(route));
    state.stop.retain_routes(|route| table.has(route));
    state.table.store(Arc::new(table));
    state.configure_quotas();
    true
}
