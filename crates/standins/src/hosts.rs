//! Mock of the platform's host list, which lags behind changes.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::control::{FaultUpdate, Faults};
use crate::engine::Role;
use crate::http::{Body, Handler, bad_request, json, not_found, query_number, read_json, serve};

/// Kind of server on a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A daemon.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service instance.
    Plain,
}

/// Whether a host accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Accepts new work.
    #[default]
    Live,
    /// Drains: finishes current work only.
    Leaving,
}

/// An entry of the host list, as specified in `docs/INTERFACES.md`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct HostEntry {
    /// Name of the host.
    pub id: String,
    /// Kind of server.
    pub kind: Kind,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for messages between daemons; entry hosts only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Partner that owns the host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub partner: Option<String>,
    /// Whether the host accepts new work.
    #[serde(default)]
    pub state: HostState,
    /// Service name; plain instances only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Loaded models; engines only.
    #[serde(default)]
    pub models: Vec<String>,
    /// Role; engines only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    /// Decode slots of an engine, or concurrent calls of a plain instance.
    #[serde(default)]
    pub slots_total: u64,
    /// Whether an engine rejects stale fencing tokens.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Link bandwidth of an engine.
    #[serde(default)]
    pub link_bytes_per_s: u64,
}

/// Update of the host list; body of `POST /standin/hosts`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostChange {
    /// Entries to add or replace.
    pub set: Vec<HostEntry>,
    /// Names of the hosts to remove.
    pub remove: Vec<String>,
}

/// Configuration of a host list.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListSettings {
    /// Listen address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Delay until changes become visible.
    pub lag_ms: u64,
    /// Initial entries.
    pub entries: Vec<HostEntry>,
}

impl Default for HostListSettings {
    fn default() -> Self {
        Self { address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), lag_ms: 500, entries: Vec::new() }
    }
}

#[derive(Debug, Default, Serialize)]
struct Page {
    version: u64,
    entries: Option<Vec<HostEntry>>,
    #[serde(flatten)]
    change: HostChange,
}

/// Maximum number of retained changes; a reader further behind gets the full list.
const MAX_CHANGES: usize = 256;

/// Current entries and recent changes.
#[derive(Debug, Default)]
struct HostTable {
    entries: BTreeMap<String, HostEntry>,
    changes: VecDeque<(u64, HostChange)>,
}

impl HostTable {
    /// Merges the changes since version `after`; `None` if they are no longer retained.
    fn since(&self, after: u64, version: u64) -> Option<HostChange> {
        let behind = usize::try_from(version.checked_sub(after)?).ok()?;
        let first = self.changes.len().checked_sub(behind)?;
        let mut merged = HostChange::default();
        for (_, change) in self.changes.iter().skip(first) {
            merged.set.retain(|entry| !change.remove.contains(&entry.id));
            merged.remove.retain(|id| !change.set.iter().any(|entry| entry.id == *id));
            merged.set.extend(change.set.iter().cloned());
            merged.remove.extend(change.remove.iter().cloned());
        }
        Some(merged)
    }
}

/// A mock host list.
#[derive(Debug)]
pub struct HostList {
    settings: HostListSettings,
    faults: Arc<Faults>,
    table: Mutex<HostTable>,
    version: watch::Sender<u64>,
}

/// Handle of a running host list.
#[derive(Clone, Debug)]
pub struct HostListHandle {
    /// Bound address.
    pub address: SocketAddr,
    list: Arc<HostList>,
}

impl HostListHandle {
    /// Updates the list; readers see the change after `lag_ms`.
    pub fn change(&self, change: HostChange) {
        self.list.apply_after_lag(change);
    }

    /// Applies an update of the injected faults.
    pub fn update_faults(&self, update: &FaultUpdate) {
        self.list.faults.update_faults(update);
    }
}

impl HostList {
    /// Starts a host list.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(settings: HostListSettings) -> io::Result<HostListHandle> {
        let entries = settings.entries.iter().map(|entry| (entry.id.clone(), entry.clone()));
        let list = Arc::new(Self {
            table: Mutex::new(HostTable { entries: entries.collect(), ..HostTable::default() }),
            faults: Arc::default(),
            version: watch::Sender::new(1),
            settings,
        });
        let faults = Arc::clone(&list.faults);
        let address = serve(list.settings.address, Arc::clone(&list), faults).await?;
        Ok(HostListHandle { address, list })
    }

    fn apply_after_lag(self: &Arc<Self>, change: HostChange) {
        let visible_at = Instant::now() + Duration::from_millis(self.settings.lag_ms);
        let list = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(visible_at).await;
            let mut table = list.table.lock();
            for id in &change.remove {
                table.entries.remove(id);
            }
            table.entries.extend(change.set.iter().map(|entry| (entry.id.clone(), entry.clone())));
            list.version.send_modify(|version| *version += 1);
            table.changes.push_back((*list.version.borrow(), change));
            if table.changes.len() > MAX_CHANGES {
                table.changes.pop_front();
            }
        });
    }

    async fn read(&self, request: &Request<Incoming>) -> Response<Body> {
        if self.faults.is_unavailable() {
            return json(StatusCode::SERVICE_UNAVAILABLE, &());
        }
        let after = query_number(request, "after").unwrap_or_default();
        let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or_default());
        let mut version = self.version.subscribe();
        // After the timeout the current version is returned, without changes.
        let _ = timeout(wait, version.wait_for(|version| *version != after)).await;
        let table = self.table.lock();
        let version = *self.version.borrow();
        let page = match table.since(after, version).filter(|_| after > 0) {
            Some(change) => Page { version, change, ..Page::default() },
            None => {
                Page { version, entries: Some(table.entries.values().cloned().collect()), ..Page::default() }
            }
        };
        json(StatusCode::OK, &page)
    }
}

impl Handler for HostList {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match request.uri().path() {
                "/hosts" => self.read(&request).await,
                "/standin/hosts" => match read_json::<HostChange>(request).await {
                    Ok(change) => {
                        self.apply_after_lag(change.clone());
                        json(StatusCode::OK, &change)
                    }
                    Err(error) => bad_request(&error),
                },
                _ => not_found(),
            }
        })
    }
}
