//! Interfaces to external systems: adapters implement the platform's protocols behind these traits.

use std::fmt;
use std::fmt::{Debug, Display};
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::{
    BackendServerId, DataCentreId, FencingNumber, HostId, Lifetime, ModelId, PartnerId, PromptPartId,
    ServiceId, SoftwareVersion,
};
use hibiscusvale_core::quarantine::{Fingerprint, Report};
use hibiscusvale_core::relay::engines::{ReportedLoad, Role};
use hibiscusvale_core::relay::leaving_checks::ServerState;
use hibiscusvale_core::relay::partners::Credentials;
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::relay::server_list::ListRead;
use hibiscusvale_core::relay::silence::ReportedRun;
use hibiscusvale_core::units::{CreditPerSecond, Millis, Tokens};
use http::{HeaderMap, HeaderValue, Method, StatusCode, request};
use serde::{Deserialize, Serialize};

use crate::external::PlatformFailure;

/// A caller's id for one of its attempts; backend servers echo it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CallId(Arc<str>);

impl CallId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for CallId {
    type Err = BadCall;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() { Err(BadCall::NoId) } else { Ok(Self(Arc::from(text))) }
    }
}

/// Id of an event in a stream of server-sent events.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct EventId(pub u64);

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

impl FromStr for EventId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What a caller states about its request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of this attempt.
    pub id: CallId,
    /// How long the caller waits; `None` if not stated.
    pub wait_ms: Option<Millis>,
    /// For a request to a model: its lengths.
    pub generation: Option<Generation>,
    /// The caller's credentials.
    pub credentials: Credentials,
    /// The last event received, when the caller resumes a stream.
    pub after_event: Option<EventId>,
    /// The attempt that brought the first event of a stream that the caller resumes; `None` if it names none.
    pub resumes: Option<CallId>,
    /// Parts of its prompt that other requests may share, in order and each once.
    pub shared_prompt_parts: Vec<PromptPartId>,
}

/// What a caller states about a request to a model.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Id of the model.
    pub model: ModelId,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum length of the answer.
    pub answer_tokens_max: Tokens,
    /// Expected length of the answer; `None` if not stated.
    pub answer_tokens_hint: Option<Tokens>,
}

/// Why the head of a caller's request is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BadCall {
    /// The request has no id.
    #[error("request has no id")]
    NoId,
    /// A header that the router reads is malformed or repeated.
    #[error("request header is malformed or repeated")]
    Header,
}

/// Handle of a KV cache at the engine that prefilled the prompt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct KvHandle(pub Arc<str>);

impl fmt::Display for KvHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Result of a prefill.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillResult {
    /// Handle of the KV cache.
    pub handle: KvHandle,
    /// Length of the prompt.
    pub tokens: Tokens,
}

/// Task of a backend server for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Task {
    /// Run the whole request.
    Run,
    /// Prefill the prompt and keep the KV cache.
    Prefill,
    /// Fetch the KV cache and decode the answer.
    Decode {
        /// Address of the engine that holds the KV cache.
        source: SocketAddr,
        /// Handle of the KV cache at that engine.
        handle: KvHandle,
    },
}

/// Id of a slot and KV memory that an engine reserves for a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Reservation(pub Arc<str>);

impl fmt::Display for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An HTTP call from the router itself to an engine.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// State that an engine reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Current role; `None` if not reported.
    pub role: Option<Role>,
    /// Whether the engine is executing an order.
    pub is_busy: bool,
    /// Number of orders accepted since the engine started.
    pub orders: u64,
    /// Its current run; `None` if not reported.
    pub lifetime: Option<Lifetime>,
    /// Whether it is leaving; `None` if not reported.
    pub state: Option<ServerState>,
}

/// An order to an engine to change its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// The role to take.
    pub role: Role,
    /// Host of the daemon that holds the lease.
    pub holder: HostId,
    /// Fencing number; engines that check it refuse a smaller one than they have seen.
    pub fencing: FencingNumber,
    /// The order is valid only while the engine has accepted exactly this many orders.
    pub after_orders: u64,
}

/// One attempt to send a request to a backend server.
#[derive(Clone, Debug)]
pub struct Hop<'a> {
    /// The intended server; addresses are reused by other servers.
    pub server: &'a BackendServerId,
    /// Time until the caller's deadline.
    pub left_ms: Millis,
    /// Task for the server.
    pub task: Task,
    /// The reservation made there for the request, if any.
    pub reservation: Option<&'a Reservation>,
    /// Organisation whose caller sent the request; `None` for anonymous callers.
    pub partner: Option<&'a PartnerId>,
    /// The last event that the caller has received.
    pub after_event: Option<EventId>,
}

/// Time for which a server asks to get no requests from this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rest {
    /// From the answer on.
    For(Millis),
    /// The time cannot be parsed.
    Malformed,
}

/// What a server states about its availability in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Availability {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it closes the connection after the answer, as leaving servers do, and sound ones now and then.
    pub closes_connection: bool,
    /// The rest that it asks for; `None` if it asks for none.
    pub rest: Option<Rest>,
}

/// Parsed head of a server's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplyHead {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether the server states that it has not run the request.
    pub not_run: bool,
    /// Whether the answer carries the server's seal, which proves its origin.
    pub sealed: bool,
    /// Whether the body has a content encoding that was not requested.
    pub encoded: bool,
    /// Load reported by the server.
    pub load: Option<ReportedLoad>,
    /// Request rate limit of the server for all daemons together, in thousandths of a request per second;
    /// `None` if it states no limit.
    pub limit: Option<CreditPerSecond>,
    /// What the server states about its availability.
    pub availability: Availability,
}

/// Protocol of callers and backend servers.
pub trait Wire: Debug + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`BadCall`].
    fn parse_call(&self, head: &request::Parts) -> Result<Call, BadCall>;

    /// Headers of a request to a backend server, derived from the caller's headers.
    fn hop_headers(&self, callers: &HeaderMap, call: &Call, hop: &Hop<'_>) -> HeaderMap;

    /// Parses the head of a server's answer.
    fn parse_reply(&self, status: StatusCode, headers: &HeaderMap) -> ReplyHead;

    /// Headers of the answer to the caller, derived from the server's headers.
    fn answer_headers(&self, servers: &HeaderMap) -> HeaderMap;

    /// Parses an engine's answer to a prefill; `None` if malformed.
    fn parse_prefill(&self, body: &[u8]) -> Option<PrefillResult>;

    /// Call that reserves a slot and KV memory at the engine `server` for `keep_ms`.
    fn reserve(&self, server: &BackendServerId, tokens: Tokens, keep_ms: Millis) -> EngineCall;

    /// Parses an engine's answer to a reservation; `None` if malformed.
    fn parse_reservation(&self, body: &[u8]) -> Option<Reservation>;

    /// Call that asks whether `server` is healthy, at the path of its service.
    fn health(&self, server: &BackendServerId, path: &str) -> EngineCall;

    /// Call that requests the state of the engine `server`.
    fn report(&self, server: &BackendServerId) -> EngineCall;

    /// Parses the state that an engine reports; `None` if malformed.
    fn parse_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Parses what an engine reports of the request `id`; `None` if malformed, or if it lists and counts no requests.
    fn parse_reported_run(&self, body: &[u8], id: &CallId) -> Option<ReportedRun>;

    /// Call that sends an order to the engine `server`.
    fn order(&self, server: &BackendServerId, order: &EngineOrder) -> EngineCall;

    /// Call that releases a reservation.
    fn release_reservation(&self, reservation: &Reservation) -> EngineCall;

    /// WWW-Authenticate value for requests without a valid key.
    fn credentials_scheme(&self) -> HeaderValue;

    /// Retry-After value for a delay of `wait_ms`.
    fn retry_after(&self, wait_ms: Millis) -> HeaderValue;
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// No connection could be made or used.
    #[error("store unreachable")]
    Unreachable,
    /// No answer within the timeout.
    #[error("store did not answer in time")]
    Timeout,
    /// The store answered with an error status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The answer or its content does not match the interface.
    #[error("malformed answer from the store: {0}")]
    Malformed(String),
}

/// Registration of a daemon.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DaemonEntry {
    /// Host of the daemon.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Address for messages from other daemons.
    pub peer_address: SocketAddr,
}

/// Register in which daemons discover each other.
pub trait Register: Debug + Send + Sync + 'static {
    /// Registers this daemon.
    fn announce(&self, entry: DaemonEntry) -> BoxFuture<'_, Result<(), StoreError>>;

    /// All registered daemons.
    fn entries(&self) -> BoxFuture<'_, Result<Vec<DaemonEntry>, StoreError>>;
}

/// Crash evidence against a quarantined request, as saved.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SavedEvidence {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crash reports; their ages are relative to `saved_unix_ms`.
    pub reports: Vec<Report>,
    /// Time of saving by the clock of the daemon that saved it, in ms since the Unix epoch.
    pub saved_unix_ms: u64,
}

/// Store for crash evidence that outlives the daemons.
pub trait EvidenceStore: Debug + Send + Sync + 'static {
    /// Saves the evidence against a request and replaces what was saved before.
    fn save(&self, evidence: SavedEvidence) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Removes the saved evidence against a request.
    fn remove(&self, fingerprint: Fingerprint) -> BoxFuture<'_, Result<(), StoreError>>;

    /// All saved evidence.
    fn load(&self) -> BoxFuture<'_, Result<Vec<SavedEvidence>, StoreError>>;
}

/// Software version of a service at which streams may have begun that can still be resumed, as saved.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SavedVersion {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub version: SoftwareVersion,
}

/// Store for the software versions of services that outlives the daemons.
pub trait VersionStore: Debug + Send + Sync + 'static {
    /// Saves a version. Versions are saved one by one, so that no daemon overwrites what another one has saved.
    fn save(&self, version: SavedVersion) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Removes a version.
    fn remove(&self, version: SavedVersion) -> BoxFuture<'_, Result<(), StoreError>>;

    /// The saved versions of all services.
    fn load(&self) -> BoxFuture<'_, Result<Vec<SavedVersion>, StoreError>>;
}

/// Source of the records that backend servers write about themselves.
pub trait ServerSource: Debug + Send + Sync + 'static {
    /// Reads the records after version `after` of the list; the newest one of each server if `after` is zero, or if later
    /// ones are deleted.
    fn read(&self, after: u64) -> BoxFuture<'_, Result<ListRead, PlatformFailure>>;
}

/// Source of the route table that operators publish.
pub trait TableSource: Debug + Send + Sync + 'static {
    /// The newest table, waiting up to `wait_ms` for one that this source has not returned before; `None` if
    /// there is none by then.
    fn next(&self, wait_ms: Millis) -> BoxFuture<'_, Result<Option<RouteTable>, StoreError>>;
}
