//! Keeps the server list up to date: reads it, adopts what other daemons send, and puts the result in force.
//!
//! Decisions are made in [`hibiscusvale_core::relay::server_list`].

use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hibiscusvale_core::ids::{BackendServerId, HostId};
use hibiscusvale_core::relay::recipients::BroadcastScope;
use hibiscusvale_core::relay::server_list::{ListRead, ListSnapshot, ServerChange, ServerList, Update};
use hibiscusvale_core::units::{Micros, MonoTime};
use parking_lot::MutexGuard;

use super::dependency::Dependency;
use super::freshness::{Feed, ListAgeChange, wait_until_due};
use super::interfaces::ServerSource;
use super::pacing::Urgency;
use super::state::RelayState;
use super::{state_transfer, watch};
use crate::clock;
use crate::directory::Listing;
use crate::logging::KeptLine;

/// Where an update of the list comes from.
#[derive(Clone, Copy)]
enum Origin<'a> {
    /// This daemon has read it, or its time is over.
    OwnRead,
    /// Another daemon, by its host or address.
    Daemon(&'a dyn Display),
}

impl Origin<'_> {
    /// Label in logs.
    fn label(self) -> &'static str {
        match self {
            Self::OwnRead => "own",
            Self::Daemon(_) => "other",
        }
    }
}

impl Display for Origin<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OwnRead => f.write_str("own"),
            Self::Daemon(daemon) => daemon.fmt(f),
        }
    }
}

/// Keeps the server list up to date for as long as the daemon runs.
pub async fn follow_servers(source: Arc<dyn ServerSource>, own: HostId, state: Arc<RelayState>) {
    let mut dependency = Dependency::new("servers lost", "servers regained");
    watch::delay_first_reads(&state).await;
    loop {
        let begun_us = tokio::select! {
            begun_us = wait_until_due(&state, &own, Feed::Servers) => begun_us,
            () = wait_for_expired_entry(&state) => {
                release_expired(&state);
                continue;
            }
        };
        let known = state.server_list.lock().version();
        if let Some(announcer) = state.freshness.newer_servers(known)
            && (state_transfer::fetch_server_changes(&state, announcer).await
                || state.peers.reach() == BroadcastScope::DataCentre)
        {
            continue;
        }
        let after = begin_read(&state);
        match source.read(after).await {
            Ok(read) => {
                dependency.report_success(&state);
                adopt_read(&state, begun_us, read);
                state.peers.schedule_message(Urgency::Soon);
                if known == 0 {
                    tokio::spawn(state_transfer::learn_statements(Arc::clone(&state)));
                }
            }
            Err(failure) => {
                state.server_list.lock().read_failed();
                dependency.report_failure(&state, &failure);
                state.freshness.failed(clock::now(), Feed::Servers);
                watch::catch_up(&state).await;
            }
        }
    }
}

/// Begins a read; returns the version after which records are to be read, zero for the whole list.
fn begin_read(state: &RelayState) -> u64 {
    let mut list = state.server_list.lock();
    let after = list.begin_read();
    if list.is_whole_read_due() { 0 } else { after }
}

fn adopt_read(state: &RelayState, begun_us: MonoTime, read: ListRead) {
    let mut list = state.server_list.lock();
    if read.version < list.version() {
        state.log.server_list_read_late(read.version, list.version());
    }
    let now_us = clock::now();
    list.observe_age(now_us, state.freshness.servers_age_us(now_us));
    let update = list.apply_read(now_us, read);
    state.freshness.servers_read(begun_us);
    if let Some(change) = &update.read {
        state.log.server_list_read(change);
    }
    put_in_force(state, list, &update, Origin::OwnRead);
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
                state.log.state_changed("server list old, version", &state.server_list.lock().version());
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
            let mut list = state.server_list.lock();
            list.observe_age(now_us, age_us);
            list.expired().next_due_us(now_us)
        };
        if next_due_us.is_some_and(|due_us| due_us <= now_us) {
            return;
        }
        tokio::time::sleep(EXPIRED_CHECK_INTERVAL).await;
    }
}

/// Takes the vanished servers out of use that were kept long enough. A daemon that neither reads nor learns of changes for a
/// while would otherwise go on sending requests to servers that have left.
fn release_expired(state: &RelayState) {
    let mut list = state.server_list.lock();
    let update = list.release_expired(clock::now());
    put_in_force(state, list, &update, Origin::OwnRead);
}

/// Adopts changes that the daemon `from`, a host or an address, has sent; returns whether they brought anything new.
pub fn adopt_changes(state: &RelayState, changes: Vec<ServerChange>, from: &dyn Display) -> bool {
    if changes.is_empty() {
        return false;
    }
    let now_us = clock::now();
    let age_us = state.freshness.servers_age_us(now_us);
    let mut list = state.server_list.lock();
    list.observe_age(now_us, age_us);
    let update = list.apply_changes(now_us, changes);
    if update.is_newer {
        state.freshness.servers_learned();
    }
    if let Some(change) = &update.missed {
        state.log.server_change_missed(list.version(), change, from);
    }
    put_in_force(state, list, &update, Origin::Daemon(from));
    update.is_newer || update.is_changed
}

/// Adopts the list that the daemon at `from` had `age_us` before `as_of_us`; returns whether it is newer, or the same and
/// younger.
pub fn adopt_snapshot(
    state: &RelayState,
    as_of_us: MonoTime,
    age_us: Option<Micros>,
    snapshot: ListSnapshot,
    from: SocketAddr,
) -> bool {
    let mut list = state.server_list.lock();
    let sent = snapshot.state();
    let update = list.apply_snapshot(clock::now(), snapshot);
    let is_same = sent.digest.is_some() && sent == list.state();
    let age_us = age_us.unwrap_or(Micros(u64::MAX));
    let is_younger = (update.is_newer || is_same) && state.freshness.servers_transferred(as_of_us, age_us);
    put_in_force(state, list, &update, Origin::Daemon(&from));
    update.is_newer || is_younger
}

/// Puts the servers in use in force after an update, and logs what it has kept and released.
fn put_in_force(state: &RelayState, list: MutexGuard<'_, ServerList>, update: &Update, origin: Origin<'_>) {
    let now_us = clock::now();
    state.log.server_records_outdated(&update.outdated, &origin);
    log_kept(state, now_us, &update.kept, origin, list.expired().grace_until_us(now_us));
    if !update.released.is_empty() {
        state.log.kept_servers_removed(&update.released);
    }
    if !(update.is_newer || update.is_changed) {
        return;
    }
    let before = state.directory.listing();
    let listing = Listing { version: list.version(), servers: list.in_use().clone(), ..Listing::default() };
    state.directory.adopt(listing);
    drop(list);
    if update.is_changed {
        servers_changed(state, &before, origin);
    }
}

fn log_kept(
    state: &RelayState,
    now_us: MonoTime,
    servers: &[BackendServerId],
    origin: Origin<'_>,
    until_us: MonoTime,
) {
    if servers.is_empty() {
        return;
    }
    let list_age_us = state.freshness.servers_age_us(now_us).unwrap_or_default();
    state.log.vanished_servers_kept(&KeptLine {
        servers,
        read_by: origin.label(),
        list_age_ms: list_age_us.to_millis_ceil(),
        for_ms: until_us.since(now_us).to_millis_ceil(),
    });
}

/// Updates the schedulers from the server list in the directory.
fn servers_changed(state: &RelayState, before: &Listing, origin: Origin<'_>) {
    let listing = state.directory.listing();
    state.log.servers_changed(listing.version, &before.servers, &listing.servers, &origin);
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
