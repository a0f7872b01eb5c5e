//! The list of backend servers: how it is versioned, merged, passed on between daemons and compared.
//!
//! The platform keeps the list as a log of records, each the state of one server. A version names a prefix of that log, so
//! that it means the same at every daemon. A [`ServerList`] keeps one invariant, whatever brings records and in whatever
//! order: *the list at a version lacks no record of that prefix.* A record that the version covers changes nothing; one
//! beyond it applies at once and is remembered as ahead, so that no older one replaces it. The version rises only when all
//! records up to the new one are known, and never falls.
//!
//! Two lists at one version that show no more than it covers are therefore equal, and their digests show whether that is
//! true. Only then does one confirm the other. A list shows more while it has records ahead, or after its pages were read one
//! after another, until the version reaches what they show.
//!
//! The log holds the records in the order in which the store carried the calls out. Where that is not the order in which a
//! server made its statements, an earlier statement changes nothing, see [`statements`].

mod change;
mod divergence;
mod expired_entries;
mod record;
mod snapshot;
mod statements;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use change::{ServerChange, ServerChangeLog};
use divergence::Divergence;
pub use expired_entries::ExpiredEntries;
pub use record::{ListRead, ReadContents, ServerEntry, ServerRecord};
pub use snapshot::ListSnapshot;
pub use statements::{OutdatedRecord, StatementOrder};
use statements::{Removal, Statements};

use super::recipients::BroadcastScope;
use crate::ids::{BackendServerId, HostId};
use crate::servers::{ListedState, Servers};
use crate::units::{Micros, MonoTime};

/// Version and digest of a list, for comparison with another daemon's.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListState {
    /// Version of the list; zero while there is none.
    pub version: u64,
    /// Digest of the listed servers; `None` while they show more than the version covers.
    pub digest: Option<u64>,
    /// Version from which on all records are known. What came before may have been read as a whole.
    pub complete_from: u64,
}

/// How another daemon's list compares with the own one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comparison {
    /// They are the same, so that the own one is as current as the other one.
    Same,
    /// The other one is newer.
    Newer,
    /// They differ at the same version: one of them lacks a change.
    Differs {
        /// Whether the next read therefore fetches the whole list, which it did not before.
        is_new: bool,
    },
    /// The other one is older or missing, or one of them shows more than its version covers, or the other one does not know
    /// the records in between. That confirms nothing.
    Unknown,
}

/// What an update did to the servers in use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Whether the servers in use have changed.
    pub is_changed: bool,
    /// Whether the version has risen.
    pub is_newer: bool,
    /// Servers that vanished and stay in use for now.
    pub kept: Vec<BackendServerId>,
    /// Servers that had vanished before and are out of use now.
    pub released: Vec<BackendServerId>,
    /// The change that an own read brought, if it names servers; the other daemons get it.
    pub read: Option<ServerChange>,
    /// A change of another daemon that does not go on from the version, so that the list lacks one before it.
    pub missed: Option<ServerChange>,
    /// Records that came later than a later statement of the same server, and count for nothing.
    pub outdated: Vec<OutdatedRecord>,
}

/// A read in progress.
#[derive(Clone, Debug, Default)]
struct Reading {
    /// Version of the list when it began.
    since: u64,
    /// Servers of which the list may have shown something else then.
    touched: BTreeSet<BackendServerId>,
    /// Whether that holds for all servers.
    are_all_touched: bool,
    /// The statements of such servers that were known then; `None` while no read is in progress.
    statements: Option<Statements>,
}

impl Reading {
    /// Whether the list showed this server as now when the read began.
    fn is_untouched(&self, id: &BackendServerId) -> bool {
        !self.are_all_touched && !self.touched.contains(id)
    }
}

/// The list of backend servers at one daemon.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    version: u64,
    /// The servers that the list shows at its version and by the records ahead of it.
    listed: Servers,
    /// The newest record beyond the version, of each server that has one.
    ahead: BTreeMap<BackendServerId, u64>,
    /// Below this version, servers may be missing that were removed only after it.
    exact_from: u64,
    /// Version from which on all records are known.
    complete_from: u64,
    /// The listed servers, and the vanished ones that do not count as gone yet.
    in_use: Servers,
    statements: Statements,
    expired: ExpiredEntries,
    changes: ServerChangeLog,
    reading: Reading,
    divergence: Divergence,
}

/// Servers that an update has listed, and those that it has removed.
#[derive(Debug, Default)]
struct Affected {
    listed: BTreeSet<BackendServerId>,
    /// Whether each removed server has left.
    vanished: BTreeMap<BackendServerId, bool>,
    /// Records that do not count.
    outdated: Vec<OutdatedRecord>,
}

/// Where a record comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// A read of the platform's list, by this daemon or by another one that may not know the statements before it.
    Platform,
    /// A change that another daemon has made of its reads.
    Daemon,
}

impl Affected {
    fn add(&mut self, entry: &ServerEntry) {
        match entry {
            ServerEntry::Listed(server) => {
                self.vanished.remove(&server.id);
                self.listed.insert(server.id.clone());
            }
            ServerEntry::Removed { id, has_left } => {
                self.listed.remove(id);
                self.vanished.insert(id.clone(), *has_left);
            }
        }
    }
}

impl ServerList {
    /// Version of the list; zero while there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The servers that the list shows.
    pub fn listed(&self) -> &Servers {
        &self.listed
    }

    /// The servers in use: those listed, and vanished ones that do not count as gone yet.
    pub fn in_use(&self) -> &Servers {
        &self.in_use
    }

    /// Version and digest.
    pub fn state(&self) -> ListState {
        ListState {
            version: self.version,
            digest: self.is_exact().then(|| self.listed.digest()),
            complete_from: self.complete_from,
        }
    }

    /// Whether the list shows just what its version covers.
    fn is_exact(&self) -> bool {
        self.ahead.is_empty() && self.version >= self.exact_from
    }

    /// Begins a read. Returns the version after which records are to be read.
    pub fn begin_read(&mut self) -> u64 {
        let touched = self.ahead.keys().cloned().collect();
        self.reading = Reading {
            since: self.version,
            touched,
            are_all_touched: self.version < self.exact_from,
            statements: Some(Statements::default()),
        };
        self.version
    }

    /// Applies the read that began last. The list may be newer than what was read by now.
    pub fn apply_read(&mut self, now_us: MonoTime, read: ListRead) -> Update {
        self.expired.read_succeeded(now_us);
        let ListRead { version, contents } = read;
        match contents {
            // A store that has lost its contents would take every server out of use at once.
            ReadContents::Whole { records, .. } if records.is_empty() && self.version > 0 => {
                Update::default()
            }
            ReadContents::Whole { records, end } => {
                // The others can still read the records, which show more than the difference of two lists.
                let is_announced = !self.divergence.is_whole_read_due;
                if version >= self.version {
                    self.divergence.whole_read(now_us);
                }
                self.apply_whole(now_us, version, end, records, is_announced)
            }
            ReadContents::Later(records) => self.apply_later(now_us, version, records),
        }
    }

    fn apply_later(&mut self, now_us: MonoTime, version: u64, records: Vec<ServerRecord>) -> Update {
        let since = self.reading.since;
        let before = self.version;
        let mut affected = Affected::default();
        let mut newest: BTreeMap<BackendServerId, (ServerRecord, bool)> = BTreeMap::new();
        // The records that were read are judged by what was known before them, also where more is known by now.
        let mut read = self.reading.statements.take().unwrap_or_default();
        for mut record in records {
            let is_late = read.is_late(now_us, &record);
            if !self.admit(now_us, &record, Source::Platform, &mut affected) || is_late {
                continue;
            }
            let id = record.entry.id().clone();
            let listed = self.listed.get(&id);
            let earlier = newest.get(&id);
            if let ServerEntry::Removed { has_left, .. } = &mut record.entry {
                let [before, known] =
                    [&read, &self.statements].map(|known| known.latest_at(&id, record.version));
                record.statement = before.or(known);
                *has_left = match earlier {
                    Some((earlier, _)) => earlier.entry.is_leaving(),
                    None => listed.is_some_and(|listed| listed.listed == ListedState::Leaving),
                };
            }
            read.record(now_us, &record, self.removal_by(now_us, &record));
            // Every list between the two versions then shows the server alike, so that the change need not name it.
            let is_unchanged = self.reading.is_untouched(&id)
                && earlier.is_none_or(|(_, is_unchanged)| *is_unchanged)
                && record.entry.is_same(listed);
            if record.version > before {
                self.merge(now_us, record.clone(), &mut affected);
            }
            newest.insert(id, (record, is_unchanged));
        }
        let named = newest.values().filter(|(_, is_unchanged)| !is_unchanged);
        let change =
            ServerChange::complete(since, version, named.map(|(record, _)| record.clone()).collect());
        // It goes on from a version that the list has reached.
        self.advance_to(version);
        let mut update = self.settle(now_us, before, affected);
        if version > since {
            update.read = Some(change.clone()).filter(ServerChange::names_servers);
            self.changes.record(change);
        }
        update
    }

    fn apply_whole(
        &mut self,
        now_us: MonoTime,
        version: u64,
        end: u64,
        records: Vec<ServerRecord>,
        is_announced: bool,
    ) -> Update {
        let before = self.version;
        let mut affected = Affected::default();
        if version < before {
            // What the list has learned meanwhile is newer than this read.
            for record in records.into_iter().filter(|record| record.version > before) {
                if self.admit(now_us, &record, Source::Platform, &mut affected) {
                    self.merge(now_us, record, &mut affected);
                }
            }
            return self.settle(now_us, before, affected);
        }
        let mut named = Vec::new();
        let missing = self.missing_in(version, &records);
        for record in records.into_iter().chain(missing) {
            if !self.admit(now_us, &record, Source::Platform, &mut affected) {
                continue;
            }
            let id = record.entry.id();
            // The own list may show what a list at its version lacks.
            if self.ahead.contains_key(id) || !record.entry.is_same(self.listed.get(id)) {
                named.push(record.clone());
            }
            // Of a server without a record ahead, the read has the newest one, whatever the version covers.
            self.merge(now_us, record, &mut affected);
        }
        self.advance_to(version);
        // The others can apply the difference only if both lists show just what their versions cover.
        let is_difference_exact = before >= self.exact_from && version >= end;
        self.exact_from = end;
        self.complete_from = end;
        let mut update = self.settle(now_us, before, affected);
        if is_announced && before > 0 && version > before && is_difference_exact {
            let change = ServerChange::net(before, version, named);
            update.read = Some(change.clone()).filter(ServerChange::names_servers);
            self.changes.record(change);
        }
        update
    }

    /// Removals, as of `version`, of the servers that a whole list lacks.
    fn missing_in(&self, version: u64, records: &[ServerRecord]) -> Vec<ServerRecord> {
        let read: BTreeSet<&BackendServerId> = records.iter().map(|record| record.entry.id()).collect();
        let known: BTreeSet<&BackendServerId> = self.listed.keys().chain(self.ahead.keys()).collect();
        let removal = |id: &&BackendServerId| {
            let has_left = self.listed.get(id).is_some_and(|server| server.listed == ListedState::Leaving);
            ServerRecord {
                version,
                statement: self.statements.latest_at(id, version),
                entry: ServerEntry::Removed { id: (*id).clone(), has_left },
            }
        };
        known.difference(&read).map(removal).collect()
    }

    /// Applies changes of another daemon, oldest first.
    pub fn apply_changes(&mut self, now_us: MonoTime, changes: Vec<ServerChange>) -> Update {
        let before = self.version;
        if before == 0 {
            return Update::default();
        }
        let (mut affected, mut missed) = (Affected::default(), None);
        for change in changes.into_iter().filter(|change| change.to() > before) {
            // A net change does not undo what the list knows ahead of its version.
            let applies = change.applies_to(self.version) && (!change.is_net() || self.is_exact());
            let version = self.version;
            for record in change.records().iter().filter(|record| record.version > version) {
                if self.admit(now_us, record, Source::Daemon, &mut affected) {
                    self.merge(now_us, record.clone(), &mut affected);
                }
            }
            if applies {
                self.advance_to(change.to());
                if change.is_net() {
                    self.complete_from = change.to();
                }
                self.changes.append(change);
            } else if change.to() > self.version && change.names_servers() {
                missed = Some(change);
            }
        }
        Update { missed, ..self.settle(now_us, before, affected) }
    }

    /// Compares the list with that of the daemon on `from`. A newer one with the same servers shows that nothing has changed
    /// up to its version, to which this list then rises. It does not if it does not know the records in between: a server may
    /// have left, and its late renewal may have hidden that.
    pub fn compare(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        other: ListState,
        scope: BroadcastScope,
    ) -> Comparison {
        let own = self.state();
        let is_same = match (own.digest, other.digest) {
            (Some(own), Some(other)) => Some(own == other),
            (None, _) | (_, None) => None,
        };
        match (other.version.cmp(&own.version), is_same) {
            _ if other.version == 0 => Comparison::Unknown,
            (Ordering::Less, _) | (Ordering::Equal, None) => Comparison::Unknown,
            (Ordering::Equal, Some(true)) => {
                self.divergence.compared(now_us, from, true, scope);
                Comparison::Same
            }
            (Ordering::Equal, Some(false)) => {
                Comparison::Differs { is_new: self.divergence.compared(now_us, from, false, scope) }
            }
            (Ordering::Greater, Some(true)) if own.version > 0 && other.complete_from > own.version => {
                Comparison::Unknown
            }
            (Ordering::Greater, Some(true)) if own.version > 0 => {
                self.changes.append(ServerChange::net(own.version, other.version, Vec::new()));
                self.advance_to(other.version);
                Comparison::Same
            }
            (Ordering::Greater, _) => Comparison::Newer,
        }
    }

    /// Whether the daemon whose list differed at the last comparison is to be asked for it now.
    pub fn take_request_due(&mut self) -> bool {
        std::mem::take(&mut self.divergence.is_request_due)
    }

    /// Whether the next read has to fetch the whole list, since this one differs from another daemon's at the same version.
    pub fn is_whole_read_due(&self) -> bool {
        self.divergence.is_whole_read_due
    }

    /// The changes for the next message, oldest first.
    pub fn next_changes(&mut self) -> Vec<ServerChange> {
        self.changes.next_batch()
    }

    /// The changes since a version; `None` when the history does not reach back that far.
    pub fn changes_since(&self, version: u64) -> Option<Vec<ServerChange>> {
        self.changes.since(version)
    }

    /// Records that a read of the list failed.
    pub fn read_failed(&mut self) {
        self.expired.read_failed();
    }

    /// Records the age of the list; to be called several times a second.
    pub fn observe_age(&mut self, now_us: MonoTime, age_us: Option<Micros>) {
        self.expired.observe_age(now_us, age_us);
    }

    /// Records that the list of another daemon has been current for `current_us` without a gap.
    pub fn other_is_current(&mut self, now_us: MonoTime, current_us: Micros) {
        self.expired.other_is_current(now_us, current_us);
    }

    /// Vanished servers that are still in use.
    pub fn expired(&self) -> &ExpiredEntries {
        &self.expired
    }

    /// Takes the vanished servers out of use that were kept long enough.
    pub fn release_expired(&mut self, now_us: MonoTime) -> Update {
        self.settle(now_us, self.version, Affected::default())
    }

    /// Whether a record counts, by the order of its server's statements.
    fn admit(
        &mut self,
        now_us: MonoTime,
        record: &ServerRecord,
        source: Source,
        affected: &mut Affected,
    ) -> bool {
        let known = self.statements.latest(record.entry.id());
        let is_late = match source {
            Source::Platform if record.version > self.version => self.statements.is_late(now_us, record),
            Source::Platform => {
                self.statements.is_outdated(now_us, record)
                    || self.statements.is_first_renewal(now_us, record)
            }
            // It has passed this check there.
            Source::Daemon => self.statements.is_outdated(now_us, record),
        };
        if is_late {
            affected.outdated.extend(OutdatedRecord::new(record, known));
        }
        !is_late
    }

    /// Applies a record, unless a later one of the same server has been applied. Of two statements with numbers the higher one
    /// is later, of others the one later in the log.
    fn merge(&mut self, now_us: MonoTime, record: ServerRecord, affected: &mut Affected) {
        let is_later_statement = self.statements.is_newer(&record);
        let ahead = self.ahead.entry(record.entry.id().clone()).or_default();
        if *ahead > record.version && !is_later_statement {
            return;
        }
        *ahead = record.version.max(*ahead);
        let removal = self.removal_by(now_us, &record);
        if let Some(statements) = &mut self.reading.statements {
            statements.keep(record.entry.id(), &self.statements);
        }
        self.statements.record(now_us, &record, removal);
        affected.add(&record.entry);
        if !record.entry.is_same(self.listed.get(record.entry.id())) {
            self.reading.touched.insert(record.entry.id().clone());
        }
        match record.entry {
            ServerEntry::Listed(server) => {
                if !self.listed.get(&server.id).is_some_and(|known| known.is_same_entry(&server)) {
                    self.listed.insert(server);
                }
            }
            ServerEntry::Removed { id, .. } => self.listed.remove(&id),
        }
    }

    /// How a removal that is read now is understood, if `record` is one.
    fn removal_by(&self, now_us: MonoTime, record: &ServerRecord) -> Removal {
        let is_stated = matches!(record.entry, ServerEntry::Removed { has_left: true, .. });
        if !is_stated && now_us < self.expired.grace_until_us(now_us) {
            Removal::MayHaveExpired
        } else {
            Removal::Left { is_stated }
        }
    }

    fn advance_to(&mut self, version: u64) {
        self.version = self.version.max(version);
        self.ahead.retain(|_, ahead| *ahead > self.version);
    }

    /// Brings the servers in use up to date with what an update has `affected`.
    fn settle(&mut self, now_us: MonoTime, version_before: u64, affected: Affected) -> Update {
        self.statements.prune(now_us);
        let digest = self.in_use.digest();
        for id in &affected.listed {
            if let Some(server) = self.listed.get(id)
                && !self.in_use.get(id).is_some_and(|used| Arc::ptr_eq(used, server))
            {
                self.in_use.insert(Arc::clone(server));
            }
        }
        let is_used = |id: &&BackendServerId| self.in_use.contains_key(id);
        let (left, unstated): (HashMap<_, _>, HashMap<_, _>) =
            affected.vanished.iter().filter(|(id, _)| is_used(id)).partition(|(_, has_left)| **has_left);
        let unstated: Vec<BackendServerId> = unstated.into_keys().cloned().collect();
        let mut gone = self.expired.confirm_gone(
            now_us,
            unstated.clone(),
            affected.listed.iter().chain(left.keys().copied()),
        );
        let kept = unstated.iter().filter(|id| !gone.contains(id)).cloned().collect();
        let released = gone.iter().filter(|id| !affected.vanished.contains_key(id)).cloned().collect();
        gone.extend(left.into_keys().cloned());
        for id in &gone {
            self.in_use.remove(id);
        }
        Update {
            is_changed: self.in_use.digest() != digest,
            is_newer: self.version > version_before,
            kept,
            released,
            outdated: affected.outdated,
            ..Update::default()
        }
    }
}
