//! Settings of a daemon, read from TOML.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hibiscusvale_core::ids::{DataCentreId, HostId, PartnerId, RegionId};
use hibiscusvale_core::units::{Bytes, Millis};
use serde::Deserialize;

/// All settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who this daemon is.
    pub host: HostSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// The other daemons.
    pub peers: PeerSettings,
    /// The organisations that send requests.
    #[serde(default)]
    pub partners: BTreeMap<PartnerId, PartnerSettings>,
    /// Path prefixes of plain services.
    #[serde(default)]
    pub routes: Vec<RouteSettings>,
    /// Bounds on what callers send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Traffic threads.
    #[serde(default)]
    pub traffic: TrafficSettings,
}

/// Who a daemon is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host; stays the same when the host is replaced under the same address.
    pub id: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers, behind the platform's balancer.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators and scraping; not reachable by callers.
    pub operators: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log.
    pub log: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

/// How to find and trust other daemons.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Addresses to ask first; the host list and the peers themselves give the rest.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Key of the message authentication code, 64 hex digits, the same on all daemons.
    pub key: String,
}

/// What is known of a partner without the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSettings {
    /// BLAKE3 hashes of its bearer tokens, 64 hex digits each.
    pub token_hashes: Vec<String>,
    /// Ed25519 key that its configuration records are signed with, 64 hex digits.
    pub publish_key: String,
}

/// Sends requests whose path starts with `prefix` to a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// Start of the path.
    pub prefix: String,
    /// Name of the service in the host list.
    pub service: String,
}

/// Bounds on what callers send.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body.
    pub body_bytes: Bytes,
    /// Largest request head.
    pub head_bytes: Bytes,
    /// Time for a request head to arrive.
    pub head_timeout_ms: Millis,
    /// Time for a request body to arrive.
    pub body_timeout_ms: Millis,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: Bytes(4 << 20),
            head_bytes: Bytes(32 << 10),
            head_timeout_ms: Millis(5_000),
            body_timeout_ms: Millis(15_000),
        }
    }
}

/// Threads that carry traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// Number of threads.
    pub threads: usize,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self { threads: 2 }
    }
}
