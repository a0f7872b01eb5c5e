//! Settings of a daemon that relays by a table of routes.

use std::net::SocketAddr;
use std::path::Path;

use hibiscusvale_core::units::{Bytes, Millis};
use serde::Deserialize;

use crate::settings::{HostSettings, ObserveSettings, SettingsError, parse_toml};

/// All settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Who this daemon is.
    pub host: HostSettings,
    /// Where it listens.
    pub listen: RelayListenSettings,
    /// Where it learns routes and servers.
    pub store: StoreSettings,
    /// The other daemons.
    #[serde(default)]
    pub peers: RelayPeerSettings,
    /// What the installation allows.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// What the host gives.
    #[serde(default)]
    pub capacity: CapacitySettings,
    /// What the daemon tells about itself.
    #[serde(default)]
    pub observe: ObserveSettings,
}

impl RelaySettings {
    /// Reads and checks the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when the file cannot be read or says something that cannot stand.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        Self::parse(&text)
    }

    /// Checks settings given as TOML text.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] with every problem found.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        parse_toml(text)
    }
}

/// Addresses that a relaying daemon listens on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayListenSettings {
    /// For callers, behind the balancer.
    pub callers: SocketAddr,
    /// For the balancer's question whether the daemon takes callers.
    pub readiness: SocketAddr,
    /// For other daemons, over UDP.
    pub peers: SocketAddr,
    /// For operators and scraping.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Where routes and servers are learned.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// How to find other daemons where the store does not tell.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayPeerSettings {
    /// Some hosts with daemons; they may be gone by now. The port does not count: daemons listen to each other on the
    /// same port everywhere.
    pub seeds: Vec<SocketAddr>,
}

/// What the installation allows.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Time between SIGTERM and SIGKILL.
    pub grace_ms: Millis,
    /// Time in which a leaving server must be known everywhere.
    pub drain_ms: Millis,
    /// Further tries that all daemons together may make for each request of a service.
    pub retry_ratio: f64,
    /// Further tries that all daemons together may make beyond that, in a window of some seconds.
    pub retry_slack: u64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self { grace_ms: Millis(8_000), drain_ms: Millis(2_000), retry_ratio: 0.1, retry_slack: 20 }
    }
}

/// What the host gives to the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CapacitySettings {
    /// Memory; the process is killed beyond.
    pub memory: Bytes,
    /// Descriptors.
    pub descriptors: usize,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self { memory: Bytes(256 << 20), descriptors: 4_096 }
    }
}
