//! The edges of the relay: what the systems around it speak is translated behind these traits.

use std::fmt;
use std::fmt::{Debug, Display};
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::{BackendServerId, DataCentreId, FencingNumber, HostId, ModelId, PartnerId};
use hibiscusvale_core::quarantine::{Fingerprint, Report};
use hibiscusvale_core::relay::engines::{ReportedLoad, Role};
use hibiscusvale_core::relay::partners::Credentials;
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::units::{CreditPerSecond, Millis, Tokens};
use http::{HeaderMap, HeaderValue, Method, StatusCode, request};
use serde::{Deserialize, Serialize};

/// The caller's name for one try of its own; backend servers echo it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CallId(Arc<str>);

impl CallId {
    /// The name as text.
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

/// Number of an event in a stream.
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

/// What a caller says of its request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its name for this try.
    pub id: CallId,
    /// How long it will wait.
    pub wait_ms: Option<Millis>,
    /// Where the request is for a model.
    pub generation: Option<Generation>,
    /// Who it says that it is.
    pub credentials: Credentials,
    /// The last event that it has, when it goes on with a stream.
    pub after_event: Option<EventId>,
}

/// What a caller says of a request for a model.
#[derive(Clone, Debug)]
pub struct Generation {
    /// The model.
    pub model: ModelId,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Longest answer.
    pub answer_tokens_max: Tokens,
    /// Likely length of the answer.
    pub answer_tokens_hint: Option<Tokens>,
}

/// A request that cannot be understood.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BadCall {
    /// It has no id.
    #[error("request has no id")]
    NoId,
    /// A header that is read is not understood, or comes twice.
    #[error("header is not understood")]
    Header,
}

/// Name of a KV cache at the engine that read the prompt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct KvHandle(pub Arc<str>);

impl fmt::Display for KvHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A prompt that has been read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptRead {
    /// Name of its KV cache.
    pub handle: KvHandle,
    /// Its length.
    pub tokens: Tokens,
}

/// What a backend server is asked to do with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Task {
    /// Run it.
    Run,
    /// Read the prompt and keep the KV cache.
    ReadPrompt,
    /// Fetch a KV cache and write the answer.
    Write {
        /// The engine that has it.
        source: SocketAddr,
        /// Its name there.
        handle: KvHandle,
    },
}

/// Name of a slot and memory that an engine keeps for a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Reservation(pub Arc<str>);

impl fmt::Display for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A call of the relay's own to an engine.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// What it does, as far as it says.
    pub role: Option<Role>,
    /// Whether it carries an order out.
    pub is_busy: bool,
    /// Orders that it has accepted since its start.
    pub orders: u64,
}

/// An order to change role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// What the engine is to do.
    pub role: Role,
    /// Who orders it.
    pub holder: HostId,
    /// Engines that check refuse a smaller number than they have seen.
    pub fencing: FencingNumber,
    /// The order holds only while the engine has accepted so many.
    pub after_orders: u64,
}

/// One sending of a request to a backend server.
#[derive(Clone, Debug)]
pub struct Hop<'a> {
    /// The server that is meant. Addresses are used again by other servers.
    pub server: &'a BackendServerId,
    /// How long the caller still waits.
    pub left_ms: Millis,
    /// What to do.
    pub task: Task,
    /// What is kept there for the request.
    pub reservation: Option<&'a Reservation>,
    /// The organisation whose caller sent the request.
    pub partner: Option<&'a PartnerId>,
    /// The last event that the caller has.
    pub after_event: Option<EventId>,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplyHead {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether the server says that it has not run the request.
    pub not_run: bool,
    /// Whether it carries the proof that the server gave this very answer.
    pub sealed: bool,
    /// Whether the body went through an encoding that nobody asked for.
    pub encoded: bool,
    /// The server's load.
    pub load: Option<ReportedLoad>,
    /// Requests that it takes from all daemons together, in thousandths; absent where it sets no limit.
    pub limit: Option<CreditPerSecond>,
}

/// How callers and backend servers speak.
pub trait Wire: Debug + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`BadCall`].
    fn read_call(&self, head: &request::Parts) -> Result<Call, BadCall>;

    /// The headers with which a request goes to a backend server, from those that the caller sent.
    fn hop_headers(&self, callers: &HeaderMap, call: &Call, hop: &Hop<'_>) -> HeaderMap;

    /// Reads the head of a server's answer.
    fn read_reply(&self, status: StatusCode, headers: &HeaderMap) -> ReplyHead;

    /// The headers with which a server's answer goes to the caller.
    fn answer_headers(&self, servers: &HeaderMap) -> HeaderMap;

    /// Reads what an engine says after it has read a prompt.
    fn read_prompt(&self, body: &[u8]) -> Option<PromptRead>;

    /// The call that has the engine `server` keep a slot and memory for `keep_ms`.
    fn reserve(&self, server: &BackendServerId, tokens: Tokens, keep_ms: Millis) -> EngineCall;

    /// Reads what an engine says that keeps something.
    fn read_reservation(&self, body: &[u8]) -> Option<Reservation>;

    /// The call for what the engine `server` says of itself.
    fn report(&self, server: &BackendServerId) -> EngineCall;

    /// Reads what an engine says of itself.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// The call that orders the engine `server`.
    fn order(&self, server: &BackendServerId, order: &EngineOrder) -> EngineCall;

    /// The call that gives a reservation back.
    fn drop_reservation(&self, reservation: &Reservation) -> EngineCall;

    /// The scheme in which callers are to show their key.
    fn credentials_scheme(&self) -> HeaderValue;

    /// A time to come back, as callers read it.
    fn retry_after(&self, wait_ms: Millis) -> HeaderValue;
}

/// Why the table of routes could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TableFailure {
    /// No connection, or none that works.
    #[error("not reachable")]
    Unreachable,
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// A refusal.
    #[error("refused with status {0}")]
    Refused(u16),
    /// An answer or a table that does not fit the interface.
    #[error("not understood: {0}")]
    Malformed(String),
}

/// A daemon as it registers itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DaemonEntry {
    /// Its host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it takes messages of other daemons.
    pub peer_address: SocketAddr,
}

/// Where the daemons register themselves, to find each other.
pub trait Register: Debug + Send + Sync + 'static {
    /// Registers this daemon.
    fn announce(&self, entry: DaemonEntry) -> BoxFuture<'_, Result<(), TableFailure>>;

    /// All entries.
    fn entries(&self) -> BoxFuture<'_, Result<Vec<DaemonEntry>, TableFailure>>;
}

/// The evidence against a request in quarantine, as it is saved.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SavedEvidence {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The reports; their ages are those of the time at which they were saved.
    pub reports: Vec<Report>,
    /// That time, by the clock of the daemon that saved them.
    pub saved_unix_ms: u64,
}

/// Where evidence outlives the daemons.
pub trait EvidenceStore: Debug + Send + Sync + 'static {
    /// Saves the evidence against a request, in place of what was saved before.
    fn save(&self, evidence: SavedEvidence) -> BoxFuture<'_, Result<(), TableFailure>>;

    /// Removes what is saved of a request.
    fn remove(&self, fingerprint: Fingerprint) -> BoxFuture<'_, Result<(), TableFailure>>;

    /// All that is saved.
    fn load(&self) -> BoxFuture<'_, Result<Vec<SavedEvidence>, TableFailure>>;
}

/// Where operators publish the table of routes.
pub trait TableSource: Debug + Send + Sync + 'static {
    /// The newest table, waiting up to `wait_ms` for one that this source has not returned before; `None` when there
    /// was none.
    fn next(&self, wait_ms: Millis) -> BoxFuture<'_, Result<Option<RouteTable>, TableFailure>>;
}
