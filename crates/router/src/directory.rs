//! Which backend servers there are: the platform's list, and the signs that servers themselves gave since.
//!
//! The list lags by some seconds. A server that refuses work because it is leaving is believed at once, here
//! and on the daemons that are told, so that no new work reaches it while the list still calls it live.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::{BackendServerId, DataCentreId, HostId, ModelId, RegionId};
use hibiscusvale_core::units::{BytesPerSecond, Millis, MonoTime};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::external::{
    EngineRole, HostList, HostListChange, HostListPage, ListedHost, ListedKind, ListedState,
};
use crate::servers::Servers;

/// How long the list may hold back its answer when nothing changed.
const LIST_WAIT_MS: Millis = Millis(5_000);

/// Pause after a failed read of the list; the list changes some thousand times a day at most.
const LIST_RETRY: Duration = Duration::from_secs(1);

/// Pause after an answer without news, most of which were held back for seconds.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);

/// How long a leaving sign is believed over a list that still says live. The list lags by seconds; a server
/// that was restarted under the same name within this time waits for its first work that much longer.
const LEAVING_SIGN_MS: Millis = Millis(30_000);

/// What a backend server is.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum BackendKind {
    /// A model engine.
    Engine {
        /// The service that it belongs to, where requests are routed by service.
        service: Option<String>,
        /// What it does.
        role: EngineRole,
        /// Models loaded.
        models: Vec<ModelId>,
        /// Decode slots.
        slots_total: u32,
        /// Rate of its transfer link.
        link_bytes_per_s: BytesPerSecond,
        /// Whether it refuses old fencing numbers.
        checks_fencing: bool,
    },
    /// An instance of a plain service.
    Plain {
        /// The service.
        service: String,
        /// Requests that it takes at a time.
        capacity: u32,
    },
}

/// A backend server as the list has it.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct BackendServer {
    /// Its name.
    pub id: BackendServerId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Whether the list calls it live.
    pub listed: ListedState,
    /// What it is.
    pub kind: BackendKind,
}

impl BackendServer {
    /// What it does or that it leaves, for logs.
    pub fn state_label(&self) -> &'static str {
        match (&self.kind, self.listed) {
            (_, ListedState::Leaving) => "leaving",
            (BackendKind::Engine { role: EngineRole::Prefill, .. }, _) => "prefill",
            (BackendKind::Engine { role: EngineRole::Decode, .. }, _) => "decode",
            (BackendKind::Plain { .. }, _) => "plain",
        }
    }
}

/// An entry host as the list has it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EntryHost {
    /// Its name.
    pub id: HostId,
    /// Where its daemon takes requests of callers.
    pub callers_address: SocketAddr,
    /// Where its daemon takes messages of others.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Whether the list calls it live.
    pub listed: ListedState,
}

/// The list at one version.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Version of the list; zero before the first read.
    pub version: u64,
    /// Backend servers by name.
    pub servers: Servers,
    /// Entry hosts.
    pub entry_hosts: Vec<EntryHost>,
    /// Models that any listed engine serves. Each request asks for one, and the list has thousands of engines.
    pub models: HashSet<ModelId>,
}

impl Listing {
    /// Builds the listing from the whole list.
    pub fn new(version: u64, entries: Vec<ListedHost>) -> Self {
        let mut listing = Self { version, ..Self::default() };
        for entry in entries {
            listing.add(entry);
        }
        listing
    }

    /// The listing after a change. Servers that did not change are shared with this one.
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

/// The listing and the signs, shared by control and traffic.
#[derive(Debug, Default)]
pub struct Directory {
    listing: ArcSwap<Listing>,
    version: watch::Sender<u64>,
    signs_until_us: Mutex<HashMap<BackendServerId, MonoTime>>,
}

impl Directory {
    /// The listing of this moment.
    pub fn listing(&self) -> Arc<Listing> {
        self.listing.load_full()
    }

    /// Puts a new listing in force. There is one reader, so none arrives late; a version below the last one says
    /// that the platform's service was set up anew.
    pub fn adopt(&self, mut listing: Listing) {
        listing.models = models_of(&listing.servers);
        let version = listing.version;
        self.listing.store(Arc::new(listing));
        self.version.send_replace(version);
    }

    /// Takes what a read of the list brought. An empty list is not believed: a service that has lost its contents
    /// would otherwise take every server out of use at once, and what is really gone shows in the calls to it.
    pub fn take(&self, page: HostListPage) {
        let known = self.listing();
        match page.change {
            HostListChange::Full(entries) if entries.is_empty() && known.version > 0 => {}
            HostListChange::Full(entries) => self.adopt(Listing::new(page.version, entries)),
            HostListChange::Some { set, remove } => {
                if !(set.is_empty() && remove.is_empty()) {
                    self.adopt(known.changed(page.version, set, &remove));
                }
            }
        }
    }

    /// Where a server takes requests, if it is listed.
    pub fn address_of(&self, server: &BackendServerId) -> Option<SocketAddr> {
        self.listing().servers.get(server).map(|server| server.address)
    }

    /// Changes with the listing's version.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Notes that a server said, or was seen, to be leaving. Returns whether that was news.
    pub fn note_leaving(&self, now_us: MonoTime, server: &BackendServerId) -> bool {
        let mut signs = self.signs_until_us.lock();
        signs.retain(|_, until_us| *until_us > now_us);
        signs.insert(server.clone(), now_us + LEAVING_SIGN_MS).is_none()
    }

    /// Notes that a server takes work again.
    pub fn note_taking(&self, server: &BackendServerId) {
        self.signs_until_us.lock().remove(server);
    }

    /// Whether a server may get new work.
    pub fn takes_work(&self, now_us: MonoTime, server: &BackendServer) -> bool {
        if server.listed == ListedState::Leaving {
            return false;
        }
        self.signs_until_us.lock().get(&server.id).is_none_or(|until_us| *until_us <= now_us)
    }
}

fn models_of(servers: &Servers) -> HashSet<ModelId> {
    let models = servers.values().flat_map(|server| match &server.kind {
        BackendKind::Engine { models, .. } => models.as_slice(),
        BackendKind::Plain { .. } => &[],
    });
    models.cloned().collect()
}

/// Follows the platform's list for as long as the daemon runs. While the list cannot be read the last one
/// stays in force: a data centre cut off from the platform goes on with the servers it knows.
pub async fn follow<List>(list: Arc<List>, directory: Arc<Directory>)
where
    List: HostList + ?Sized,
{
    loop {
        let known = directory.listing().version;
        match list.read(known, LIST_WAIT_MS).await {
            Ok(page) => {
                directory.take(page);
                // A service that answers at once without news must not be asked in a circle.
                if directory.listing().version == known {
                    tokio::time::sleep(EMPTY_PAUSE).await;
                }
            }
            Err(_) => tokio::time::sleep(LIST_RETRY).await,
        }
    }
}
