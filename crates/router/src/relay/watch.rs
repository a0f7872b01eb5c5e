//! Follows the routes and the servers, and knows how old its knowledge is.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hibiscusvale_core::ids::{BackendServerId, HostId};
use hibiscusvale_core::relay::lapses::Lapses;
use hibiscusvale_core::relay::reading::{Reading, ReadingSettings, Told, is_reader};
use hibiscusvale_core::relay::routes::{RouteTable, TableVersion};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::edge::TableSource;
use super::handover;
use super::state::RelayState;
use crate::clock;
use crate::directory::Listing;
use crate::external::{HostList, HostListChange, HostListPage};

/// How long the source of routes may hold its answer back when there is no news: a reader's call then serves for a
/// second, and a connection that went silent is noticed by the end of it.
const TABLE_WAIT_MS: Millis = Millis(1_000);

/// Least pause between two reads of the routes, where one ends early.
const TABLE_PERIOD_MS: Millis = Millis(50);

/// Age at which a daemon reads the routes itself: a reader's word comes once a second, and routes have two seconds to be
/// in force.
const TABLE_STALE_MS: Millis = Millis(1_600);

/// The list of servers is never without news for long, and is read at intervals: nothing is held back.
const LIST_WAIT_MS: Millis = Millis(0);

/// The longest sleep between looks at what is due.
const LOOK: Duration = Duration::from_millis(250);

/// What a daemon says of its knowledge.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Stamp {
    /// Version of its routes, and their age.
    table: Option<(u64, Micros)>,
    /// What its servers come to, and their age.
    servers: Option<(u64, Micros)>,
}

/// How old this daemon's knowledge is.
#[derive(Debug)]
pub struct Freshness {
    readings: Mutex<Readings>,
    table_due: Notify,
    servers_due: Notify,
}

#[derive(Debug)]
struct Readings {
    table: Reading,
    servers: Reading,
    servers_digest: u64,
    /// Who told last of newer routes, and of newer servers.
    table_teller: Option<SocketAddr>,
    servers_teller: Option<SocketAddr>,
}

impl Default for Freshness {
    fn default() -> Self {
        let settings = ReadingSettings::default();
        // A read of the routes waits for news by itself, and news are told at once.
        let table_settings =
            ReadingSettings { period_ms: TABLE_PERIOD_MS, stale_ms: TABLE_STALE_MS, ..settings };
        let table = Reading::new(table_settings);
        let servers = Reading::new(settings);
        let readings =
            Readings { table, servers, servers_digest: 0, table_teller: None, servers_teller: None };
        Self { readings: Mutex::new(readings), table_due: Notify::new(), servers_due: Notify::new() }
    }
}

impl Freshness {
    /// What to say of this daemon's knowledge.
    pub fn stamp(&self, now_us: MonoTime, table: TableVersion) -> Stamp {
        let readings = self.readings.lock();
        Stamp {
            table: readings.table.read_age_us(now_us).map(|age_us| (table.0, age_us)),
            servers: readings.servers.read_age_us(now_us).map(|age_us| (readings.servers_digest, age_us)),
        }
    }

    /// Whoever told last of something newer than what is known here.
    fn teller(&self) -> Option<SocketAddr> {
        let mut readings = self.readings.lock();
        let servers = readings.servers_teller.take();
        readings.table_teller.take().or(servers)
    }

    /// Age of the servers that are known.
    pub fn servers_age_us(&self, now_us: MonoTime) -> Option<Micros> {
        self.readings.lock().servers.age_us(now_us)
    }

    /// Takes servers that another daemon knew `age_us` before `now_us`, and what they come to; false when they are no
    /// newer than those that are known.
    pub fn handed_servers(&self, now_us: MonoTime, age_us: Micros, digest: u64) -> bool {
        let mut readings = self.readings.lock();
        if !readings.servers.is_older(now_us, age_us) {
            return false;
        }
        readings.servers.handed(now_us, age_us);
        readings.servers_digest = digest;
        true
    }

    /// Takes what another daemon says of its knowledge.
    pub fn heard(&self, now_us: MonoTime, table: TableVersion, stamp: Stamp, from: SocketAddr) {
        let mut readings = self.readings.lock();
        let digest = readings.servers_digest;
        if let Some((version, age_us)) = stamp.table
            && version >= table.0
            && readings.table.heard(now_us, told_of_table(version, table, age_us))
        {
            readings.table_teller = Some(from);
            self.table_due.notify_one();
        }
        if let Some((told, age_us)) = stamp.servers
            && readings.servers.heard(now_us, Told { is_same: told == digest, age_us })
        {
            readings.servers_teller = Some(from);
            self.servers_due.notify_one();
        }
    }
}

/// Versions tell by themselves which routes are newer: those that were handed on say nothing of their age.
fn told_of_table(version: u64, known: TableVersion, age_us: Micros) -> Told {
    let is_same = version == known.0;
    Told { is_same, age_us: if is_same { age_us } else { Micros(0) } }
}

/// Which of the two things that are followed.
#[derive(Clone, Copy)]
enum Followed {
    Table,
    Servers,
}

fn reading(readings: &mut Readings, followed: Followed) -> &mut Reading {
    match followed {
        Followed::Table => &mut readings.table,
        Followed::Servers => &mut readings.servers,
    }
}

/// Waits until a read is due and returns when it began.
async fn due(state: &RelayState, own: &HostId, followed: Followed) -> MonoTime {
    loop {
        let live = state.peers.live_hosts();
        let is_reader = is_reader(&ReadingSettings::default(), own, live.iter());
        let next_us = reading(&mut state.freshness.readings.lock(), followed).next_us(is_reader);
        let now_us = clock::now();
        if now_us >= next_us {
            reading(&mut state.freshness.readings.lock(), followed).begin(now_us);
            return now_us;
        }
        let notify = match followed {
            Followed::Table => &state.freshness.table_due,
            Followed::Servers => &state.freshness.servers_due,
        };
        let wait = Duration::from(next_us.since(now_us)).min(LOOK);
        // Told of something newer, or time to look again: both lead back to the question.
        let _ = tokio::time::timeout(wait, notify.notified()).await;
    }
}

/// Keeps the newest routes in force for as long as the daemon runs. While the source is away the last ones stay.
pub async fn follow_table(source: Arc<dyn TableSource>, own: HostId, state: Arc<RelayState>) {
    let mut link = Link::new("routes lost", "routes regained");
    loop {
        let begun_us = due(&state, &own, Followed::Table).await;
        match source.next(TABLE_WAIT_MS).await {
            Ok(table) => {
                link.regained(&state);
                // Without news the source has waited, and knows of none up to the end of that.
                let as_of_us = if table.is_some() { begun_us } else { begun_us + TABLE_WAIT_MS };
                if let Some(table) = table {
                    adopt_table(&state, table);
                }
                state.freshness.readings.lock().table.done(as_of_us);
                state.peers.touch();
            }
            Err(failure) => {
                link.lost(&state, &failure);
                state.freshness.readings.lock().table.failed();
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
    state.table.store(Arc::new(table));
    true
}

/// Keeps the list of servers for as long as the daemon runs.
pub async fn follow_servers(list: Arc<dyn HostList>, own: HostId, state: Arc<RelayState>) {
    let mut link = Link::new("servers lost", "servers regained");
    let mut lapses = Lapses::default();
    loop {
        let begun_us = due(&state, &own, Followed::Servers).await;
        match list.read(state.directory.listing().version, LIST_WAIT_MS).await {
            Ok(page) => {
                link.regained(&state);
                lapses.read(clock::now());
                take(&state, &mut lapses, page);
                let digest = digest(&state.directory.listing());
                let is_news = {
                    let mut readings = state.freshness.readings.lock();
                    readings.servers.done(begun_us);
                    std::mem::replace(&mut readings.servers_digest, digest) != digest
                };
                if is_news {
                    adopt_servers(&state);
                }
                state.peers.touch();
            }
            Err(failure) => {
                lapses.lost();
                link.lost(&state, &failure);
                state.freshness.readings.lock().servers.failed();
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

/// Tells the schedulers of the servers that the directory has now.
pub fn adopt_servers(state: &RelayState) {
    let listing = state.directory.listing();
    state.plain_hub.adopt(&listing);
    state.engine_hub.adopt(&listing);
    state.engine_hub.configure(&state.table.load());
    state.servers_adopted.store(true, Ordering::Relaxed);
}

/// What the servers come to: the same for the same servers, whatever was read when.
pub fn digest(listing: &Listing) -> u64 {
    let mut servers: Vec<(&BackendServerId, String)> =
        listing.servers.iter().map(|(id, server)| (id, format!("{server:?}"))).collect();
    servers.sort_unstable();
    let mut hasher = DefaultHasher::new();
    servers.hash(&mut hasher);
    hasher.finish()
}

/// Tells once that a dependency was lost, and once that it is back.
struct Link {
    is_lost: bool,
    lost: &'static str,
    regained: &'static str,
}

impl Link {
    fn new(lost: &'static str, regained: &'static str) -> Self {
        Self { is_lost: false, lost, regained }
    }

    fn lost(&mut self, state: &RelayState, failure: &dyn Display) {
        if !std::mem::replace(&mut self.is_lost, true) {
            state.log.changed(self.lost, failure);
        }
    }

    fn regained(&mut self, state: &RelayState) {
        if std::mem::take(&mut self.is_lost) {
            state.log.changed(self.regained, &"");
        }
    }
}
