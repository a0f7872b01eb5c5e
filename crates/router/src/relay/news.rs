//! Changes of the servers, told from daemon to daemon.
//!
//! Hundreds of times a day servers come, go or change their role, and with 87 daemons each change would cost 87 calls
//! to the store. So whoever read a change puts it into its next messages, with what the servers came to before and
//! after. Whoever knew the same before knows the same afterwards; any other daemon notices that it is behind and reads.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use hibiscusvale_core::ids::BackendServerId;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::directory::{BackendServer, Listing};

/// Messages that tell a change. One in some hundred is lost; whoever missed all of them reads the store.
const TELLINGS: u8 = 3;

/// Servers that one change may name. Beyond, a message to each daemon costs the links more than their reads cost the
/// store.
const SERVERS_MAX: usize = 12;

/// Changes kept for telling; more come only when a whole list is read.
const KEPT_MAX: usize = 8;

/// One change of the servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerChange {
    /// What the servers came to before.
    from: u64,
    /// What they come to now.
    to: u64,
    /// Version of the list.
    version: u64,
    set: Vec<BackendServer>,
    removed: Vec<BackendServerId>,
}

impl ServerChange {
    /// What changed between two listings; `None` when it is nothing, or too much for a message.
    pub fn between(before: &Listing, after: &Listing) -> Option<Self> {
        let is_news = |server: &&Arc<BackendServer>| before.servers.get(&server.id) != Some(server);
        let set: Vec<BackendServer> =
            after.servers.values().filter(is_news).map(|server| server.as_ref().clone()).collect();
        let is_gone = |id: &&BackendServerId| !after.servers.contains_key(*id);
        let removed: Vec<BackendServerId> = before.servers.keys().filter(is_gone).cloned().collect();
        let named = set.len() + removed.len();
        (1..=SERVERS_MAX).contains(&named).then(|| Self {
            from: digest(before),
            to: digest(after),
            version: after.version,
            set,
            removed,
        })
    }

    /// What the servers come to after this change.
    pub fn digest(&self) -> u64 {
        self.to
    }

    /// The listing after this change; `None` when it is not a change of `known`.
    pub fn applied(self, known: &Listing) -> Option<Listing> {
        if known.version == 0 || digest(known) != self.from {
            return None;
        }
        let mut listing = known.clone();
        listing.version = listing.version.max(self.version);
        for id in &self.removed {
            listing.servers.remove(id);
        }
        let named = self.set.into_iter().map(|server| (server.id.clone(), Arc::new(server)));
        listing.servers.extend(named);
        (digest(&listing) == self.to).then_some(listing)
    }
}

/// Changes that are still to be told.
#[derive(Debug, Default)]
pub struct News {
    untold: Mutex<Vec<(u8, ServerChange)>>,
}

impl News {
    /// Takes a change that was read here.
    pub fn note(&self, change: ServerChange) {
        let mut untold = self.untold.lock();
        if untold.len() < KEPT_MAX {
            untold.push((TELLINGS, change));
        }
    }

    /// What goes into the next message, oldest first.
    pub fn next(&self) -> Vec<ServerChange> {
        let mut untold = self.untold.lock();
        let next = untold.iter().map(|(_, change)| change.clone()).collect();
        for (left, _) in untold.iter_mut() {
            *left -= 1;
        }
        untold.retain(|(left, _)| *left > 0);
        next
    }
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
