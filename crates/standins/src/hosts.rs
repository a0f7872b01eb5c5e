//! The stand-in for the platform's lagging list of hosts.

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

use crate::control::{Faults, Steer};
use crate::engine::Role;
use crate::http::{Body, Handler, bad_request, json, not_found, query_number, read_json, serve};

/// What runs on a host.
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

/// Whether a host is to get new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It takes work.
    #[default]
    Live,
    /// It finishes what it has.
    Leaving,
}

/// One entry of the list, as `docs/INTERFACES.md` states it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct HostEntry {
    /// Its name.
    pub id: String,
    /// What runs there.
    pub kind: Kind,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where an entry host takes messages of others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Who brings it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub partner: Option<String>,
    /// Whether it takes work.
    #[serde(default)]
    pub state: ListedState,
    /// The service of a plain instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Models of an engine.
    #[serde(default)]
    pub models: Vec<String>,
    /// Role of an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    /// Slots of an engine, or calls at once of a plain instance.
    #[serde(default)]
    pub slots_total: u64,
    /// Whether an engine refuses old fencing numbers.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Rate of an engine's link.
    #[serde(default)]
    pub link_bytes_per_s: u64,
}

/// A change of the list, the body of `POST /standin/hosts`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostChange {
    /// Entries to add or replace.
    pub set: Vec<HostEntry>,
    /// Names to take out.
    pub remove: Vec<String>,
}

/// How a host list is built.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListSettings {
    /// Where it listens; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// How late changes become visible.
    pub lag_ms: u64,
    /// What it lists at first.
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

/// Changes that are remembered; a reader further behind gets the whole list.
const KEPT_CHANGES: usize = 256;

/// The list and what changed of late.
#[derive(Debug, Default)]
struct Listed {
    entries: BTreeMap<String, HostEntry>,
    changes: VecDeque<(u64, HostChange)>,
}

impl Listed {
    /// What a reader that knows the list at `after` lacks, one change after the other; `None` if it is too far
    /// behind.
    fn since(&self, after: u64, version: u64) -> Option<HostChange> {
        let behind = usize::try_from(version.checked_sub(after)?).ok()?;
        let first = self.changes.len().checked_sub(behind)?;
        let mut whole = HostChange::default();
        for (_, change) in self.changes.iter().skip(first) {
            whole.set.retain(|entry| !change.remove.contains(&entry.id));
            whole.remove.retain(|id| !change.set.iter().any(|entry| entry.id == *id));
            whole.set.extend(change.set.iter().cloned());
            whole.remove.extend(change.remove.iter().cloned());
        }
        Some(whole)
    }
}

/// A stand-in host list.
#[derive(Debug)]
pub struct HostList {
    settings: HostListSettings,
    faults: Arc<Faults>,
    listed: Mutex<Listed>,
    version: watch::Sender<u64>,
}

/// A running host list, to change and steer.
#[derive(Clone, Debug)]
pub struct HostListHandle {
    /// Where it listens.
    pub address: SocketAddr,
    list: Arc<HostList>,
}

impl HostListHandle {
    /// Changes the list; readers see it after the lag.
    pub fn change(&self, change: HostChange) {
        self.list.change_late(change);
    }

    /// Brings about a failure or ends it.
    pub fn steer(&self, order: &Steer) {
        self.list.faults.steer(order);
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
            listed: Mutex::new(Listed { entries: entries.collect(), ..Listed::default() }),
            faults: Arc::default(),
            version: watch::Sender::new(1),
            settings,
        });
        let faults = Arc::clone(&list.faults);
        let address = serve(list.settings.address, Arc::clone(&list), faults).await?;
        Ok(HostListHandle { address, list })
    }

    fn change_late(self: &Arc<Self>, change: HostChange) {
        let visible_at = Instant::now() + Duration::from_millis(self.settings.lag_ms);
        let list = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(visible_at).await;
            let mut listed = list.listed.lock();
            for id in &change.remove {
                listed.entries.remove(id);
            }
            listed.entries.extend(change.set.iter().map(|entry| (entry.id.clone(), entry.clone())));
            list.version.send_modify(|version| *version += 1);
            listed.changes.push_back((*list.version.borrow(), change));
            if listed.changes.len() > KEPT_CHANGES {
                listed.changes.pop_front();
            }
        });
    }

    async fn read(&self, request: &Request<Incoming>) -> Response<Body> {
        if self.faults.is_outage() {
            return json(StatusCode::SERVICE_UNAVAILABLE, &());
        }
        let after = query_number(request, "after").unwrap_or_default();
        let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or_default());
        let mut version = self.version.subscribe();
        // Running out of time is an answer too: nothing changed.
        let _ = timeout(wait, version.wait_for(|version| *version != after)).await;
        let listed = self.listed.lock();
        let version = *self.version.borrow();
        let page = match listed.since(after, version).filter(|_| after > 0) {
            Some(change) => Page { version, change, ..Page::default() },
            None => {
                Page { version, entries: Some(listed.entries.values().cloned().collect()), ..Page::default() }
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
                        self.change_late(change.clone());
                        json(StatusCode::OK, &change)
                    }
                    Err(error) => bad_request(&error),
                },
                _ => not_found(),
            }
        })
    }
}
