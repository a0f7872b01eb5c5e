//! Plan of the mock servers run by one process, and their bound addresses.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::engine::{Engine, EngineHandle, EngineSettings, Role};
use crate::hosts::{HostEntry, HostList, HostListHandle, HostListSettings, HostState, Kind};
use crate::log::{LogHandle, LogService, LogSettings};
use crate::plain::{PlainHandle, PlainService, PlainSettings};
use crate::ports;
use crate::weights::{WeightHandle, WeightSettings, WeightStore};

/// Mock servers run by one process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// The append-only log.
    pub log: LogSettings,
    /// The host list; the plan's engines and plain instances are added to it.
    pub hosts: HostListSettings,
    /// The weight store.
    pub weights: WeightSettings,
    /// Groups of engines.
    pub engines: Vec<EngineGroup>,
    /// Groups of plain service instances.
    pub plain: Vec<PlainGroup>,
    /// Entry hosts whose daemons run in other processes; their ports are selected here.
    pub entry_hosts: Vec<Placement>,
}

/// Location and owner of a group of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Name prefix, followed by a number.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// The region.
    pub region: String,
    /// Partner that owns the group.
    #[serde(default)]
    pub partner: String,
    /// Number of servers.
    #[serde(default = "default_count")]
    pub count: usize,
}

fn default_count() -> usize {
    1
}

/// A group of engines with the same configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// Location of the group.
    pub place: Placement,
    /// Configuration of each server.
    #[serde(default)]
    pub settings: EngineSettings,
}

/// A group of plain service instances with the same configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainGroup {
    /// Location of the group.
    pub place: Placement,
    /// Configuration of each server.
    #[serde(default)]
    pub settings: PlainSettings,
}

/// Addresses of all running servers, as written by `--addresses`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Addresses {
    /// The log.
    pub log: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// Engines and plain instances, as in the host list.
    pub backend_servers: Vec<HostEntry>,
    /// Addresses reserved for daemons.
    #[serde(default)]
    pub entry_hosts: Vec<EntryHost>,
}

/// Addresses reserved for one daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryHost {
    /// Name of the host.
    pub id: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for other daemons.
    pub peers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
}

/// Handles of all running servers.
#[derive(Debug)]
pub struct RunningPlan {
    /// The log.
    pub log: LogHandle,
    /// The host list.
    pub hosts: HostListHandle,
    /// The weight store.
    pub weights: WeightHandle,
    /// Engines with their names.
    pub engines: Vec<(String, EngineHandle)>,
    /// Plain instances with their names.
    pub plain: Vec<(String, PlainHandle)>,
    /// Addresses of the servers.
    pub addresses: Addresses,
}

impl Plan {
    /// Starts all servers of the plan.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn start(self) -> io::Result<RunningPlan> {
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
        Ok(RunningPlan { log, hosts, weights, engines, plain, addresses })
    }
}

fn reserve_entry_hosts(places: &[Placement]) -> io::Result<Vec<EntryHost>> {
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
            state: HostState::Live,
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

impl Placement {
    fn entry(&self, number: usize, kind: Kind, address: SocketAddr) -> HostEntry {
        HostEntry {
            id: format!("{}-{number}", self.name),
            kind,
            address,
            peer_address: None,
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            partner: Some(self.partner.clone()),
            state: HostState::Live,
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
