//! The directory of backend servers: the platform's host list, combined with newer information on which servers are
//! leaving.
//!
//! The list lags by several seconds. A server that refuses work because it is leaving is treated as leaving
//! immediately, by this daemon and by the daemons that it notifies, so that it receives no new work while the list
//! still shows it as live.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::{BackendServerId, DataCentreId, HostId, ModelId, RegionId};
use hibiscusvale_core::servers::Servers;
pub use hibiscusvale_core::servers::{BackendKind, BackendServer};
use hibiscusvale_core::units::{Millis, MonoTime};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::external::{
    EngineRole, HostList, HostListChange, HostListPage, ListedHost, ListedKind, ListedState,
};

/// Long-poll wait for a list read without changes.
const LIST_WAIT_MS: Millis = Millis(5_000);

/// Delay after a failed read of the list. The list changes at most some thousand times a day.
const LIST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay after an answer without changes. The long poll usually delays such an answer by seconds already.
const UNCHANGED_DELAY: Duration = Duration::from_millis(100);

/// How long a server is treated as leaving although the list still shows it as live. The list lags by seconds. A
/// server that is restarted under the same name within this time receives no work until the time has passed.
const LEAVING_TTL_MS: Millis = Millis(30_000);

/// An entry host in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EntryHost {
    /// Name.
    pub id: HostId,
    /// Address of its daemon for callers.
    pub callers_address: SocketAddr,
    /// Address of its daemon for other daemons.
    pub peer_address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Region.
    pub region: RegionId,
    /// State according to the list.
    pub listed: ListedState,
}

/// The platform's list at one version.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Version of the list; zero before the first read.
    pub version: u64,
    /// Backend servers by name.
    pub servers: Servers,
    /// Entry hosts.
    pub entry_hosts: Vec<EntryHost>,
    /// Models served by any listed engine, kept because each request looks up its model and the list has thousands
    /// of engines.
    pub models: HashSet<ModelId>,
}

impl Listing {
    /// Creates a listing from the full list.
    pub fn new(version: u64, entries: Vec<ListedHost>) -> Self {
        let mut listing = Self { version, ..Self::default() };
        for entry in entries {
            listing.add(entry);
        }
        listing
    }

    /// The listing after a change. Unchanged servers are shared with the old listing.
    #[must_use]
    pub fn changed(&self, version: u64, set: Vec<ListedHost>, remove: &[BackendServerId]) -> Self {
        let mut listing = Self { version, ..self.clone() };
        for id in remove.iter().chain(set.iter().map(|entry| &entry.id)) {
            listing.entry_hosts.retain(|entry| entry.id.as_str() != id.as_str());
        }
        for id in remove {
            listing.servers.remove(id);
        }
        for entry in set {
            listing.add(entry);
        }
        listing
    }

    fn add(&mut self, entry: ListedHost) {
        let kind = match entry.kind {
            ListedKind::Entry => return self.add_entry_host(entry),
            ListedKind::Engine => BackendKind::Engine {
                service: entry.service,
                role: entry.role.unwrap_or(EngineRole::Decode),
                models: entry.models,
                slots_total: entry.slots_total,
                link_bytes_per_s: entry.link_bytes_per_s,
                checks_fencing: entry.checks_fencing,
            },
            ListedKind::Plain => {
                BackendKind::Plain { service: entry.service.unwrap_or_default(), capacity: entry.slots_total }
            }
        };
        let server = BackendServer {
            id: entry.id,
            lifetime: entry.lifetime,
            version: entry.version,
            address: entry.address,
            data_centre: entry.data_centre,
            region: entry.region,
            listed: entry.state,
            kind,
        };
        if self.servers.get(&server.id).is_some_and(|known| **known == server) {
            return;
        }
        self.servers.insert(Arc::new(server));
    }

    fn add_entry_host(&mut self, entry: ListedHost) {
        let (Some(peer_address), Ok(id)) = (entry.peer_address, entry.id.as_str().parse()) else {
            return;
        };
        self.entry_hosts.push(EntryHost {
            id,
            callers_address: entry.address,
            peer_address,
            data_centre: entry.data_centre,
            region: entry.region,
            listed: entry.state,
        });
    }
}

/// The current listing and the servers reported as leaving, shared by control and traffic threads.
#[derive(Debug, Default)]
pub struct Directory {
    listing: ArcSwap<Listing>,
    version: watch::Sender<u64>,
    leaving_until_us: Mutex<HashMap<BackendServerId, MonoTime>>,
}

impl Directory {
    /// Current listing.
    pub fn listing(&self) -> Arc<Listing> {
        self.listing.load_full()
    }

    /// Replaces the listing. Its version may be lower: the platform may have reset its host list.
    pub fn adopt(&self, mut listing: Listing) {
        listing.models = served_models(&listing.servers);
        let version = listing.version;
        self.listing.store(Arc::new(listing));
        self.version.send_replace(version);
    }

    /// Applies the result of a list read. An empty list is ignored: a host list that has lost its contents would
    /// otherwise remove every server at once. Servers that are really gone show up as failed calls.
    pub fn apply(&self, page: HostListPage) {
        let known = self.listing();
        match page.change {
            HostListChange::Full(entries) if entries.is_empty() && known.version > 0 => {}
            HostListChange::Full(entries) => self.adopt(Listing::new(page.version, entries)),
            HostListChange::Some { set, remove } => {
                if !(set.is_empty() && remove.is_empty() && page.version == known.version) {
                    self.adopt(known.changed(page.version, set, &remove));
                }
            }
        }
    }

    /// Request address of a server; `None` if it is not listed.
    pub fn address_of(&self, server: &BackendServerId) -> Option<SocketAddr> {
        self.listing().servers.get(server).map(|server| server.address)
    }

    /// Notifies when the listing's version changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Marks a server as leaving, after a report or an observation that it is. Returns false if it was marked
    /// already.
    pub fn mark_leaving(&self, now_us: MonoTime, server: &BackendServerId) -> bool {
        let mut leaving = self.leaving_until_us.lock();
        leaving.retain(|_, until_us| *until_us > now_us);
        leaving.insert(server.clone(), now_us + LEAVING_TTL_MS).is_none()
    }

    /// Clears the leaving mark of a server.
    pub fn clear_leaving(&self, server: &BackendServerId) {
        self.leaving_until_us.lock().remove(server);
    }

    /// Whether a server may receive new work.
    pub fn accepts_work(&self, now_us: MonoTime, server: &BackendServer) -> bool {
        if server.listed == ListedState::Leaving {
            return false;
        }
        self.leaving_until_us.lock().get(&server.id).is_none_or(|until_us| *until_us <= now_us)
    }
}

fn served_models(servers: &Servers) -> HashSet<ModelId> {
    let models = servers.values().flat_map(|server| match &server.kind {
        BackendKind::Engine { models, .. } => models.as_slice(),
        BackendKind::Plain { .. } => &[],
    });
    models.cloned().collect()
}

/// Follows the platform's list until the task is dropped. While the list cannot be read, the last version stays in
/// force: a data centre cut off from the platform keeps using the servers it knows.
pub async fn follow<List>(list: Arc<List>, directory: Arc<Directory>)
where
    List: HostList + ?Sized,
{
    loop {
        let known = directory.listing().version;
        match list.read(known, LIST_WAIT_MS).await {
            Ok(page) => {
                directory.apply(page);
                // Avoids a busy loop if the host list answers immediately without changes.
                if directory.listing().version == known {
                    tokio::time::sleep(UNCHANGED_DELAY).await;
                }
            }
            Err(_) => tokio::time::sleep(LIST_RETRY_DELAY).await,
        }
    }
}
