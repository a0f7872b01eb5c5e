//! Follows the routes and the servers, and knows how old its knowledge is.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::relay::audience::Reach;
use hibiscusvale_core::relay::lapses::Lapses;
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::units::Millis;

use rand::RngExt;

use super::edge::TableSource;
use super::freshness::{Followed, ListState, NewerTable, due};
use super::handover;
use super::link::Link;
use super::news::ServerChange;
use super::pace::Urgency;
use super::state::RelayState;
use crate::clock;
use crate::directory::Listing;
use crate::external::{HostList, HostListChange, HostListPage};

/// How long the source of routes may hold its answer back when there is no news: a reader's call then serves for a
/// second, and a connection that went silent is noticed by the end of it.
const TABLE_WAIT_MS: Millis = Millis(1_000);

/// For how long the first reads are left to others.
const FIRST_READ_LEFT_MS: RangeInclusive<u64> = 5_000..=8_000;

/// The list of servers is never without news for long, and is read at intervals: nothing is held back.
const LIST_WAIT_MS: Millis = Millis(0);

/// Waits for the register. In a large fleet the first reads are left to the readers of the data centre for a while, which
/// differs so that not all daemons read at once where that was in vain.
async fn start(state: &RelayState) {
    state.peers.register_known().await;
    if state.peers.reach() == Reach::DataCentre || !state.peers.is_register_read() {
        let left_ms = rand::rng().random_range(FIRST_READ_LEFT_MS);
        state.freshness.leave_first_reads(clock::now() + Millis(left_ms));
    }
}

/// Keeps the newest routes in force for as long as the daemon runs. While the source is away the last ones stay.
pub async fn follow_table(source: Arc<dyn TableSource>, own: HostId, state: Arc<RelayState>) {
    let mut link = Link::new("routes lost", "routes regained");
    start(&state).await;
    loop {
        let begun_us = due(&state, &own, Followed::Table).await;
        match state.freshness.newer_table(state.table.load().version()) {
            NewerTable::At(teller) if handover::learn_table_from(&state, teller).await => {
                state.freshness.table_learned();
                continue;
            }
            // It is asked by hundreds at once. Another one will tell of the same; if not, this daemon reads when what it
            // knows is too old.
            NewerTable::At(_) if state.peers.reach() == Reach::DataCentre => continue,
            NewerTable::InForce => {
                state.freshness.table_learned();
                continue;
            }
            NewerTable::At(_) | NewerTable::Unannounced => {}
        }
        match source.next(TABLE_WAIT_MS).await {
            Ok(table) => {
                link.regained(&state);
                // Without news the source has waited, and knows of none up to the end of that.
                let as_of_us = if table.is_some() { begun_us } else { begun_us + TABLE_WAIT_MS };
                if let Some(table) = table {
                    adopt_table(&state, table);
                }
                state.freshness.table_read(as_of_us);
                state.peers.touch(Urgency::Soon);
            }
            Err(failure) => {
                link.lost(&state, &failure);
                state.freshness.failed(clock::now(), Followed::Table);
                catch_up(&state).await;
            }
        }
    }
}

/// Learns from another daemon what the store did not tell. The store may turn one daemon away while it answers the
/// others; by its own reads alone this one would go on for seconds with routes that are replaced and servers that have
/// left, though it hears that there are newer ones.
async fn catch_up(state: &RelayState) {
    if let Some(teller) = state.freshness.teller() {
        handover::learn_from(state, teller).await;
    }
}

/// Puts a table in force unless it is older than the one that is.
pub fn adopt_table(state: &RelayState, table: RouteTable) -> bool {
    if !state.table.load().is_replaced_by(&table) {
        return false;
    }
    state.log.table_in_force(table.version().0);
    state.engine_hub.configure(&table);
    state.patience.lock().retain(|route| table.has(route));
    state.table.store(Arc::new(table));
    state.configure_quotas();
    true
}

/// Keeps the list of servers for as long as the daemon runs.
pub async fn follow_servers(list: Arc<dyn HostList>, own: HostId, state: Arc<RelayState>) {
    let mut link = Link::new("servers lost", "servers regained");
    let mut lapses = Lapses::default();
    start(&state).await;
    loop {
        let begun_us = due(&state, &own, Followed::Servers).await;
        if let Some(teller) = state.freshness.newer_servers(state.directory.listing().version)
            && (handover::learn_servers_from(&state, teller).await
                || state.peers.reach() == Reach::DataCentre)
        {
            continue;
        }
        match list.read(state.directory.listing().version, LIST_WAIT_MS).await {
            Ok(page) => {
                link.regained(&state);
                lapses.read(clock::now());
                let before = state.directory.listing();
                take(&state, &mut lapses, page);
                let after = state.directory.listing();
                if let Some(change) = ServerChange::between(&before, &after).filter(|_| before.version > 0) {
                    state.news.note(change);
                }
                if state.freshness.servers_read(begun_us, ListState::of(&after)) {
                    servers_changed(&state, &before);
                }
                state.peers.touch(Urgency::Soon);
            }
            Err(failure) => {
                lapses.lost();
                link.lost(&state, &failure);
                state.freshness.failed(clock::now(), Followed::Servers);
                catch_up(&state).await;
            }
        }
    }
}

/// Takes a page into the directory; entries that vanished are kept while that proves nothing.
fn take(state: &RelayState, lapses: &mut Lapses, page: HostListPage) {
    let known = state.directory.listing();
    let (set, vanished) = match page.change {
        HostListChange::Whole(hosts) if known.version == 0 => {
            return state.directory.take(HostListPage { change: HostListChange::Whole(hosts), ..page });
        }
        // A store that has lost its contents would take every server out of use at once.
        HostListChange::Whole(hosts) if hosts.is_empty() => return,
        HostListChange::Whole(hosts) => {
            let listed: BTreeSet<_> = hosts.iter().map(|host| host.id.clone()).collect();
            let vanished = known.servers.keys().filter(|id| !listed.contains(id)).cloned().collect();
            (hosts, vanished)
        }
        HostListChange::Some { set, remove } => (set, remove),
    };
    let gone = lapses.filter(clock::now(), vanished, set.iter().map(|host| &host.id));
    let change = HostListChange::Some { set, remove: gone };
    state.directory.take(HostListPage { version: page.version, change });
}

/// Takes changes that another daemon read, if they lead to what that one knows; says whether they brought anything.
pub fn adopt_changes(state: &RelayState, changes: Vec<ServerChange>) -> bool {
    if changes.is_empty() {
        return false;
    }
    let before = state.directory.listing();
    let Some(listing) = ServerChange::applied(&changes, &before) else {
        return false;
    };
    state.news.keep(changes, before.version);
    state.freshness.servers_learned(ListState::of(&listing));
    let is_other = listing.servers.digest() != before.servers.digest();
    state.directory.adopt(listing);
    if is_other {
        servers_changed(state, &before);
    }
    true
}

/// Tells the schedulers of the servers that the directory has now.
pub fn servers_changed(state: &RelayState, before: &Listing) {
    let listing = state.directory.listing();
    state.log.servers_changed(&before.servers, &listing.servers);
    state.limits.adopt(state, &listing.servers);
    state.plain_hub.adopt(&listing);
    state.engine_hub.adopt(&listing);
    state.engine_hub.configure(&state.table.load());
    state.servers_adopted.store(true, Ordering::Relaxed);
}
