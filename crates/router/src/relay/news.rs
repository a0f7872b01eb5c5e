//! Changes of the servers, told from daemon to daemon.
//!
//! Hundreds of times a day servers come, go or change their role, and with 87 daemons each change would cost 87 calls
//! to the store. So whoever read a change puts it into its next messages, with the versions that it leads from and to.
//! Whoever knew the first is up to date by it; any other daemon notices that it is behind and asks for the changes since.

use std::collections::VecDeque;
use std::sync::Arc;

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::retransmit::RetransmitQueue;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::directory::{BackendServer, Listing};

/// Servers that one change may name in a message. Larger ones are asked for by whoever hears that it is behind.
const SERVERS_MAX: usize = 24;

/// Servers that all changes in a message may name together: a message fits a datagram.
const SERVERS_TOLD_MAX: usize = 40;

/// Servers that the kept changes name together. Beyond, a whole list is hardly larger.
const SERVERS_KEPT_MAX: usize = 2_048;

/// One change of the servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerChange {
    /// Version of the list before.
    from: u64,
    /// Version of the list now.
    to: u64,
    set: Vec<BackendServer>,
    removed: Vec<BackendServerId>,
}

impl ServerChange {
    /// What changed between two listings, if only the version; `None` when nothing did.
    pub fn between(before: &Listing, after: &Listing) -> Option<Self> {
        if after.version <= before.version {
            return None;
        }
        let changed = after.servers.changed_since(&before.servers);
        let set: Vec<BackendServer> = changed.map(|server| server.as_ref().clone()).collect();
        let removed: Vec<BackendServerId> = after.servers.gone_since(&before.servers).cloned().collect();
        Some(Self { from: before.version, to: after.version, set, removed })
    }

    /// How many servers it names.
    fn named(&self) -> usize {
        self.set.len() + self.removed.len()
    }

    /// The listing after `changes`, oldest first; `None` when they bring nothing, or go on from something that is not known
    /// here.
    ///
    /// The listing need not be the one that the reader had before: a daemon that read the store in between knows a part of
    /// a change already, and would otherwise have to read again after each one. What it read later than the reader is not
    /// taken back.
    pub fn applied(changes: &[Self], known: &Listing) -> Option<Listing> {
        let mut listing = known.clone();
        for change in changes {
            if (change.from..=change.to).contains(&listing.version) {
                change.apply(&mut listing);
            }
        }
        let is_news = listing.version > known.version || listing.servers.digest() != known.servers.digest();
        (known.version > 0 && is_news).then_some(listing)
    }

    fn apply(&self, listing: &mut Listing) {
        for id in &self.removed {
            listing.servers.remove(id);
        }
        listing.servers.extend(self.set.iter().cloned().map(Arc::new));
        listing.version = self.to;
    }
}

/// Changes for the other daemons: those in the next messages, and those that may be asked for.
#[derive(Debug, Default)]
pub struct News {
    pending: Mutex<RetransmitQueue<ServerChange>>,
    kept: Mutex<VecDeque<ServerChange>>,
}

impl News {
    /// Takes a change that was read here.
    pub fn note(&self, change: ServerChange) {
        let mut pending = self.pending.lock();
        let named: usize = pending.iter().map(ServerChange::named).sum();
        if change.named() <= SERVERS_MAX && named + change.named() <= SERVERS_TOLD_MAX {
            pending.push(change.clone());
        }
        let version = change.from;
        self.keep(vec![change], version);
    }

    /// What goes into the next message, oldest first.
    pub fn next(&self) -> Vec<ServerChange> {
        self.pending.lock().take_oldest(usize::MAX)
    }

    /// Keeps changes that go on from version `known`, for daemons that ask for them. A gap before them makes all older ones
    /// useless.
    pub fn keep(&self, changes: Vec<ServerChange>, known: u64) {
        let mut kept = self.kept.lock();
        for change in changes.into_iter().filter(|change| change.to > known) {
            if kept.back().is_some_and(|last| change.to <= last.to) {
                continue;
            }
            if kept.back().is_some_and(|last| change.from > last.to) {
                kept.clear();
            }
            match kept.back_mut() {
                // Renewals change nothing but the version, several times a second.
                Some(last) if change.named() == 0 => last.to = change.to,
                _ => kept.push_back(change),
            }
        }
        let mut named: usize = kept.iter().map(ServerChange::named).sum();
        while named > SERVERS_KEPT_MAX
            && let Some(oldest) = kept.pop_front()
        {
            named -= oldest.named();
        }
    }

    /// The changes that lead on from a version; `None` when they are not known that far back.
    pub fn since(&self, version: u64) -> Option<Vec<ServerChange>> {
        let kept = self.kept.lock();
        let later: Vec<ServerChange> = kept.iter().filter(|change| change.to > version).cloned().collect();
        let reaches = later.first().is_some_and(|first| first.from <= version);
        reaches.then_some(later)
    }
}
