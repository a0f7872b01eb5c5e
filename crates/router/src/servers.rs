//! Backend servers by name, with a digest that costs nothing to read.

use std::collections::HashMap;
use std::collections::hash_map::{Keys, Values};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Index;
use std::sync::Arc;

use hibiscusvale_core::ids::BackendServerId;

use crate::directory::BackendServer;

/// Backend servers by name.
///
/// Load: thousands of servers, of which a few change each second. Harm prevented: two daemons compare what they know by a
/// digest with each message and each change; made anew from all servers, it takes most of a small host's processor.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    by_name: HashMap<BackendServerId, Arc<BackendServer>>,
    /// Sum of the servers' hashes, so that one server is added and taken away alone.
    digest: u64,
}

impl Servers {
    /// What the servers come to: the same for the same servers, whatever was read when.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Adds a server, or replaces the one of that name.
    pub fn insert(&mut self, server: Arc<BackendServer>) {
        let added = hash_of(&server);
        if let Some(replaced) = self.by_name.insert(server.id.clone(), server) {
            self.digest = self.digest.wrapping_sub(hash_of(&replaced));
        }
        self.digest = self.digest.wrapping_add(added);
    }

    /// Removes a server.
    pub fn remove(&mut self, id: &BackendServerId) {
        if let Some(removed) = self.by_name.remove(id) {
            self.digest = self.digest.wrapping_sub(hash_of(&removed));
        }
    }

    /// The server of this name.
    pub fn get(&self, id: &BackendServerId) -> Option<&Arc<BackendServer>> {
        self.by_name.get(id)
    }

    /// Whether there is a server of this name.
    pub fn contains_key(&self, id: &BackendServerId) -> bool {
        self.by_name.contains_key(id)
    }

    /// All servers, in no order.
    pub fn values(&self) -> Values<'_, BackendServerId, Arc<BackendServer>> {
        self.by_name.values()
    }

    /// All names, in no order.
    pub fn keys(&self) -> Keys<'_, BackendServerId, Arc<BackendServer>> {
        self.by_name.keys()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Servers that are not, or not so, in `before`.
    pub fn changed_since<'a>(&'a self, before: &'a Self) -> impl Iterator<Item = &'a Arc<BackendServer>> {
        self.values().filter(|server| {
            before.get(&server.id).is_none_or(|was| !Arc::ptr_eq(was, server) && was != *server)
        })
    }

    /// Names that are in `before` only.
    pub fn gone_since<'a>(&'a self, before: &'a Self) -> impl Iterator<Item = &'a BackendServerId> {
        before.keys().filter(|id| !self.contains_key(id))
    }
}

impl FromIterator<Arc<BackendServer>> for Servers {
    fn from_iter<Iter>(iter: Iter) -> Self
    where
        Iter: IntoIterator<Item = Arc<BackendServer>>,
    {
        let mut all = Self::default();
        all.extend(iter);
        all
    }
}

impl Extend<Arc<BackendServer>> for Servers {
    fn extend<Iter>(&mut self, iter: Iter)
    where
        Iter: IntoIterator<Item = Arc<BackendServer>>,
    {
        for server in iter {
            self.insert(server);
        }
    }
}

impl Index<&BackendServerId> for Servers {
    type Output = Arc<BackendServer>;

    fn index(&self, index: &BackendServerId) -> &Self::Output {
        &self.by_name[index]
    }
}

/// The hash of one server. It is the same in all daemons of one build.
fn hash_of(server: &BackendServer) -> u64 {
    let mut hasher = DefaultHasher::new();
    server.hash(&mut hasher);
    hasher.finish()
}
