//! A plan of stand-ins that one process runs, and the addresses that they got.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::engine::{Engine, EngineHandle, EngineSettings, Role};
use crate::hosts::{HostEntry, HostList, HostListHandle, HostListSettings, Kind, ListedState};
use crate::log::{LogHandle, LogService, LogSettings};
use crate::plain::{PlainHandle, PlainService, PlainSettings};
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
        let hosts = HostList::start(list).await?;
        let addresses = Addresses {
            log: log.address,
            hosts: hosts.address,
            weights: weights.address,
            backend_servers: entries,
        };
        Ok(Running {
            log,
            hosts,
            weights,
            engines,
            plain,
            addresses,
        })
    }
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
