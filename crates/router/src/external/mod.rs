//! The services outside that the router uses, each behind one trait: the append-only log, the host list, the
//! weight store.

mod host_list;
mod log;
mod weight_store;

use std::fmt::Debug;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::{BackendServerId, DataCentreId, ModelId, Offset, PartnerId, RegionId};
use hibiscusvale_core::units::{Bytes as ByteCount, BytesPerSecond, Millis};
use serde::{Deserialize, Serialize};

pub use host_list::HttpHostList;
pub use log::{HttpLog, HttpLogSettings};
pub use weight_store::HttpWeightStore;

/// A stream of the platform's log. The set is closed: each user of the log is named here, and so is counted
/// in `docs/CAPACITY.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum Stream {
    /// Configuration records of operators, and checkpoints of them.
    Config,
    /// Idempotency claims; the number is the partition.
    Claims(u16),
    /// Leases over orders to engines.
    Leases,
}

/// One record as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    /// Where it stands.
    pub offset: Offset,
    /// What was appended.
    pub data: Bytes,
}

/// What one read returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogPage {
    /// Oldest offset that the log still keeps.
    pub start_offset: Offset,
    /// Offset at which the next append will stand.
    pub next_offset: Offset,
    /// The records from the offset asked for.
    pub records: Vec<LogRecord>,
}

/// An append that is not known to have taken effect.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AppendError {
    /// It took no effect: the log refused it, or was not reached.
    #[error("log did not take the records: {cause}")]
    NotAppended {
        /// Why.
        cause: LogFailure,
        /// When the log asks to come back, if it said so.
        retry_after_ms: Option<Millis>,
    },
    /// It may have taken effect: the answer was lost. Whoever needs to know reads the stream.
    #[error("log did not confirm the records, they may stand: {cause}")]
    Unknown {
        /// Why.
        cause: LogFailure,
    },
}

/// Why a call to the log failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum LogFailure {
    /// No connection.
    #[error("not reachable")]
    Unreachable,
    /// The log says that it is down.
    #[error("down")]
    Down,
    /// The log says that its rate is used up.
    #[error("over its rate")]
    OverRate,
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// An answer that does not fit the interface.
    #[error("answer not understood")]
    Malformed,
}

/// The append-only log service.
pub trait Log: Debug + Send + Sync + 'static {
    /// Appends records that get consecutive offsets; returns the first.
    fn append(&self, stream: Stream, records: Vec<Bytes>) -> BoxFuture<'_, Result<Offset, AppendError>>;

    /// Reads at most `limit` records from `from`, waiting up to `wait_ms` for the first.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        limit: u32,
        wait_ms: Millis,
    ) -> BoxFuture<'_, Result<LogPage, LogFailure>>;
}

/// Whether a listed host is to get new work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It takes work.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// What an engine does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Reads prompts.
    Prefill,
    /// Writes tokens.
    Decode,
}

/// One entry of the platform's list of hosts. See `docs/INTERFACES.md`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ListedHost {
    /// Its name.
    pub id: BackendServerId,
    /// What runs there.
    pub kind: ListedKind,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where the daemon of an entry host takes messages of other daemons.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Who brings it.
    #[serde(default)]
    pub partner: Option<PartnerId>,
    /// Whether it takes work.
    pub state: ListedState,
    /// The service that a plain instance belongs to.
    #[serde(default)]
    pub service: Option<String>,
    /// Models that an engine has loaded.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Role of an engine.
    #[serde(default)]
    pub role: Option<EngineRole>,
    /// Decode slots of an engine, or concurrent requests of a plain instance.
    #[serde(default)]
    pub slots_total: u32,
    /// Whether an engine refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Rate of an engine's transfer link.
    #[serde(default)]
    pub link_bytes_per_s: BytesPerSecond,
}

/// What runs on a listed host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedKind {
    /// A daemon of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service instance.
    Plain,
}

/// What a read of the host list brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostListPage {
    /// Version that the list has now.
    pub version: u64,
    /// What changed since the version asked for.
    pub change: HostListChange,
}

/// A change of the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostListChange {
    /// Some entries changed, or none.
    Some {
        /// Entries that are new or different.
        set: Vec<ListedHost>,
        /// Names that are no longer listed.
        remove: Vec<BackendServerId>,
    },
    /// The whole list.
    Whole(Vec<ListedHost>),
}

/// Why a call to the host list or the weight store failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum PlatformFailure {
    /// No connection.
    #[error("not reachable")]
    Unreachable,
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// A refusal.
    #[error("refused with status {0}")]
    Refused(u16),
    /// An answer that does not fit the interface.
    #[error("answer not understood")]
    Malformed,
}

/// The lagging list of live and leaving hosts.
pub trait HostList: Debug + Send + Sync + 'static {
    /// Returns what changed since `after`, waiting up to `wait_ms` for something; the whole list to a reader too
    /// far behind.
    fn read(&self, after: u64, wait_ms: Millis) -> BoxFuture<'_, Result<HostListPage, PlatformFailure>>;
}

/// A model in the weight store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredModel {
    /// Its name.
    pub model: ModelId,
    /// Size of its weights.
    pub bytes: ByteCount,
}

/// What the weight store holds and how fast it serves.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct WeightStoreInfo {
    /// Rate over all readers together.
    pub rate_bytes_per_s: BytesPerSecond,
    /// The models.
    pub models: Vec<StoredModel>,
}

/// The rate-limited weight store.
pub trait WeightStore: Debug + Send + Sync + 'static {
    /// Reads what the store holds.
    fn info(&self) -> BoxFuture<'_, Result<WeightStoreInfo, PlatformFailure>>;
}
