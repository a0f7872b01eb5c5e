//! Propagation of server changes from daemon to daemon.
//!
//! Servers come, go or change their role hundreds of times a day, and with 87 daemons each change would cost
//! 87 calls to the store. So a daemon that read a change puts it into its next messages, with the versions
//! before and after it. A daemon at the version before is up to date with it; any other notices that it is
//! behind and requests the changes since its own version.

use std::collections::VecDeque;
use std::sync::Arc;

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::retransmit::RetransmitQueue;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::directory::{BackendServer, Listing};

/// Maximum number of servers that a change in a message may name. Daemons that are behind request larger
/// changes.
const SERVERS_PER_CHANGE_MAX: usize = 24;

/// Maximum number of servers that all changes in a message may name together, so that the message fits into a
/// datagram.
const SERVERS_PER_MESSAGE_MAX: usize = 40;

/// Maximum number of servers that the changes in the history name together. Beyond that a full list is hardly
/// larger.
const SERVERS_IN_HISTORY_MAX: usize = 2_048;

/// A change of the server list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerChange {
    /// Version of the list before the change.
    from: u64,
    /// Version of the list after the change.
    to: u64,
    set: Vec<BackendServer>,
    removed: Vec<BackendServerId>,
    /// Those in `removed` that stated before that they leave, so that their entries have not merely expired.
    left: Vec<BackendServerId>,
    /// Whether servers that came and went between the two versions may be missing.
    is_net: bool,
}

impl ServerChange {
    /// The difference of two listings, possibly of the version only; `None` when the version did not advance.
    pub fn between(before: &Listing, after: &Listing) -> Option<Self> {
        if after.version <= before.version {
            return None;
        }
        let changed = after.servers.changed_since(&before.servers);
        let set: Vec<BackendServer> = changed.map(|server| server.as_ref().clone()).collect();
        let removed: Vec<BackendServerId> = after.servers.removed_since(&before.servers).cloned().collect();
        Some(Self { from: before.version, to: after.version, set, removed, left: Vec::new(), is_net: true })
    }

    /// The change that an incremental read up to `version` brought, possibly of the version only; `None` when the version did
    /// not advance. `listed` and `removed` are all that the read listed and removed; those in both were listed again.
    ///
    /// It also names servers that came and went between two reads of this daemon, since another one may have read in
    /// between.
    pub fn of_read(
        before: &Listing,
        after: &Listing,
        version: u64,
        listed: &[BackendServerId],
        removed: Vec<BackendServerId>,
    ) -> Option<Self> {
        if version <= before.version {
            return None;
        }
        let is_changed =
            |id: &&BackendServerId| removed.contains(id) || after.servers.get(id) != before.servers.get(id);
        let set = listed.iter().filter(is_changed).filter_map(|id| after.servers.get(id));
        let set = set.map(|server| server.as_ref().clone()).collect();
        Some(Self { from: before.version, to: version, set, removed, left: Vec::new(), is_net: false })
    }

    /// Whether it brings a list of this version up to date. One that names all servers does so for each version in between.
    fn applies_to(&self, version: u64) -> bool {
        if self.is_net { version == self.from } else { (self.from..=self.to).contains(&version) }
    }

    /// The same change with further servers removed: those that vanished from the store's list, but that the daemon which
    /// read it keeps for a while.
    #[must_use]
    pub fn with_removed(mut self, withheld: Vec<BackendServerId>) -> Self {
        self.removed.extend(withheld);
        self
    }

    /// The same change, in which these of the removed servers stated before that they leave.
    #[must_use]
    pub fn with_left(mut self, left: Vec<BackendServerId>) -> Self {
        self.left = left;
        self
    }

    /// Servers that stated that they leave before they were removed.
    pub fn left(&self) -> impl Iterator<Item = &BackendServerId> {
        self.left.iter()
    }

    /// The same change, which also names these servers of `after` as listed: those that the daemon which read the list had kept,
    /// and that are listed again. Nothing has changed for it, but other daemons keep them, or have removed them.
    #[must_use]
    pub fn with_listed(mut self, after: &Listing, returned: &[BackendServerId]) -> Self {
        let unnamed = returned.iter().filter(|id| !self.set.iter().any(|server| server.id == **id));
        let unnamed = unnamed.filter_map(|id| after.servers.get(id)).map(|server| server.as_ref().clone());
        let unnamed: Vec<BackendServer> = unnamed.collect();
        self.set.extend(unnamed);
        self
    }

    /// Servers that it names as listed.
    pub fn listed(&self) -> impl Iterator<Item = &BackendServerId> {
        self.set.iter().map(|server| &server.id)
    }

    /// Number of servers that it names.
    fn server_count(&self) -> usize {
        self.set.len() + self.removed.len()
    }

    /// The listing after applying `changes`, oldest first; `None` when they change nothing or do not continue
    /// from the known version.
    ///
    /// The listing need not be exactly the one that a change started from: a daemon that read the store in
    /// between has a part of the change already, and would otherwise have to read again after each change.
    /// What it read later than the sender is not reverted.
    pub fn applied(changes: &[Self], known: &Listing) -> Option<Listing> {
        let mut listing = known.clone();
        for change in changes {
            if change.applies_to(listing.version) {
                change.apply(&mut listing);
            }
        }
        let is_changed =
            listing.version > known.version || listing.servers.digest() != known.servers.digest();
        (known.version > 0 && is_changed).then_some(listing)
    }

    fn apply(&self, listing: &mut Listing) {
        for id in &self.removed {
            listing.servers.remove(id);
        }
        listing.servers.extend(self.set.iter().cloned().map(Arc::new));
        listing.version = self.to;
    }
}

/// Server changes for the other daemons: those pending for the next messages, and a history for requests.
#[derive(Debug, Default)]
pub struct ServerChangeLog {
    pending: Mutex<RetransmitQueue<ServerChange>>,
    history: Mutex<VecDeque<ServerChange>>,
}

impl ServerChangeLog {
    /// Records a change that this daemon read.
    pub fn record(&self, change: ServerChange) {
        let mut pending = self.pending.lock();
        let total: usize = pending.iter().map(ServerChange::server_count).sum();
        if change.server_count() <= SERVERS_PER_CHANGE_MAX
            && total + change.server_count() <= SERVERS_PER_MESSAGE_MAX
        {
            pending.push(change.clone());
        }
        let version = change.from;
        self.append(vec![change], version);
    }

    /// The changes for the next message, oldest first.
    pub fn next_batch(&self) -> Vec<ServerChange> {
        self.pending.lock().take_oldest(usize::MAX)
    }

    /// Appends changes that continue from version `known` to the history, for daemons that request them. A
    /// gap makes all older changes useless, so they are dropped.
    pub fn append(&self, changes: Vec<ServerChange>, known: u64) {
        let mut history = self.history.lock();
        for change in changes.into_iter().filter(|change| change.to > known) {
            if history.back().is_some_and(|last| change.to <= last.to) {
                continue;
            }
            if history.back().is_some_and(|last| change.from > last.to) {
                history.clear();
            }
            match history.back_mut() {
                // Renewals advance only the version, several times a second.
                Some(last) if change.server_count() == 0 && !last.is_net => last.to = change.to,
                _ => history.push_back(change),
            }
        }
        let mut total: usize = history.iter().map(ServerChange::server_count).sum();
        while total > SERVERS_IN_HISTORY_MAX
            && let Some(oldest) = history.pop_front()
        {
            total -= oldest.server_count();
        }
    }

    /// The changes since a version; `None` when the history does not reach back that far.
    pub fn since(&self, version: u64) -> Option<Vec<ServerChange>> {
        let history = self.history.lock();
        let later: Vec<ServerChange> = history.iter().filter(|change| change.to > version).cloned().collect();
        let reaches = later.first().is_some_and(|first| first.applies_to(version));
        reaches.then_some(later)
    }
}
