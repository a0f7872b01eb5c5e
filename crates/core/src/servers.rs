//! Backend servers as the platform lists them, and sets of them with an incrementally maintained digest.

use std::collections::HashMap;
use std::collections::hash_map::{Keys, Values};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::ops::Index;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendServerId, DataCentreId, Lifetime, ModelId, RegionId, SoftwareVersion};
use crate::units::BytesPerSecond;

/// Whether a listed host accepts new work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Accepts new work.
    Live,
    /// Finishes its current work and accepts no more.
    Leaving,
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Processes prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Kind of a backend server.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum BackendKind {
    /// A model engine.
    Engine {
        /// Service that it belongs to; set if requests are routed by service.
        service: Option<String>,
        /// Its role.
        role: EngineRole,
        /// Loaded models.
        models: Vec<ModelId>,
        /// Decode slots.
        slots_total: u32,
        /// Bandwidth of its transfer link.
        link_bytes_per_s: BytesPerSecond,
        /// Whether it rejects orders with an old fencing number.
        checks_fencing: bool,
    },
    /// An instance of a plain service.
    Plain {
        /// Name of the service.
        service: String,
        /// Maximum number of concurrent requests.
        capacity: u32,
    },
}

impl BackendKind {
    /// Service that it belongs to; `None` for an engine that is not routed to by service.
    pub fn service(&self) -> Option<&str> {
        match self {
            Self::Engine { service, .. } => service.as_deref(),
            Self::Plain { service, .. } => Some(service),
        }
    }
}

/// A backend server in the platform's list.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct BackendServer {
    /// Name.
    pub id: BackendServerId,
    /// Its current run; `None` where an id is never used again.
    pub lifetime: Option<Lifetime>,
    /// Version of the software of that run.
    pub version: SoftwareVersion,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Region.
    pub region: RegionId,
    /// State according to the list.
    pub listed: ListedState,
    /// Kind of server, with its properties.
    pub kind: BackendKind,
}

impl BackendServer {
    /// Whether another daemon's entry shows the same. The region is left out, since each daemon sets its own for servers of
    /// which the platform states none.
    pub fn is_same_entry(&self, other: &Self) -> bool {
        let Self { id, lifetime, version, address, data_centre, listed, kind, .. } = self;
        (id, lifetime, version, address, data_centre, listed, kind)
            == (
                &other.id,
                &other.lifetime,
                &other.version,
                &other.address,
                &other.data_centre,
                &other.listed,
                &other.kind,
            )
    }

    /// Role or leaving state, for logs.
    pub fn state_label(&self) -> &'static str {
        match (&self.kind, self.listed) {
            (_, ListedState::Leaving) => "leaving",
            (BackendKind::Engine { role: EngineRole::Prefill, .. }, _) => "prefill",
            (BackendKind::Engine { role: EngineRole::Decode, .. }, _) => "decode",
            (BackendKind::Plain { .. }, _) => "plain",
        }
    }
}

/// Backend servers by name, with a digest that is updated on each change.
///
/// Daemons compare their sets of servers by digest on each message and each change. With thousands of servers, a
/// few of which change each second, computing the digest from all servers each time takes most of the CPU of a
/// small host.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    by_name: HashMap<BackendServerId, Arc<BackendServer>>,
    /// Wrapping sum of the servers' hashes, so that adding or removing a server does not rehash the others.
    digest: u64,
}

impl Servers {
    /// Digest of the set of servers, independent of the order in which they were added.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Inserts a server, replacing any server with the same name.
    pub fn insert(&mut self, server: Arc<BackendServer>) {
        let added = server_hash(&server);
        if let Some(replaced) = self.by_name.insert(server.id.clone(), server) {
            self.digest = self.digest.wrapping_sub(server_hash(&replaced));
        }
        self.digest = self.digest.wrapping_add(added);
    }

    /// Removes a server, if present.
    pub fn remove(&mut self, id: &BackendServerId) {
        if let Some(removed) = self.by_name.remove(id) {
            self.digest = self.digest.wrapping_sub(server_hash(&removed));
        }
    }

    /// Returns the server with this name.
    pub fn get(&self, id: &BackendServerId) -> Option<&Arc<BackendServer>> {
        self.by_name.get(id)
    }

    /// Whether a server with this name exists.
    pub fn contains_key(&self, id: &BackendServerId) -> bool {
        self.by_name.contains_key(id)
    }

    /// All servers, in arbitrary order.
    pub fn values(&self) -> Values<'_, BackendServerId, Arc<BackendServer>> {
        self.by_name.values()
    }

    /// All server names, in arbitrary order.
    pub fn keys(&self) -> Keys<'_, BackendServerId, Arc<BackendServer>> {
        self.by_name.keys()
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Servers that are missing from `before` or differ from their entry there.
    pub fn changed_since<'a>(&'a self, before: &'a Self) -> impl Iterator<Item = &'a Arc<BackendServer>> {
        self.values().filter(|server| {
            before
                .get(&server.id)
                .is_none_or(|previous| !Arc::ptr_eq(previous, server) && previous != *server)
        })
    }

    /// Names of servers that are in `before` but not in `self`.
    pub fn removed_since<'a>(&'a self, before: &'a Self) -> impl Iterator<Item = &'a BackendServerId> {
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

/// Hash of one server, which is identical in all daemons of the same build; without the region, as
/// [`BackendServer::is_same_entry`].
fn server_hash(server: &BackendServer) -> u64 {
    let BackendServer { id, lifetime, version, address, data_centre, listed, kind, .. } = server;
    let mut hasher = DefaultHasher::new();
    (id, lifetime, version, address, data_centre, listed, kind).hash(&mut hasher);
    hasher.finish()
}
