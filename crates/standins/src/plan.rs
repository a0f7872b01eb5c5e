//! A plan of stand-ins that one process runs, and the addresses that they got.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::engine::{Engine, EngineHandle, EngineSettings, Role};
use crate::hosts::{HostEntry, HostList, HostListHandle, HostListSettings, Kind, ListedState};
use crate::log::{LogHandle, LogService, LogSettings};
use crate::plain::{PlainHandle, PlainService, PlainSettings};
use crate::ports;
use crate::weights::{WeightHandle, WeightSettings, WeightStore};

/// What one process runs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// The append-only log.
    pub log: LogSettings,
    /// The host list; engines and plain instances of the plan are added to it.
    pub hosts: HostListSettings,
    /// The weight store.
    pub weights: WeightSettings,
    /// Groups of engines.
    pub engines: Vec<EngineGroup>,
    /// Groups of plain service instances.
    pub plain: Vec<PlainGroup>,
    /// Entry hosts whose daemons are started by others on ports that are chosen here.
    pub entry_hosts: Vec<Place>,
}

/// Where a group stands and whose it is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Start of the names; a number follows.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// The region.
    pub region: String,
    /// The partner who brings it.
    #[serde(default)]
    pub partner: String,
    /// How many of them.
    #[serde(default = "one")]
    pub count: usize,
}

fn one() -> usize {
    1
}

/// Engines that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// Where they stand.
    pub place: Place,
    /// How they are built.
    #[serde(default)]
    pub settings: EngineSettings,
}

/// Plain service instances that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainGroup {
    /// Where they stand.
    pub place: Place,
    /// How they are built.
    #[serde(default)]
    pub settings: PlainSettings,
}

/// The addresses of everything that runs, as `--addresses` writes them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Addresses {
    /// The log.
    pub log: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// Engines and plain instances, as the host list shows them.
    pub backend_servers: Vec<HostEntry>,
    /// Addresses set aside for daemons.
    #[serde(default)]
    pub entry_hosts: Vec<EntryHost>,
}

/// Addresses set aside for one daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryHost {
    /// Name of the host.
    pub id: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Everything that runs.
#[derive(Debug)]
pub struct Running {
    /// The log.
    pub log: LogHandle,
    /// The host list.
    pub hosts: HostListHandle,
    /// The weight store.
    pub weights: WeightHandle,
    /// The engines by name.
    pub engines: Vec<(String, EngineHandle)>,
    /// The plain instances by name.
    pub plain: Vec<(String, PlainHandle)>,
    /// Their addresses.
    pub addresses: Addresses,
}

impl Plan {
    /// Starts everything in the plan.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn start(self) -> io::Result<Running> {
        let log = LogService::start(self.log).await?;
        let weights = WeightStore::start(self.weights).await?;
        let mut entries = Vec::new();
        let mut engines = Vec::new();
        for group in self.engines {
            for number in 0..group.place.count {
                let mut settings = group.settings.clone();
                settings.weights = settings.weights.or(Some(weights.address));
                let handle = Engine::start(settings).await?;
                let entry = group.entry(number, handle.address);
                engines.push((entry.id.clone(), handle));
                entries.push(entry);
            }
        }
        let mut plain = Vec::new();
        for group in self.plain {
            for number in 0..group.place.count {
                let handle = PlainService::start(group.settings.clone()).await?;
                let entry = group.entry(number, handle.address);
                plain.push((entry.id.clone(), handle));
                entries.push(entry);
            }
        }
        let mut list = self.hosts;
        list.entries.extend(entries.iter().cloned());
        let entry_hosts = reserve_entry_hosts(&self.entry_hosts)?;
        list.entries.extend(entry_hosts.iter().map(EntryHost::entry));
        let hosts = HostList::start(list).await?;
        let addresses = Addresses {
            log: log.address,
            hosts: hosts.address,
            weights: weights.address,
            backend_servers: entries,
            entry_hosts,
        };
        Ok(Running { log, hosts, weights, engines, plain, addresses })
    }
}

fn reserve_entry_hosts(places: &[Place]) -> io::Result<Vec<EntryHost>> {
    let mut hosts = Vec::new();
    for place in places {
        for number in 0..place.count {
            hosts.push(EntryHost {
                id: format!("{}-{number}", place.name),
                data_centre: place.data_centre.clone(),
                region: place.region.clone(),
                callers: ports::free_address()?,
                peers: ports::free_address()?,
                operators: ports::free_address()?,
            });
        }
    }
    Ok(hosts)
}

impl EntryHost {
    fn entry(&self) -> HostEntry {
        HostEntry {
            id: self.id.clone(),
            kind: Kind::Entry,
            address: self.callers,
            peer_address: Some(self.peers),
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            partner: None,
            state: ListedState::Live,
            service: None,
            models: Vec::new(),
            role: None,
            slots_total: 0,
            checks_fencing: false,
            link_bytes_per_s: 0,
        }
    }
}

impl Addresses {
    /// The addresses as `NAME=ADDRESS` lines for a shell; names in upper case with underscores.
    pub fn to_shell(&self) -> String {
        let mut lines = vec![
            shell_line("log", self.log),
            shell_line("hosts", self.hosts),
            shell_line("weights", self.weights),
        ];
        lines.extend(self.backend_servers.iter().map(|server| shell_line(&server.id, server.address)));
        for host in &self.entry_hosts {
            lines.push(shell_line(&format!("{}_callers", host.id), host.callers));
            lines.push(shell_line(&format!("{}_peers", host.id), host.peers));
            lines.push(shell_line(&format!("{}_operators", host.id), host.operators));
        }
        lines.concat()
    }
}

fn shell_line(name: &str, address: SocketAddr) -> String {
    format!("{}={address}\n", name.to_uppercase().replace('-', "_"))
}

impl Place {
    fn entry(&self, number: usize, kind: Kind, address: SocketAddr) -> HostEntry {
        HostEntry {
            id: format!("{}-{number}", self.name),
            kind,
            address,
            peer_address: None,
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            partner: Some(self.partner.clone()),
            state: ListedState::Live,
            service: None,
            models: Vec::new(),
            role: None,
            slots_total: 0,
            checks_fencing: false,
            link_bytes_per_s: 0,
        }
    }
}

impl EngineGroup {
    fn entry(&self, number: usize, address: SocketAddr) -> HostEntry {
        let settings = &self.settings;
        let role: Role = settings.role;
        HostEntry {
            models: settings.models.clone(),
            role: Some(role),
            slots_total: settings.slots as u64,
            checks_fencing: settings.checks_fencing,
            link_bytes_per_s: settings.link_bytes_per_s,
            ..self.place.entry(number, Kind::Engine, address)
        }
    }
}

impl PlainGroup {
    fn entry(&self, number: usize, address: SocketAddr) -> HostEntry {
        HostEntry {
            service: Some(self.settings.service.clone()),
            slots_total: self.settings.capacity,
            ..self.place.entry(number, Kind::Plain, address)
        }
    }
}
