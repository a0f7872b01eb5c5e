//! How old this daemon's knowledge of routes and servers is, and when it reads.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::relay::reading::{Reading, ReadingSettings, Told, place};
use hibiscusvale_core::relay::routes::TableVersion;
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::state::RelayState;
use crate::clock;
use crate::directory::Listing;

/// Least pause between two reads of the routes, where one ends early.
const TABLE_PERIOD_MS: Millis = Millis(50);

/// Age at which a daemon reads the routes itself: a reader's word comes once a second, and routes have two seconds to be
/// in force.
const TABLE_STALE_MS: Millis = Millis(1_600);

/// Age of the routes beyond which a key that they do not hold may be one of a newer version: the daemon has tried to read
/// them for a second without success.
const TABLE_DOUBTED_MS: Millis = Millis(2_600);

/// How long a daemon leaves duties to others after the store failed it; then it tries again, for it cannot hear that it
/// would be answered.
const STEP_ASIDE_MS: Millis = Millis(5_000);

/// Place of a daemon that does not read for others.
const LAST_PLACE: usize = 16;

/// The longest sleep between looks at what is due.
const LOOK: Duration = Duration::from_millis(250);

/// What a daemon says of its knowledge.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Stamp {
    /// Version of its routes; zero before it knows any.
    table: u64,
    /// Age of its own last read of the routes, if there was any.
    table_age_us: Option<Micros>,
    /// Its servers.
    servers: ListState,
    /// Age of its own last read of the servers, if there was any.
    servers_age_us: Option<Micros>,
}

impl Stamp {
    /// Version of its list of servers; zero before it knows any.
    pub fn list_version(&self) -> u64 {
        self.servers.version
    }
}

/// What a daemon knows of the list of servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ListState {
    /// Version of the list.
    version: u64,
    /// What the servers come to that it uses. Daemons that read the same version may differ for a while: each keeps what
    /// vanished from the list until that proves something.
    digest: u64,
}

impl ListState {
    /// Of a listing.
    pub fn of(listing: &Listing) -> Self {
        Self { version: listing.version, digest: listing.servers.digest() }
    }
}

/// How long a daemon uses other servers than one that knows the same version before it looks again.
const DIFFERS_MS: Millis = Millis(3_000);

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
    list: ListState,
    /// Since when another daemon makes something else of the same version.
    differs_since_us: Option<MonoTime>,
    /// When the store last failed this daemon, until it answers again.
    failed_us: Option<MonoTime>,
    /// Who told last of newer routes, and of newer servers.
    table_teller: Option<(TableVersion, SocketAddr)>,
    servers_teller: Option<(u64, SocketAddr)>,
}

impl Readings {
    /// When a read is due, or a question to a daemon that has announced something newer.
    fn next_us(&mut self, followed: Followed, place: usize) -> MonoTime {
        let is_told = match followed {
            Followed::Table => self.table_teller.is_some(),
            Followed::Servers => self.servers_teller.is_some(),
        };
        let reading = reading(self, followed);
        let read_us = reading.next_us(place);
        if is_told { read_us.min(reading.next_ask_us()) } else { read_us }
    }

    /// Compares another daemon's list with the own one; returns whether this daemon has to catch up. A later version is
    /// news whatever its age unless it lists the same servers: entries are renewed all the time.
    ///
    /// Load: a partition heals, and servers that had vanished from the list come back one by one, while daemons differ in
    /// which of them they keep. Harm prevented: if each difference caused a read, every read would be newer than what the
    /// others know and cause theirs in turn. So a version that is known here causes none.
    fn compare_servers(&mut self, now_us: MonoTime, told: ListState, age_us: Option<Micros>) -> bool {
        if told.version > self.list.version && told.digest != self.list.digest {
            return self.servers.heard(now_us, Told { is_same: false, age_us: Micros(0) });
        }
        let Some(age_us) = age_us.filter(|_| told.version > 0) else {
            return false;
        };
        if told.version == self.list.version && told.digest != self.list.digest {
            let since_us = *self.differs_since_us.get_or_insert(now_us);
            let is_lasting = now_us >= since_us + DIFFERS_MS;
            return self.servers.heard(now_us, Told { is_same: !is_lasting, age_us });
        }
        self.servers.heard(now_us, Told { is_same: true, age_us })
    }
}

impl Default for Freshness {
    fn default() -> Self {
        let settings = ReadingSettings::default();
        // A read of the routes waits for news by itself, and news are told at once.
        let table_settings =
            ReadingSettings { period_ms: TABLE_PERIOD_MS, stale_ms: TABLE_STALE_MS, ..settings };
        let table = Reading::new(table_settings);
        let servers = Reading::new(settings);
        let readings = Readings {
            table,
            servers,
            list: ListState::default(),
            differs_since_us: None,
            failed_us: None,
            table_teller: None,
            servers_teller: None,
        };
        Self { readings: Mutex::new(readings), table_due: Notify::new(), servers_due: Notify::new() }
    }
}

impl Freshness {
    /// Leaves the first reads to others until then: they hand on what they read.
    pub fn leave_first_reads(&self, until_us: MonoTime) {
        let mut readings = self.readings.lock();
        readings.table.leave_first_read(until_us);
        readings.servers.leave_first_read(until_us);
    }

    /// What to say of this daemon's knowledge.
    pub fn stamp(&self, now_us: MonoTime, table: TableVersion) -> Stamp {
        let readings = self.readings.lock();
        Stamp {
            table: table.0,
            table_age_us: readings.table.read_age_us(now_us),
            servers: readings.list,
            servers_age_us: readings.servers.read_age_us(now_us),
        }
    }

    /// The daemon's own read of the routes came through, as of `as_of_us`.
    pub fn table_read(&self, as_of_us: MonoTime) {
        let mut readings = self.readings.lock();
        readings.table.done(as_of_us);
        readings.failed_us = None;
    }

    /// The daemon's own read of the servers came through. Returns whether it brought other servers.
    pub fn servers_read(&self, begun_us: MonoTime, list: ListState) -> bool {
        let mut readings = self.readings.lock();
        readings.servers.done(begun_us);
        readings.failed_us = None;
        readings.differs_since_us = None;
        std::mem::replace(&mut readings.list, list).digest != list.digest
    }

    /// A read did not come through.
    pub fn failed(&self, now_us: MonoTime, followed: Followed) {
        reading(&mut self.readings.lock(), followed).failed();
        self.store_failed(now_us);
    }

    /// The store did not answer this daemon.
    pub fn store_failed(&self, now_us: MonoTime) {
        self.readings.lock().failed_us = Some(now_us);
    }

    /// Whether this daemon can do for all what needs the store, as far as it knows: read, and give orders. The store may
    /// turn one daemon away and answer the others; one that kept its turn then would have the split stay wrong for as
    /// long as that lasts, 29 s in an incident.
    pub fn reaches_store(&self, now_us: MonoTime) -> bool {
        self.readings.lock().failed_us.is_none_or(|failed_us| now_us >= failed_us + STEP_ASIDE_MS)
    }

    /// Changes of another daemon have brought the list to this state.
    pub fn servers_learned(&self, list: ListState) {
        let mut readings = self.readings.lock();
        readings.list = list;
        readings.servers.caught_up();
    }

    /// The newer routes that were announced last, when version `known` is in force here.
    pub fn newer_table(&self, known: TableVersion) -> NewerTable {
        match self.readings.lock().table_teller.take() {
            Some((version, _)) if version <= known => NewerTable::InForce,
            Some((_, teller)) => NewerTable::At(teller),
            None => NewerTable::Unannounced,
        }
    }

    /// The daemon that last announced a list newer than version `known`.
    pub fn newer_servers(&self, known: u64) -> Option<SocketAddr> {
        let (version, teller) = self.readings.lock().servers_teller.take()?;
        (version > known).then_some(teller)
    }

    /// Routes of another daemon have come into force.
    pub fn table_learned(&self) {
        self.readings.lock().table.caught_up();
    }

    /// Whoever told last of something newer than what is known here.
    pub fn teller(&self) -> Option<SocketAddr> {
        let mut readings = self.readings.lock();
        let servers = readings.servers_teller.take().map(|(_, teller)| teller);
        readings.table_teller.take().map(|(_, teller)| teller).or(servers)
    }

    /// Whether there may be newer routes than those that are known here: another daemon has some, or nobody has
    /// confirmed these for longer than it takes to put new ones in force.
    pub fn table_may_be_old(&self, now_us: MonoTime) -> bool {
        let readings = self.readings.lock();
        readings.table.is_behind()
            || readings.table.age_us(now_us).is_none_or(|age_us| age_us > Micros::from(TABLE_DOUBTED_MS))
    }

    /// Age of the servers that are known.
    pub fn servers_age_us(&self, now_us: MonoTime) -> Option<Micros> {
        self.readings.lock().servers.age_us(now_us)
    }

    /// Takes servers that another daemon knew `age_us` before `now_us`; false when they are no newer than those that are
    /// known.
    pub fn handed_servers(&self, now_us: MonoTime, age_us: Micros, list: ListState) -> bool {
        let mut readings = self.readings.lock();
        if list.version <= readings.list.version && !readings.servers.is_older(now_us, age_us) {
            return false;
        }
        readings.servers.handed(now_us, age_us);
        readings.list = list;
        true
    }

    /// Takes what another daemon says of its knowledge.
    pub fn heard(&self, now_us: MonoTime, table: TableVersion, stamp: Stamp, from: SocketAddr) {
        let mut readings = self.readings.lock();
        if stamp.table > table.0 {
            readings.table.heard(now_us, Told { is_same: false, age_us: Micros(0) });
            readings.table_teller = Some((TableVersion(stamp.table), from));
            self.table_due.notify_one();
        } else if stamp.table == table.0
            && let Some(age_us) = stamp.table_age_us
        {
            readings.table.heard(now_us, Told { is_same: true, age_us });
        }
        if readings.compare_servers(now_us, stamp.servers, stamp.servers_age_us) {
            readings.servers_teller = Some((stamp.servers.version, from));
            self.servers_due.notify_one();
        }
    }
}

/// What is known of routes newer than those in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewerTable {
    /// This daemon has them.
    At(SocketAddr),
    /// They have come into force since they were announced.
    InForce,
    /// No daemon has announced any.
    Unannounced,
}

/// Which of the two things that are followed.
#[derive(Clone, Copy, Debug)]
pub enum Followed {
    /// The routes.
    Table,
    /// The servers.
    Servers,
}

fn reading(readings: &mut Readings, followed: Followed) -> &mut Reading {
    match followed {
        Followed::Table => &mut readings.table,
        Followed::Servers => &mut readings.servers,
    }
}

/// Waits until a read is due and returns when it began.
pub async fn due(state: &RelayState, own: &HostId, followed: Followed) -> MonoTime {
    loop {
        let live = state.peers.hosts_at_store();
        let reaches_store = state.freshness.reaches_store(clock::now());
        // One that cannot read, or does not know who else there is, comes after all others.
        let may_read = reaches_store && state.peers.is_register_read();
        let place = if may_read { place(own, live.iter()) } else { live.len().max(LAST_PLACE) };
        let next_us = state.freshness.readings.lock().next_us(followed, place);
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
