//! Tracks the age of this daemon's routes and server list and decides when to read them from the store.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::relay::routes::TableVersion;
use hibiscusvale_core::relay::server_list::{Comparison, ListState};
use hibiscusvale_core::relay::store_refresh::{PeerReport, RefreshSchedule, RefreshSettings, reader_rank};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::state::RelayState;
use crate::clock;

/// Minimum interval between two reads of the routes when a read returns early.
const TABLE_PERIOD_MS: Millis = Millis(50);

/// Age at which a daemon reads the routes itself: readers announce theirs once a second, and new routes must
/// be in force within two seconds.
const TABLE_STALE_MS: Millis = Millis(1_600);

/// Age of the routes beyond which an unknown caller key may belong to a newer version: by then the daemon has
/// tried to read them for a second without success.
const TABLE_UNCONFIRMED_MS: Millis = Millis(2_600);

/// How long a daemon leaves shared duties to others after a failed call to the store; it then tries again,
/// since it has no other way to detect recovery.
const STORE_BACKOFF_MS: Millis = Millis(5_000);

/// Read rank of a daemon that does not read on behalf of others.
const LOWEST_RANK: usize = 16;

/// Maximum time between checks of what is due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Versions and ages of a daemon's routes and server list, as sent in messages.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Stamp {
    /// Version of its routes; zero while it has none.
    table: u64,
    /// Age of its last own read of the routes; `None` if there was none.
    table_age_us: Option<Micros>,
    /// Its server list.
    pub servers: ListState,
    /// Age of its last own read of the server list; `None` if there was none.
    servers_age_us: Option<Micros>,
}

/// A stamp as received.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedStamp {
    /// The stamp.
    pub stamp: Stamp,
    /// How its server list compares with this daemon's.
    pub servers: Comparison,
    /// Address of its sender.
    pub from: SocketAddr,
}

/// Age from which the server list is reported as old: by then a leaving server may not be known.
const LIST_OLD_MS: Millis = Millis(2_000);

/// What has changed about the age of the server list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListAgeChange {
    /// It is old.
    Old,
    /// It is current again, after this time.
    Current(Micros),
}

/// Age of this daemon's routes and server list.
#[derive(Debug)]
pub struct Freshness {
    readings: Mutex<Readings>,
    table_due: Notify,
    servers_due: Notify,
}

/// Failed reads of one feed, until one succeeds.
#[derive(Clone, Copy, Debug)]
struct Loss {
    since_us: MonoTime,
    /// Whether another daemon has confirmed the copy since then.
    is_made_up: bool,
}

#[derive(Debug)]
struct Readings {
    table: RefreshSchedule,
    servers: RefreshSchedule,
    table_loss: Option<Loss>,
    servers_loss: Option<Loss>,
    /// Since when the server list has been old.
    old_since_us: Option<MonoTime>,
    /// When a call to the store last failed; `None` once a call has succeeded again.
    store_failed_us: Option<MonoTime>,
    /// The daemons that last announced newer routes and newer servers.
    table_announcer: Option<(TableVersion, SocketAddr)>,
    servers_announcer: Option<(u64, SocketAddr)>,
}

impl Readings {
    /// Time of the next read, or of the next request to a daemon that has announced a newer version.
    fn next_us(&mut self, feed: Feed, place: usize) -> MonoTime {
        let is_announced = match feed {
            Feed::Table => self.table_announcer.is_some(),
            Feed::Servers => self.servers_announcer.is_some(),
        };
        let reading = reading(self, feed);
        let read_us = reading.next_read_us(place);
        if is_announced { read_us.min(reading.next_peer_query_us()) } else { read_us }
    }

    /// Evaluates how another daemon's server list, which it read `age_us` ago, compares with this one. Returns whether this
    /// daemon has to catch up.
    fn servers_compared(&mut self, now_us: MonoTime, servers: Comparison, age_us: Option<Micros>) -> bool {
        let newer = PeerReport { is_same: false, age_us: Micros(0) };
        match servers {
            Comparison::Same => age_us.is_some_and(|age_us| {
                self.servers.peer_reported(now_us, PeerReport { is_same: true, age_us })
            }),
            // One read for each difference: lists that go on differing would cause one after each message.
            Comparison::Newer | Comparison::Differs { is_new: true } => {
                self.servers.peer_reported(now_us, newer)
            }
            Comparison::Differs { is_new: false } | Comparison::Unknown => false,
        }
    }
}

impl Default for Freshness {
    fn default() -> Self {
        let settings = RefreshSettings::default();
        // A read of the routes is a long poll, and new routes are announced at once.
        let table_settings =
            RefreshSettings { period_ms: TABLE_PERIOD_MS, stale_ms: TABLE_STALE_MS, ..settings };
        let table = RefreshSchedule::new(table_settings);
        let servers = RefreshSchedule::new(settings);
        let readings = Readings {
            table,
            servers,
            table_loss: None,
            servers_loss: None,
            old_since_us: None,
            store_failed_us: None,
            table_announcer: None,
            servers_announcer: None,
        };
        Self { readings: Mutex::new(readings), table_due: Notify::new(), servers_due: Notify::new() }
    }
}

impl Freshness {
    /// Delays the first reads until `until_us`: other daemons announce what they read.
    pub fn delay_first_reads(&self, until_us: MonoTime) {
        let mut readings = self.readings.lock();
        readings.table.defer_first_read(until_us);
        readings.servers.defer_first_read(until_us);
    }

    /// The stamp for the next message, given the version of the route table in force and the server list.
    pub fn stamp(&self, now_us: MonoTime, table: TableVersion, servers: ListState) -> Stamp {
        let readings = self.readings.lock();
        Stamp {
            table: table.0,
            table_age_us: readings.table.read_age_us(now_us),
            servers,
            servers_age_us: readings.servers.read_age_us(now_us),
        }
    }

    /// Records a successful own read of the routes, current as of `as_of_us`.
    pub fn table_read(&self, as_of_us: MonoTime) {
        let mut readings = self.readings.lock();
        readings.table.read_succeeded(as_of_us);
        readings.table_loss = None;
        readings.store_failed_us = None;
    }

    /// Records a successful own read of the server list.
    pub fn servers_read(&self, begun_us: MonoTime) {
        let mut readings = self.readings.lock();
        readings.servers.read_succeeded(begun_us);
        readings.servers_loss = None;
        readings.store_failed_us = None;
    }

    /// Records a failed read.
    pub fn failed(&self, now_us: MonoTime, feed: Feed) {
        let mut readings = self.readings.lock();
        reading(&mut readings, feed).read_failed();
        let loss = match feed {
            Feed::Table => &mut readings.table_loss,
            Feed::Servers => &mut readings.servers_loss,
        };
        loss.get_or_insert(Loss { since_us: now_us, is_made_up: false });
        readings.store_failed_us = Some(now_us);
    }

    /// Whether other daemons have made up for failed reads of this feed since the last call.
    pub fn take_made_up(&self, feed: Feed) -> bool {
        let mut readings = self.readings.lock();
        let Readings { table, servers, table_loss, servers_loss, .. } = &mut *readings;
        let (schedule, loss) = match feed {
            Feed::Table => (table, table_loss),
            Feed::Servers => (servers, servers_loss),
        };
        let Some(loss) = loss.as_mut().filter(|loss| !loss.is_made_up) else {
            return false;
        };
        loss.is_made_up = schedule.is_confirmed_since(loss.since_us);
        loss.is_made_up
    }

    /// Records a failed call to the store.
    pub fn store_failed(&self, now_us: MonoTime) {
        self.readings.lock().store_failed_us = Some(now_us);
    }

    /// Whether this daemon can perform shared duties that need the store (reading and giving orders), as far
    /// as it knows. The store may reject one daemon and answer the others; if that daemon kept the duty, a
    /// wrong role split would stay wrong for as long as the rejection lasts, 29 s in an incident.
    pub fn reaches_store(&self, now_us: MonoTime) -> bool {
        self.readings
            .lock()
            .store_failed_us
            .is_none_or(|store_failed_us| now_us >= store_failed_us + STORE_BACKOFF_MS)
    }

    /// Whether the last read of the server list has succeeded.
    pub fn reads_servers(&self) -> bool {
        self.readings.lock().servers_loss.is_none()
    }

    /// Records that changes from another daemon have brought the list to a newer version.
    pub fn servers_learned(&self) {
        self.readings.lock().servers.caught_up();
    }

    /// The newer routes that were announced last, relative to version `known` in force.
    pub fn newer_table(&self, known: TableVersion) -> NewerTable {
        match self.readings.lock().table_announcer.take() {
            Some((version, _)) if version <= known => NewerTable::InForce,
            Some((_, announcer)) => NewerTable::At(announcer),
            None => NewerTable::Unannounced,
        }
    }

    /// The daemon that last announced a list newer than version `known`.
    pub fn newer_servers(&self, known: u64) -> Option<SocketAddr> {
        let (version, announcer) = self.readings.lock().servers_announcer.take()?;
        (version > known).then_some(announcer)
    }

    /// Records that routes from another daemon came into force.
    pub fn table_learned(&self) {
        self.readings.lock().table.caught_up();
    }

    /// The daemon that last announced newer routes or servers.
    pub fn announcer(&self) -> Option<SocketAddr> {
        let mut readings = self.readings.lock();
        let servers = readings.servers_announcer.take().map(|(_, announcer)| announcer);
        readings.table_announcer.take().map(|(_, announcer)| announcer).or(servers)
    }

    /// Whether newer routes than those in force may exist: another daemon has announced some, or nobody has
    /// confirmed these for longer than it takes to put new ones in force.
    pub fn table_may_be_stale(&self, now_us: MonoTime) -> bool {
        let readings = self.readings.lock();
        readings.table.is_behind()
            || readings.table.age_us(now_us).is_none_or(|age_us| age_us > Micros::from(TABLE_UNCONFIRMED_MS))
    }

    /// Age of the server list; `None` while there is none.
    pub fn servers_age_us(&self, now_us: MonoTime) -> Option<Micros> {
        self.readings.lock().servers.age_us(now_us)
    }

    /// Whether the server list has become old, or current again, since the last call.
    pub fn take_list_age_change(&self, now_us: MonoTime) -> Option<ListAgeChange> {
        let mut readings = self.readings.lock();
        let is_old = readings.servers.age_us(now_us)? >= Micros::from(LIST_OLD_MS);
        match (is_old, readings.old_since_us) {
            (true, None) => {
                readings.old_since_us = Some(now_us);
                Some(ListAgeChange::Old)
            }
            (false, Some(since_us)) => {
                readings.old_since_us = None;
                Some(ListAgeChange::Current(now_us.since(since_us)))
            }
            (true, Some(_)) | (false, None) => None,
        }
    }

    /// Records that the server list has all that another daemon's list of age `age_us` had at `as_of_us`. Returns whether
    /// that is younger than was known.
    pub fn servers_transferred(&self, as_of_us: MonoTime, age_us: Micros) -> bool {
        let mut readings = self.readings.lock();
        let is_younger = readings.servers.is_older_than(as_of_us, age_us);
        readings.servers.adopted_from_peer(as_of_us, age_us);
        is_younger
    }

    /// Evaluates the stamp of another daemon's message.
    pub fn receive_stamp(&self, now_us: MonoTime, table: TableVersion, received: ReceivedStamp) {
        let ReceivedStamp { stamp, servers, from } = received;
        let mut readings = self.readings.lock();
        if stamp.table > table.0 {
            readings.table.peer_reported(now_us, PeerReport { is_same: false, age_us: Micros(0) });
            readings.table_announcer = Some((TableVersion(stamp.table), from));
            self.table_due.notify_one();
        } else if stamp.table == table.0
            && let Some(age_us) = stamp.table_age_us
        {
            readings.table.peer_reported(now_us, PeerReport { is_same: true, age_us });
        }
        if readings.servers_compared(now_us, servers, stamp.servers_age_us) {
            readings.servers_announcer = Some((stamp.servers.version, from));
            self.servers_due.notify_one();
        }
    }
}

/// Whether newer routes were announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewerTable {
    /// The daemon at this address has them.
    At(SocketAddr),
    /// They have come into force since the announcement.
    InForce,
    /// No daemon has announced newer routes.
    Unannounced,
}

/// The two feeds that are read from the store.
#[derive(Clone, Copy, Debug)]
pub enum Feed {
    /// The route table.
    Table,
    /// The server list.
    Servers,
}

fn reading(readings: &mut Readings, feed: Feed) -> &mut RefreshSchedule {
    match feed {
        Feed::Table => &mut readings.table,
        Feed::Servers => &mut readings.servers,
    }
}

/// Waits until a read is due and returns the time at which it began.
pub async fn wait_until_due(state: &RelayState, own: &HostId, feed: Feed) -> MonoTime {
    loop {
        let live = state.peers.hosts_reaching_store();
        let reaches_store = state.freshness.reaches_store(clock::now());
        // A daemon that cannot read, or does not know the others, ranks after all others.
        let may_read = reaches_store && state.peers.is_register_read();
        let place = if may_read { reader_rank(own, live.iter()) } else { live.len().max(LOWEST_RANK) };
        let next_us = state.freshness.readings.lock().next_us(feed, place);
        let now_us = clock::now();
        if now_us >= next_us {
            reading(&mut state.freshness.readings.lock(), feed).read_started(now_us);
            return now_us;
        }
        let notify = match feed {
            Feed::Table => &state.freshness.table_due,
            Feed::Servers => &state.freshness.servers_due,
        };
        let wait = Duration::from(next_us.since(now_us)).min(POLL_INTERVAL);
        // A notification and the timeout both lead to a new check.
        let _ = tokio::time::timeout(wait, notify.notified()).await;
    }
}
