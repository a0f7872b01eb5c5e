//! Keeps the route table and the server list up to date.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hibiscusvale_core::ids::{BackendServerId, HostId};
use hibiscusvale_core::relay::expired_entries::ExpiredEntries;
use hibiscusvale_core::relay::recipients::BroadcastScope;
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::units::{Millis, MonoTime};

use rand::RngExt;

use super::dependency::Dependency;
use super::freshness::{Feed, ListAgeChange, ListState, NewerTable, wait_until_due};
use super::interfaces::TableSource;
use super::pacing::Urgency;
use super::server_changes::ServerChange;
use super::state::RelayState;
use super::state_transfer;
use crate::clock;
use crate::directory::{BackendServer, Listing};
use crate::external::{HostList, HostListChange, HostListPage};
use crate::logging::KeptLine;

/// Long-poll timeout of the route source: one call of a reader then covers a second, and a dead connection is
/// noticed at its end.
const TABLE_WAIT_MS: Millis = Millis(1_000);

/// Range of the delay of the first reads.
const FIRST_READ_DELAY_MS: RangeInclusive<u64> = 5_000..=8_000;

/// Long-poll timeout of the server list. It changes all the time and is read at intervals, so nothing is held
/// back.
const LIST_WAIT_MS: Millis = Millis(0);

/// Waits for the register. In a large fleet the first reads are left to the readers of the data centre for a
/// random time, so that not all daemons read at once if the readers fail.
async fn delay_first_reads(state: &RelayState) {
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
async fn catch_up(state: &RelayState) {
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

/// Keeps the server list up to date for as long as the daemon runs.
pub async fn follow_servers(list: Arc<dyn HostList>, own: HostId, state: Arc<RelayState>) {
    let mut dependency = Dependency::new("servers lost", "servers regained");
    delay_first_reads(&state).await;
    loop {
        let begun_us = tokio::select! {
            begun_us = wait_until_due(&state, &own, Feed::Servers) => begun_us,
            () = wait_for_expired_entry(&state) => {
                remove_expired_entries(&state);
                continue;
            }
        };
        if let Some(announcer) = state.freshness.newer_servers(state.directory.listing().version)
            && (state_transfer::fetch_server_changes(&state, announcer).await
                || state.peers.reach() == BroadcastScope::DataCentre)
        {
            continue;
        }
        // In a large fleet, hundreds of daemons would read thousands of servers.
        let is_whole = state.peers.reach() != BroadcastScope::DataCentre
            && state.freshness.take_whole_read_due(begun_us);
        let after = if is_whole { 0 } else { state.directory.listing().version };
        match list.read(after, LIST_WAIT_MS).await {
            Ok(page) => {
                dependency.report_success(&state);
                let before = state.directory.listing();
                if page.version < before.version {
                    state.log.server_list_read_late(page.version, before.version);
                }
                let change = apply_page(&state, &before, page);
                let after = state.directory.listing();
                if let Some(change) = change.filter(|_| before.version > 0) {
                    state.server_changes.record(change);
                }
                if state.freshness.servers_read(begun_us, ListState::of(&after)) {
                    servers_changed(&state, &before);
                }
                state.peers.schedule_message(Urgency::Soon);
            }
            Err(failure) => {
                state.expired_entries.lock().read_failed();
                dependency.report_failure(&state, &failure);
                state.freshness.failed(clock::now(), Feed::Servers);
                catch_up(&state).await;
            }
        }
    }
}

/// Log texts for feeds that this daemon can't read, but that others have confirmed since.
const REGAINED_FROM_OTHERS: [(Feed, &str); 2] = [
    (Feed::Table, "routes regained from other daemons"),
    (Feed::Servers, "servers regained from other daemons"),
];

/// Interval at which the age of the list is observed, and whether a kept entry is due.
const EXPIRED_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until a vanished entry has been kept long enough, and observes the age of the list meanwhile.
async fn wait_for_expired_entry(state: &RelayState) {
    loop {
        let now_us = clock::now();
        let age_us = state.freshness.servers_age_us(now_us);
        match state.freshness.take_list_age_change(now_us) {
            Some(ListAgeChange::Old) => {
                state.log.state_changed("server list old, version", &state.directory.listing().version);
            }
            Some(ListAgeChange::Current(after_us)) => {
                state.log.state_changed("server list current again, after ms", &after_us.to_millis_ceil().0);
            }
            None => {}
        }
        for (feed, regained) in REGAINED_FROM_OTHERS {
            if state.freshness.take_made_up(feed) {
                state.log.state_changed(regained, &"");
            }
        }
        let next_due_us = {
            let mut expired = state.expired_entries.lock();
            expired.observe_age(now_us, age_us);
            expired.next_due_us(now_us)
        };
        if next_due_us.is_some_and(|due_us| due_us <= now_us) {
            return;
        }
        tokio::time::sleep(EXPIRED_CHECK_INTERVAL).await;
    }
}

/// Removes the vanished entries that were kept long enough. A daemon that neither reads nor learns of changes for a while
/// would otherwise go on sending requests to servers that have left.
fn remove_expired_entries(state: &RelayState) {
    let gone = state.expired_entries.lock().confirm_gone(clock::now(), Vec::new(), std::iter::empty());
    log_removed(state, &gone, &[]);
    let before = state.directory.listing();
    let mut listing = Listing::clone(&before);
    for id in &gone {
        listing.servers.remove(id);
    }
    state.freshness.servers_kept(ListState::of(&listing));
    state.directory.adopt(listing);
    servers_changed(state, &before);
}

/// Applies a page to the directory; vanished entries are kept until their absence is conclusive. Returns the change for the
/// other daemons, which decide for themselves what they keep.
fn apply_page(state: &RelayState, known: &Listing, page: HostListPage) -> Option<ServerChange> {
    let now_us = clock::now();
    let mut expired = state.expired_entries.lock();
    expired.read_succeeded(now_us);
    let is_full = matches!(page.change, HostListChange::Full(_));
    let (set, removed, left): (_, Vec<BackendServerId>, Vec<BackendServerId>) = match page.change {
        HostListChange::Full(hosts) if known.version == 0 => {
            state.directory.apply(HostListPage { change: HostListChange::Full(hosts), ..page });
            return None;
        }
        // Ignore an empty list: a store that has lost its contents would take every server out of service at
        // once.
        HostListChange::Full(hosts) if hosts.is_empty() => return None,
        HostListChange::Full(hosts) => {
            let listed: BTreeSet<_> = hosts.iter().map(|host| host.id.clone()).collect();
            let vanished = known.servers.keys().filter(|id| !listed.contains(id)).cloned().collect();
            (hosts, vanished, Vec::new())
        }
        HostListChange::Some { set, remove, left } => (set, remove, left),
    };
    let listed: Vec<BackendServerId> = set.iter().map(|host| host.id.clone()).collect();
    let vanished: Vec<BackendServerId> =
        removed.iter().filter(|id| known.servers.contains_key(id) && !listed.contains(id)).cloned().collect();
    let returned: Vec<BackendServerId> = listed.iter().filter(|id| expired.is_kept(id)).cloned().collect();
    let gone = confirm_gone(&mut expired, now_us, &vanished, &left, listed.iter());
    log_removed(state, &gone, &vanished);
    let withheld: Vec<BackendServerId> = vanished.into_iter().filter(|id| !gone.contains(id)).collect();
    log_kept(state, now_us, &withheld, "own", expired.grace_until_us(now_us));
    let change = HostListChange::Some { set, remove: gone, left: Vec::new() };
    state.directory.apply(HostListPage { version: page.version, change });
    let after = state.directory.listing();
    let change = if is_full {
        ServerChange::between(known, &after).map(|change| change.with_removed(withheld))
    } else {
        ServerChange::of_read(known, &after, page.version, &listed, removed)
            .map(|change| change.with_left(left))
    };
    change.map(|change| change.with_listed(&after, &returned))
}

/// Applies changes that another daemon read, if they continue from the local list; returns whether they
/// changed anything.
pub fn adopt_changes(state: &RelayState, changes: Vec<ServerChange>) -> bool {
    if changes.is_empty() {
        return false;
    }
    let before = state.directory.listing();
    let Some(mut listing) = ServerChange::applied(&changes, &before) else {
        return false;
    };
    keep_expired(state, &changes, &before, &mut listing);
    state.server_changes.append(changes, before.version);
    state.freshness.servers_learned(ListState::of(&listing));
    let is_changed = listing.servers.digest() != before.servers.digest();
    state.directory.adopt(listing);
    if is_changed {
        servers_changed(state, &before);
    }
    true
}

/// The `vanished` servers that are gone, and those kept long enough. One that `left` is never kept: its entry did not
/// expire.
fn confirm_gone<'a, Listed>(
    expired: &mut ExpiredEntries,
    now_us: MonoTime,
    vanished: &[BackendServerId],
    left: &[BackendServerId],
    listed: Listed,
) -> Vec<BackendServerId>
where
    Listed: Iterator<Item = &'a BackendServerId>,
{
    let (left, unstated): (Vec<_>, Vec<_>) = vanished.iter().cloned().partition(|id| left.contains(id));
    let mut gone = expired.confirm_gone(now_us, unstated, listed);
    gone.extend(left);
    gone
}

/// Keeps in `listing` the servers that vanished with `changes` after this daemon's own list was out of date, and removes
/// those that it has kept long enough.
fn keep_expired(state: &RelayState, changes: &[ServerChange], before: &Listing, listing: &mut Listing) {
    let now_us = clock::now();
    let mut expired = state.expired_entries.lock();
    expired.observe_age(now_us, state.freshness.servers_age_us(now_us));
    let vanished: Vec<BackendServerId> = listing.servers.removed_since(&before.servers).cloned().collect();
    let listed = changes.iter().flat_map(ServerChange::listed);
    let left: Vec<BackendServerId> = changes.iter().flat_map(ServerChange::left).cloned().collect();
    let gone = confirm_gone(&mut expired, now_us, &vanished, &left, listed);
    log_removed(state, &gone, &vanished);
    let withheld: Vec<BackendServerId> = vanished.into_iter().filter(|id| !gone.contains(id)).collect();
    log_kept(state, now_us, &withheld, "other", expired.grace_until_us(now_us));
    let kept: Vec<Arc<BackendServer>> =
        withheld.iter().filter_map(|id| before.servers.get(id).cloned()).collect();
    listing.servers.extend(kept);
    for id in &gone {
        listing.servers.remove(id);
    }
}

fn log_kept(
    state: &RelayState,
    now_us: MonoTime,
    servers: &[BackendServerId],
    read_by: &'static str,
    until_us: MonoTime,
) {
    if servers.is_empty() {
        return;
    }
    let list_age_us = state.freshness.servers_age_us(now_us).unwrap_or_default();
    state.log.vanished_servers_kept(&KeptLine {
        servers,
        read_by,
        list_age_ms: list_age_us.to_millis_ceil(),
        for_ms: until_us.since(now_us).to_millis_ceil(),
    });
}

/// Logs which of the servers that are `gone` had vanished before this change.
fn log_removed(state: &RelayState, gone: &[BackendServerId], vanished: &[BackendServerId]) {
    let kept = gone.iter().filter(|id| !vanished.contains(id));
    let kept: Vec<BackendServerId> = kept.cloned().collect();
    if !kept.is_empty() {
        state.log.kept_servers_removed(&kept);
    }
}

/// Updates the schedulers from the server list in the directory.
pub fn servers_changed(state: &RelayState, before: &Listing) {
    let listing = state.directory.listing();
    state.log.servers_changed(listing.version, &before.servers, &listing.servers);
    state.limits.adopt(state, &before.servers, &listing.servers);
    forget_suspensions(state, before, &listing);
    state.plain_schedulers.adopt(&listing);
    state.engine_pools.adopt(&listing);
    state.stream_versions.adopt(&listing);
    state.configure_engines();
    state.configure_server_loads();
    // After the schedulers know all listed servers.
    state.statements.adopt(state, &listing.servers);
    state.servers_adopted.store(true, Ordering::Relaxed);
}

/// Ends the suspensions of addresses at which a server has started.
fn forget_suspensions(state: &RelayState, before: &Listing, listing: &Listing) {
    for listed in listing.servers.values() {
        let known = before.servers.get(&listed.id);
        if known.is_none_or(|known| (known.lifetime, known.address) != (listed.lifetime, listed.address)) {
            state.http.forget_suspension(listed.address);
        }
    }
}
