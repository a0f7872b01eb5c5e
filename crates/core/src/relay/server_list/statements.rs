//! The order in which servers make their statements, and which records of the list come late.
//!
//! The platform's store may carry out a call that had no answer seconds later. So a renewal can follow the statement that the
//! server leaves, or the removal of its entry, and the place of a record in the log does not tell which statement is the
//! later one. The number of the statement does. This is the only place that compares them.
//!
//! What is remembered holds for a limited time, so that a number that another writer invents does not shut a server out.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::fmt::{self, Display};

use serde::{Deserialize, Serialize};

use super::record::{ServerEntry, ServerRecord};
use crate::ids::{BackendServerId, Lifetime};
use crate::servers::Servers;
use crate::units::{Micros, Millis, MonoTime};

/// Longest time for which the store may still carry out a call that had no answer.
const LATE_CALL_MAX_MS: Millis = Millis(30_000);

/// Largest difference of two numbers within [`LATE_CALL_MAX_MS`]: servers renew their entries about every second.
const NUMBERS_MAX: u64 = 1_000;

/// Maximum number of removed servers that are remembered.
const REMOVED_MAX: usize = 1_024;

/// Place of a statement among all that servers make under one name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatementOrder {
    /// The run that makes the statement; `None` where an id is never used again.
    pub lifetime: Option<Lifetime>,
    /// Its number, which begins anew with each run.
    pub seq: u64,
}

impl PartialOrd for StatementOrder {
    /// `None` if only one of the two names its run.
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        match (self.lifetime, other.lifetime) {
            (Some(own), Some(other_run)) => Some(own.cmp(&other_run).then(self.seq.cmp(&other.seq))),
            (None, None) => Some(self.seq.cmp(&other.seq)),
            (Some(_), None) | (None, Some(_)) => None,
        }
    }
}

impl Display for StatementOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.lifetime {
            Some(lifetime) => write!(f, "{lifetime}.{}", self.seq),
            None => self.seq.fmt(f),
        }
    }
}

/// A record that came later than a later statement of the same server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutdatedRecord {
    /// Name of the server.
    pub server: BackendServerId,
    /// Place of the statement that it holds; `None` if it states none.
    pub statement: Option<StatementOrder>,
    /// Place of the latest statement that is known.
    pub known: StatementOrder,
}

impl OutdatedRecord {
    /// The record, while a statement at `known` is known; `None` if none is.
    pub fn new(record: &ServerRecord, known: Option<StatementOrder>) -> Option<Self> {
        Some(Self { server: record.entry.id().clone(), statement: record.statement, known: known? })
    }
}

/// How the removal of an entry is understood.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Removal {
    /// The server has left. A renewal that was under way may have a higher number than any statement that was read, so the
    /// first one does not count: a server that has not left renews its entry again.
    Left {
        /// Whether it had stated that it leaves.
        is_stated: bool,
    },
    /// The entry may have expired in an outage of the store, and the server registers again.
    MayHaveExpired,
}

/// The latest statement of a server that is known.
#[derive(Clone, Copy, Debug)]
struct Latest {
    order: StatementOrder,
    /// Whether it states that the server leaves.
    is_leaving: bool,
    /// Version of its record, or of that of the removal.
    version: u64,
    as_of_us: MonoTime,
}

impl Latest {
    /// Whether an earlier statement may still arrive.
    fn is_recent(&self, now_us: MonoTime) -> bool {
        now_us < self.as_of_us + LATE_CALL_MAX_MS
    }

    /// Whether the server can have made a statement at `order` after it.
    fn may_precede(&self, order: Option<StatementOrder>) -> bool {
        order.is_some_and(|order| {
            let is_same_run = order.lifetime == self.order.lifetime;
            self.order < order && !(is_same_run && order.seq - self.order.seq > NUMBERS_MAX)
        })
    }

    /// Whether a record follows it in the log, early enough to be a late call. One before it is only older.
    fn is_followed_by(&self, now_us: MonoTime, record: &ServerRecord) -> bool {
        record.version >= self.version && self.is_recent(now_us)
    }
}

/// A server whose entry was removed.
#[derive(Clone, Copy, Debug)]
struct Removed {
    /// Its last statement, or the renewal that came after the removal.
    latest: Latest,
    removal: Removal,
    /// Whether a renewal has come after the removal.
    is_renewed: bool,
}

/// The latest statement of a server, for another daemon.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct KnownStatement {
    order: StatementOrder,
    is_leaving: bool,
    version: u64,
    age_us: Micros,
    /// How the removal of its entry is understood, and whether a renewal has come since; `None` while it is listed.
    removal: Option<(Removal, bool)>,
}

/// The latest statements of the listed servers, and of those that were removed lately.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    listed: HashMap<BackendServerId, Latest>,
    removed: HashMap<BackendServerId, Removed>,
}

impl Statements {
    /// Place of the last statement of a server; `None` if it is not known.
    pub fn latest(&self, server: &BackendServerId) -> Option<StatementOrder> {
        self.latest_at(server, u64::MAX)
    }

    /// Place of the last statement of a server if it was known at a version of the list.
    pub fn latest_at(&self, server: &BackendServerId, version: u64) -> Option<StatementOrder> {
        self.latest_record(server).filter(|(known, _)| *known <= version).map(|(_, order)| order)
    }

    /// Version and place of the last statement of a server.
    pub fn latest_record(&self, server: &BackendServerId) -> Option<(u64, StatementOrder)> {
        let listed = self.listed.get(server);
        let latest = listed.or_else(|| Some(&self.removed.get(server)?.latest))?;
        Some((latest.version, latest.order))
    }

    /// Whether a record is older than what is known, wherever it stands in the log. Only entries are: a removal does not state
    /// what it removes. One whose place is unknown or cannot be is no reason to use a server that has stated that it leaves.
    pub fn is_outdated(&self, now_us: MonoTime, record: &ServerRecord) -> bool {
        let ServerEntry::Listed(server) = &record.entry else {
            return false;
        };
        let removed = self.removed.get(&server.id);
        let Some(latest) = removed.map(|removed| &removed.latest).or_else(|| self.listed.get(&server.id))
        else {
            return false;
        };
        let undoes_leaving = latest.is_leaving && (removed.is_some() || !record.entry.is_leaving());
        let is_earlier = record.statement.is_some_and(|order| {
            if removed.is_some() { order <= latest.order } else { order < latest.order }
        });
        let is_odd = undoes_leaving && !latest.may_precede(record.statement);
        latest.is_followed_by(now_us, record) && (is_earlier || is_odd)
    }

    /// Whether a record is newer than what is known, wherever it stands in the log.
    pub fn is_newer(&self, record: &ServerRecord) -> bool {
        match (&record.entry, record.statement) {
            (ServerEntry::Listed(server), Some(order)) => {
                self.listed.get(&server.id).is_some_and(|latest| latest.order < order)
            }
            (ServerEntry::Listed(_), None) | (ServerEntry::Removed { .. }, _) => false,
        }
    }

    /// Whether a record that was read from the platform is the first renewal of a server that has left.
    pub fn is_first_renewal(&self, now_us: MonoTime, record: &ServerRecord) -> bool {
        let (ServerEntry::Listed(server), Some(order)) = (&record.entry, record.statement) else {
            return false;
        };
        self.removed.get(&server.id).is_some_and(|removed| {
            let Removed { latest, removal, is_renewed } = removed;
            let is_same_run = latest.order.lifetime == order.lifetime;
            let has_left = matches!(removal, Removal::Left { .. });
            has_left
                && !is_renewed
                && is_same_run
                && latest.order < order
                && latest.is_followed_by(now_us, record)
        })
    }

    /// Whether a record shows that a server whose entry was removed has registered again.
    pub fn is_registered_anew(&self, now_us: MonoTime, record: &ServerRecord) -> bool {
        let is_removed = self.removed.get(record.entry.id()).is_some_and(|removed| {
            removed.latest.version < record.version
                && record.statement.is_some_and(|order| removed.latest.order < order)
        });
        is_removed && !self.is_first_renewal(now_us, record)
    }

    /// Whether a server that is removed had stated that it leaves.
    pub fn has_stated_leaving(&self, server: &BackendServerId) -> bool {
        self.removed.get(server).is_some_and(|removed| removed.removal == Removal::Left { is_stated: true })
    }

    /// Whether a record that was read from the platform comes late. Remembers the first renewal of a server that has left, so
    /// that the next one counts.
    pub fn is_late(&mut self, now_us: MonoTime, record: &ServerRecord) -> bool {
        let is_first_renewal = self.is_first_renewal(now_us, record);
        if is_first_renewal
            && let Some(removed) = self.removed.get_mut(record.entry.id())
            && let Some(order) = record.statement
        {
            removed.is_renewed = true;
            removed.latest.order = order;
        }
        is_first_renewal || self.is_outdated(now_us, record)
    }

    /// Records the statement that a record holds, or that it removes an entry, which is to be understood as `removal`.
    pub fn record(&mut self, now_us: MonoTime, record: &ServerRecord, removal: Removal) {
        let ServerRecord { version, statement, entry } = record;
        let is_leaving = entry.is_leaving();
        let latest = |order| Latest { order, is_leaving, version: *version, as_of_us: now_us };
        match entry {
            ServerEntry::Listed(server) => {
                self.removed.remove(&server.id);
                match *statement {
                    Some(order) => self.listed.insert(server.id.clone(), latest(order)),
                    None => self.listed.remove(&server.id),
                };
            }
            ServerEntry::Removed { id, .. } => {
                let known = self.listed.remove(id).filter(|latest| latest.version <= *version);
                let known = known.map(|latest| latest.order);
                let order = match (known, *statement) {
                    (Some(known), Some(stated)) if known < stated => Some(stated),
                    (known, stated) => known.or(stated),
                };
                if let Some(order) = order {
                    let latest = latest(order);
                    let removed = self.removed.entry(id.clone());
                    let removed = removed.or_insert(Removed { latest, removal, is_renewed: false });
                    if removed.latest.version < *version {
                        removed.is_renewed &= removed.latest.order >= order;
                        let is_leaving = latest.is_leaving || removed.latest.is_leaving;
                        removed.latest = Latest { is_leaving, ..latest };
                    }
                }
            }
        }
    }

    /// Copies what `other` knows of a server, unless something is known of it here.
    pub fn keep(&mut self, server: &BackendServerId, other: &Self) {
        if self.listed.contains_key(server) || self.removed.contains_key(server) {
            return;
        }
        if let Some(latest) = other.listed.get(server) {
            self.listed.insert(server.clone(), *latest);
        }
        if let Some(removed) = other.removed.get(server) {
            self.removed.insert(server.clone(), *removed);
        }
    }

    /// Copies what `other` knows of a server, instead of what is known of it here.
    pub fn replace(&mut self, server: &BackendServerId, other: &Self) {
        self.listed.remove(server);
        self.removed.remove(server);
        self.keep(server, other);
    }

    /// Copies all that `other` knows of servers of which nothing is known here.
    pub fn keep_all(&mut self, other: &Self) {
        for server in other.listed.keys().chain(other.removed.keys()) {
            self.keep(server, other);
        }
    }

    /// Forgets removed servers of which no late call can come any more, and the oldest ones beyond [`REMOVED_MAX`].
    pub fn prune(&mut self, now_us: MonoTime) {
        self.removed.retain(|_, removed| removed.latest.is_recent(now_us));
        let excess = self.removed.len().saturating_sub(REMOVED_MAX);
        if excess > 0 {
            let mut times: Vec<MonoTime> =
                self.removed.values().map(|removed| removed.latest.as_of_us).collect();
            times.sort_unstable();
            let oldest_us = times[excess];
            self.removed.retain(|_, removed| removed.latest.as_of_us >= oldest_us);
        }
    }

    /// All that is known, for another daemon.
    pub fn known(&self, now_us: MonoTime) -> Vec<(BackendServerId, KnownStatement)> {
        let known = |latest: &Latest, removal| KnownStatement {
            order: latest.order,
            is_leaving: latest.is_leaving,
            version: latest.version,
            age_us: now_us.since(latest.as_of_us),
            removal,
        };
        let listed = self.listed.iter().map(|(id, latest)| (id.clone(), known(latest, None)));
        let removed = self.removed.iter().map(|(id, removed)| {
            (id.clone(), known(&removed.latest, Some((removed.removal, removed.is_renewed))))
        });
        listed.chain(removed).collect()
    }

    /// Adopts what another daemon knows of the servers in `listed`, and of those that are removed, up to a version.
    pub fn adopt(&mut self, other: Self, listed: &Servers, version: u64) {
        for (server, theirs) in other.listed {
            if !listed.contains_key(&server) || theirs.version > version {
                continue;
            }
            self.removed.remove(&server);
            let own = self.listed.entry(server).or_insert(theirs);
            if own.order < theirs.order {
                *own = theirs;
            }
        }
        self.listed.retain(|server, _| listed.contains_key(server));
        for (server, theirs) in other.removed {
            if !listed.contains_key(&server) && theirs.latest.version <= version {
                self.removed.entry(server).or_insert(theirs);
            }
        }
    }

    /// What another daemon knows.
    pub fn of_other(now_us: MonoTime, known: Vec<(BackendServerId, KnownStatement)>) -> Self {
        let mut statements = Self::default();
        for (server, KnownStatement { order, is_leaving, version, age_us, removal }) in known {
            // It is as old here as there, so that it is not kept for longer by being passed on.
            let as_of_us = MonoTime(now_us.0.saturating_sub(age_us.0));
            let latest = Latest { order, is_leaving, version, as_of_us };
            match removal {
                Some((removal, is_renewed)) => {
                    statements.removed.insert(server, Removed { latest, removal, is_renewed });
                }
                None => {
                    statements.listed.insert(server, latest);
                }
            }
        }
        statements
    }
}
