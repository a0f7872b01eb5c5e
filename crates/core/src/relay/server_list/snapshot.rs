//! Whole lists that daemons pass to each other.
//!
//! A newer list replaces the own one. Of any list, what the other daemon knows of servers' statements counts: a daemon that
//! has read the whole list from the platform does not know which of its records came late.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::record::{ServerEntry, ServerRecord};
use super::statements::{KnownStatement, OutdatedRecord, Statements};
use super::{Affected, ListState, ServerList, Source, Update};
use crate::ids::BackendServerId;
use crate::servers::{BackendServer, Servers};
use crate::units::{Micros, MonoTime};

/// A whole list, for another daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListSnapshot {
    version: u64,
    listed: Vec<Arc<BackendServer>>,
    ahead: Vec<(BackendServerId, u64)>,
    exact_from: u64,
    complete_from: u64,
    /// Vanished servers that are still in use, each with the time until it counts as gone.
    kept: Vec<(Arc<BackendServer>, Micros)>,
    statements: Vec<(BackendServerId, KnownStatement)>,
}

impl ListSnapshot {
    /// Version and digest of the list.
    pub fn state(&self) -> ListState {
        let is_exact = self.ahead.is_empty() && self.version >= self.exact_from;
        let digest = is_exact.then(|| self.listed.iter().cloned().collect::<Servers>().digest());
        ListState { version: self.version, digest, complete_from: self.complete_from }
    }
}

/// The latest records that are known of the servers that a list shows.
fn latest_records(listed: &Servers, statements: &Statements) -> Vec<ServerRecord> {
    let record = |server: &Arc<BackendServer>| {
        let (version, statement) = statements.latest_record(&server.id)?;
        let entry = ServerEntry::Listed(Arc::clone(server));
        Some(ServerRecord { version, statement: Some(statement), entry })
    };
    listed.values().filter_map(record).collect()
}

impl ServerList {
    /// Applies the whole list of another daemon. Its vanished servers count as gone when they do there. Of a list that is not
    /// newer, only the later statements of servers count.
    pub fn apply_snapshot(&mut self, now_us: MonoTime, snapshot: ListSnapshot) -> Update {
        let ListSnapshot { version, listed, ahead, exact_from, complete_from, kept, statements } = snapshot;
        let theirs = Statements::of_other(now_us, statements);
        let before = self.version;
        if version <= before {
            let listed: Servers = listed.into_iter().collect();
            return self.apply_statements(now_us, version, &listed, theirs);
        }
        let mut affected = Affected::default();
        let ahead: BTreeMap<BackendServerId, u64> = ahead.into_iter().collect();
        let mut servers: Servers = listed.into_iter().collect();
        for (id, own) in &self.ahead {
            if *own > version && ahead.get(id).is_none_or(|other| other < own) {
                match self.listed.get(id) {
                    Some(server) => servers.insert(Arc::clone(server)),
                    None => servers.remove(id),
                }
            }
        }
        for (id, other) in ahead {
            let own = self.ahead.entry(id).or_default();
            *own = other.max(*own);
        }
        for server in latest_records(&servers, &theirs) {
            if !self.admit(now_us, &server, Source::Platform, &mut affected) {
                let id = server.entry.id();
                match self.listed.get(id) {
                    Some(own) => servers.insert(Arc::clone(own)),
                    None => servers.remove(id),
                }
            }
        }
        if let Some(statements) = &mut self.reading.statements {
            statements.keep_all(&self.statements);
        }
        self.statements.adopt(theirs, &servers, u64::MAX);
        self.listed = servers;
        self.exact_from = exact_from;
        self.complete_from = complete_from;
        self.reading.are_all_touched = true;
        self.advance_to(version);
        let digest = self.in_use.digest();
        let kept: Vec<(Arc<BackendServer>, Micros)> =
            kept.into_iter().filter(|(server, _)| !self.listed.contains_key(&server.id)).collect();
        self.in_use = self.listed.clone();
        self.in_use.extend(kept.iter().map(|(server, _)| Arc::clone(server)));
        let pending = kept.into_iter().map(|(server, left_us)| (server.id.clone(), left_us)).collect();
        self.expired.replaced(now_us, pending);
        Update {
            is_changed: self.in_use.digest() != digest,
            is_newer: true,
            outdated: affected.outdated,
            ..Update::default()
        }
    }

    /// Replaces entries that are outdated by what another daemon, which lists `listed`, knows of servers' statements.
    fn apply_statements(
        &mut self,
        now_us: MonoTime,
        their_version: u64,
        listed: &Servers,
        mut theirs: Statements,
    ) -> Update {
        let version = self.version;
        let mut affected = Affected::default();
        for own in latest_records(&self.listed, &self.statements) {
            if !theirs.is_late(now_us, &own) {
                continue;
            }
            let id = own.entry.id().clone();
            let known = theirs.latest_record(&id);
            let (known_at, statement) = known.map_or((version, None), |(at, order)| (at, Some(order)));
            affected.outdated.extend(OutdatedRecord::new(&own, statement));
            let entry = match listed.get(&id) {
                Some(server) => ServerEntry::Listed(Arc::clone(server)),
                None => ServerEntry::Removed { id, has_left: theirs.has_stated_leaving(own.entry.id()) },
            };
            let record = ServerRecord { version: known_at.max(version), statement, entry };
            let id = own.entry.id();
            self.merge(now_us, record, &mut affected);
            // The list has it from the version on, but the late record follows it in the log.
            self.statements.replace(id, &theirs);
        }
        for other in latest_records(listed, &theirs) {
            // An older list does not show that the server has left again since.
            if their_version == version && self.statements.is_registered_anew(now_us, &other) {
                // What the version covers without it is not ahead.
                let id = other.entry.id().clone();
                let record = ServerRecord { version: other.version.max(version), ..other };
                self.merge(now_us, record, &mut affected);
                self.statements.replace(&id, &theirs);
            }
        }
        self.advance_to(version);
        self.statements.adopt(theirs, &self.listed, version);
        self.settle(now_us, version, affected)
    }

    /// The whole list, for another daemon; `None` while there is none.
    pub fn snapshot(&self, now_us: MonoTime) -> Option<ListSnapshot> {
        let kept = self.expired.kept(now_us);
        let kept = kept.filter_map(|(id, left_us)| Some((Arc::clone(self.in_use.get(id)?), left_us)));
        (self.version > 0).then(|| ListSnapshot {
            version: self.version,
            listed: self.listed.values().cloned().collect(),
            ahead: self.ahead.iter().map(|(id, version)| (id.clone(), *version)).collect(),
            exact_from: self.exact_from,
            complete_from: self.complete_from,
            kept: kept.collect(),
            statements: self.statements.known(now_us),
        })
    }
}
