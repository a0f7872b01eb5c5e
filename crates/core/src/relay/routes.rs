//! The routing table: the service for each request, and whether a request may be repeated.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;
use crate::outcome::Repeatability;
use crate::units::{Bytes, Millis};

use super::partners::{Partner, Partners};

/// Version of a routing table. Later versions are greater; numbers may be skipped.
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

/// Kind of answer that a route gives, and whether its requests may be repeated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum RouteKind {
    /// One answer; repeating the request does no harm.
    Idempotent,
    /// One answer; the request runs at most once.
    AtMostOnce,
    /// A stream of numbered events.
    Stream {
        /// Whether another server may resume the stream after the last event that arrived.
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

/// A service that a route leads to, and its share of the route's requests.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the destinations of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Route {
    /// Name for operators.
    pub name: String,
    /// Host that it matches.
    pub host: String,
    /// Path prefix that it matches; begins and ends with a slash.
    pub prefix: String,
    /// Kind of answer, and whether requests may be repeated.
    pub kind: RouteKind,
    /// Services that its requests go to, by weight.
    pub destinations: Vec<Destination>,
    /// Largest number of servers that may run one request.
    pub attempts_max: u32,
    /// Longest time that a caller waits for the whole answer.
    pub timeout_ms: Millis,
    /// Time within which an answer, or its first event, counts as in time.
    pub target_ms: Millis,
    /// Longest pause between events with which a stream counts as in time; absent if there is no limit.
    pub gap_target_ms: Option<Millis>,
    /// Priority; smaller values go first.
    pub priority: u8,
    /// Whether callers without a key are served.
    pub allows_anonymous: bool,
}

impl Route {
    /// Service for a request with the random number `draw`; the same number gives the same service. `None` if
    /// no destination has a weight.
    pub fn destination(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.destinations.iter().map(|to| u64::from(to.weight)).sum();
        let mut remaining = draw.checked_rem(total)?;
        for to in &self.destinations {
            let weight = u64::from(to.weight);
            if remaining < weight {
                return Some(&to.service);
            }
            remaining -= weight;
        }
        None
    }
}

impl Route {
    /// Whether requests may go to `service`.
    pub fn leads_to(&self, service: &ServiceId) -> bool {
        self.destinations.iter().any(|to| to.weight > 0 && to.service == *service)
    }

    /// The service that all requests go to; `None` if there are several.
    pub fn only_destination(&self) -> Option<&ServiceId> {
        let mut used = self.destinations.iter().filter(|to| to.weight > 0);
        let only = used.next()?;
        used.next().is_none().then_some(&only.service)
    }
}

/// Configuration of a service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServiceSpec {
    /// Connections that one of its servers accepts from all callers together.
    pub connections_max: u32,
    /// Path at which its servers state whether they are healthy; `None` if there is none.
    pub health_path: Option<String>,
    /// Engine parameters; absent if its servers are not model engines.
    pub engine: Option<EngineSpec>,
}

/// Parameters shared by the engines of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineSpec {
    /// Number of requests that an engine runs at once.
    pub slots: u32,
    /// Memory of an engine, in tokens.
    pub memory_tokens: u64,
    /// How long a KV cache is held to be fetched.
    pub hold_ms: Millis,
    /// Tokens per event of a stream.
    pub event_tokens: u64,
    /// How long a slot and memory can be reserved; zero if engines have no reservations.
    pub reserve_ms_max: Millis,
    /// How long a change of role takes.
    pub role_change_ms: Millis,
}

/// Limits on what callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_bytes: Bytes,
    /// Largest request body.
    pub body_bytes: Bytes,
    /// Time within which a request head has to arrive.
    pub head_timeout_ms: Millis,
    /// Time that a connection may stay idle between requests.
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
    /// By host, longest prefix first.
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

    /// The same table, restricted to callers of these organisations.
    #[must_use]
    pub fn with_partners(self, partners: Vec<Partner>) -> Self {
        Self { partners: Partners::new(partners), ..self }
    }

    /// Version of the table; zero before the first one is known.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Whether any version is known. An empty table would answer "no such route" for routes that exist.
    pub fn is_known(&self) -> bool {
        self.version > TableVersion::default()
    }

    /// Whether `newer` may replace this table. Reads of the store may return older contents; a process that
    /// went back would handle requests by rules that the operator has replaced.
    pub fn is_replaced_by(&self, newer: &Self) -> bool {
        newer.version > self.version
    }

    /// The route with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The strictest target of all routes; `None` without routes.
    pub fn strictest_target(&self) -> Option<Millis> {
        self.routes.values().flatten().map(|route| route.target_ms).min()
    }

    /// Whether a route of this name exists.
    pub fn has(&self, name: &str) -> bool {
        self.routes.values().flatten().any(|route| route.name == name)
    }

    /// Configuration of a service; `None` if it is not configured.
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &ServiceSpec)> {
        self.services.iter()
    }

    /// Organisations that may send requests; empty if callers need no key.
    pub fn partners(&self) -> &Partners {
        &self.partners
    }

    /// Limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
