//! The routing table: which service a request goes to, and what may be done with it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;
use crate::outcome::Repeatability;
use crate::units::{Bytes, Millis};

use super::partners::{Partner, Partners};

/// Version of a routing table. A later one is greater; numbers may be left out.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct TableVersion(pub u64);

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TableVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What kind of answer a route gives, and what may be repeated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum RouteKind {
    /// One answer; running it again does no harm.
    Idempotent,
    /// One answer; it runs at most once.
    AtMostOnce,
    /// A stream of numbered events.
    Stream {
        /// Whether another server may go on behind the last event that arrived.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request of this kind may run more than once.
    pub fn repeatability(self) -> Repeatability {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => Repeatability::Repeatable,
            Self::AtMostOnce | Self::Stream { resumable: false } => Repeatability::AtMostOnce,
        }
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route leads to, and its part of the route's requests.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the destinations of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Route {
    /// Its name, for people.
    pub name: String,
    /// Host that it is for.
    pub host: String,
    /// Path prefix that it is for; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Where its requests go.
    pub destinations: Vec<Destination>,
    /// Servers that may run one request at most.
    pub attempts_max: u32,
    /// Longest that a caller is kept waiting for the whole answer.
    pub timeout_ms: Millis,
    /// Time within which an answer, or its first event, is in time.
    pub target_ms: Millis,
    /// Longest pause between events with which a stream is still in time.
    pub gap_target_ms: Option<Millis>,
    /// Rank; smaller goes first.
    pub priority: u8,
    /// Whether callers without a key are served.
    pub allows_anonymous: bool,
}

impl Route {
    /// The service for the request that `draw` was drawn for: the same draw gives the same service.
    pub fn destination(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.destinations.iter().map(|to| u64::from(to.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for to in &self.destinations {
            let weight = u64::from(to.weight);
            if left < weight {
                return Some(&to.service);
            }
            left -= weight;
        }
        None
    }
}

/// What a service is, as configured.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServiceSpec {
    /// Connections that one of its servers takes of all callers together.
    pub connections_max: u32,
    /// Set where its servers are model engines.
    pub engine: Option<EngineSpec>,
}

/// What the engines of a service have in common.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the memory holds.
    pub memory_tokens: u64,
    /// How long a KV cache waits to be fetched.
    pub hold_ms: Millis,
    /// Tokens that one event of a stream stands for.
    pub event_tokens: u64,
    /// For how long a slot and memory can be reserved; zero where they cannot.
    pub reserve_ms_max: Millis,
    /// How long a change of role takes.
    pub role_change_ms: Millis,
}

/// Bounds on what callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CallerLimits {
    /// Largest head.
    pub head_bytes: Bytes,
    /// Largest body.
    pub body_bytes: Bytes,
    /// Time for a head to arrive.
    pub head_timeout_ms: Millis,
    /// Time that a connection may stay without a request.
    pub idle_timeout_ms: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: Bytes(16 << 10),
            body_bytes: Bytes(4 << 20),
            head_timeout_ms: Millis(3_000),
            idle_timeout_ms: Millis(15_000),
        }
    }
}

/// All routes and services of one version.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct RouteTable {
    version: TableVersion,
    /// By host, the longest prefix first.
    routes: HashMap<String, Vec<Route>>,
    services: BTreeMap<ServiceId, ServiceSpec>,
    limits: CallerLimits,
    partners: Partners,
}

impl RouteTable {
    /// Builds a table.
    pub fn new(
        version: TableVersion,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, ServiceSpec>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host = HashMap::<String, Vec<Route>>::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        Self { version, routes: by_host, services, limits, partners: Partners::default() }
    }

    /// The same table for callers of these organisations only.
    #[must_use]
    pub fn with_partners(self, partners: Vec<Partner>) -> Self {
        Self { partners: Partners::new(partners), ..self }
    }

    /// Its version; zero before the first one was learned.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Whether any version was learned. An empty table would answer "no such route" for routes that exist.
    pub fn is_known(&self) -> bool {
        self.version > TableVersion::default()
    }

    /// Whether `newer` may take this table's place. Reads of the store may return older contents; a process that
    /// went back would handle requests by rules that the operator has replaced.
    pub fn is_replaced_by(&self, newer: &Self) -> bool {
        newer.version > self.version
    }

    /// The route with the longest prefix that the path begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether there is a route of this name.
    pub fn has(&self, name: &str) -> bool {
        self.routes.values().flatten().any(|route| route.name == name)
    }

    /// A service, if it is configured.
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &ServiceSpec)> {
        self.services.iter()
    }

    /// The organisations that may send requests; none where callers need no key.
    pub fn partners(&self) -> &Partners {
        &self.partners
    }

    /// Bounds on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
