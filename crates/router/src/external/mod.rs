//! External platform services, each behind a trait: the append-only log, the host list and the weight store.

mod host_list;
mod log;
mod weight_store;

use std::fmt::Debug;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::{
    BackendServerId, DataCentreId, Lifetime, ModelId, Offset, PartnerId, RegionId, SoftwareVersion,
};
pub use hibiscusvale_core::servers::{EngineRole, ListedState};
use hibiscusvale_core::units::{Bytes as ByteCount, BytesPerSecond, Millis};
use serde::{Deserialize, Serialize};

pub use host_list::HttpHostList;
pub use log::{HttpLog, HttpLogSettings};
pub use weight_store::HttpWeightStore;

/// Stream of the platform's log. The set is closed, so that every user of the log is listed here and accounted for in
/// `docs/CAPACITY.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum Stream {
    /// Configuration records published by operators, and checkpoints of the resulting state.
    Config,
    /// Idempotency claims of the given partition.
    Claims(u16),
    /// Leases for the right to send orders to engines.
    Leases,
    /// Software versions at which streams began, while several serve.
    StreamOrigins,
}

/// Record read from the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: Offset,
    /// Payload as appended.
    pub data: Bytes,
}

/// Result of one read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogPage {
    /// Oldest retained offset.
    pub start_offset: Offset,
    /// Offset that the next append will get.
    pub next_offset: Offset,
    /// Records from the requested offset on.
    pub records: Vec<LogRecord>,
}

/// Failed append.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AppendError {
    /// The records were not appended: the log refused them or was not reached.
    #[error("records were not appended to the log: {cause}")]
    NotAppended {
        /// Cause of the failure.
        cause: LogFailure,
        /// Delay before a retry that the log asked for, if any.
        retry_after_ms: Option<Millis>,
    },
    /// The response was lost, so the records may have been appended. Read the stream to find out.
    #[error("log did not confirm the append, the records may have been written: {cause}")]
    Unknown {
        /// Cause of the failure.
        cause: LogFailure,
    },
}

/// Reason why a call to the log failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum LogFailure {
    /// The service could not be reached.
    #[error("not reachable")]
    Unreachable,
    /// The log reported that it is unavailable.
    #[error("down")]
    Down,
    /// The log reported that its rate limit is exceeded.
    #[error("over its rate")]
    OverRate,
    /// The service did not respond in time.
    #[error("no answer in time")]
    Timeout,
    /// The response does not match the interface.
    #[error("answer not understood")]
    Malformed,
}

/// Append-only log service.
pub trait Log: Debug + Send + Sync + 'static {
    /// Appends records at consecutive offsets and returns the first offset.
    fn append(&self, stream: Stream, records: Vec<Bytes>) -> BoxFuture<'_, Result<Offset, AppendError>>;

    /// Reads up to `limit` records from offset `from`. Waits up to `wait_ms` when there is none yet.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        limit: u32,
        wait_ms: Millis,
    ) -> BoxFuture<'_, Result<LogPage, LogFailure>>;
}

/// Entry of the platform's host list. See `docs/INTERFACES.md`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ListedHost {
    /// Name of the host.
    pub id: BackendServerId,
    /// Its current run; `None` where an id is never used again.
    #[serde(default)]
    pub lifetime: Option<Lifetime>,
    /// Version of the software that it runs.
    #[serde(default)]
    pub version: SoftwareVersion,
    /// Kind of service that runs on it.
    pub kind: ListedKind,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for messages between daemons; set for entry hosts only.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region of the host.
    pub region: RegionId,
    /// Partner that provides it, if any.
    #[serde(default)]
    pub partner: Option<PartnerId>,
    /// Whether it accepts new work.
    pub state: ListedState,
    /// Service that a plain instance belongs to.
    #[serde(default)]
    pub service: Option<String>,
    /// Models that an engine has loaded.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Role of an engine; `None` for other kinds.
    #[serde(default)]
    pub role: Option<EngineRole>,
    /// Number of decode slots of an engine, or of concurrent requests of a plain instance.
    #[serde(default)]
    pub slots_total: u32,
    /// Whether an engine rejects orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Bandwidth of an engine's transfer link.
    #[serde(default)]
    pub link_bytes_per_s: BytesPerSecond,
}

/// Kind of a listed host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedKind {
    /// Entry host that runs a daemon of this system.
    Entry,
    /// Model engine.
    Engine,
    /// Instance of a plain service.
    Plain,
}

/// Result of one read of the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostListPage {
    /// Current version of the list.
    pub version: u64,
    /// Changes since the requested version.
    pub change: HostListChange,
}

/// Changes of the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostListChange {
    /// Incremental changes, possibly none.
    Some {
        /// New or changed entries.
        set: Vec<ListedHost>,
        /// Names of removed entries.
        remove: Vec<BackendServerId>,
    },
    /// Complete list.
    Full(Vec<ListedHost>),
}

/// Reason why a call to the host list or the weight store failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum PlatformFailure {
    /// The service could not be reached.
    #[error("service unreachable")]
    Unreachable,
    /// The service did not respond in time.
    #[error("no response in time")]
    Timeout,
    /// The service refused the call with this HTTP status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The response does not match the interface.
    #[error("malformed response")]
    Malformed,
}

/// List of live and leaving hosts, which lags behind the actual state.
pub trait HostList: Debug + Send + Sync + 'static {
    /// Returns the changes since version `after`, waiting up to `wait_ms` for one. A reader that is too far behind gets
    /// the complete list.
    fn read(&self, after: u64, wait_ms: Millis) -> BoxFuture<'_, Result<HostListPage, PlatformFailure>>;
}

/// Model in the weight store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredModel {
    /// Name of the model.
    pub model: ModelId,
    /// Size of the weights.
    pub bytes: ByteCount,
}

/// Contents and bandwidth of the weight store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct WeightStoreInfo {
    /// Total bandwidth over all readers.
    pub rate_bytes_per_s: BytesPerSecond,
    /// Models in the store.
    pub models: Vec<StoredModel>,
}

/// Rate-limited store of model weights.
pub trait WeightStore: Debug + Send + Sync + 'static {
    /// Reads the contents and bandwidth of the store.
    fn info(&self) -> BoxFuture<'_, Result<WeightStoreInfo, PlatformFailure>>;
}
