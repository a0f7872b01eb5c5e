//! Messages that disseminate configuration, server status and load.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendServerId, DataCentreId, HostId, ModelId, Offset};
use crate::units::Millis;

/// Content of a configuration record as sent between daemons.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RecordData {
    /// The record as stored in the log.
    Full(Arc<[u8]>),
    /// The record is too large to relay, which is the case only for checkpoints. A daemon that holds the
    /// state before it skips it; any other fetches the state.
    Elided,
}

/// One record of the configuration stream as sent between daemons.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigRecord {
    /// Offset in the log.
    pub offset: Offset,
    /// Content of the record.
    pub data: RecordData,
}

/// Hash of the folded configuration state.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct StateHash(pub [u8; 8]);

/// Status of a backend server as observed by a daemon.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum ServerStatus {
    /// The server accepts work again.
    Accepting,
    /// The server refuses work temporarily.
    Refusing,
    /// The server is shutting down.
    Leaving,
}

/// An status observation as sent between daemons.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StatusRecord {
    /// The server.
    pub server: BackendServerId,
    /// Its observed status.
    pub status: ServerStatus,
    /// Incremented with each new observation of the server; the greater version wins.
    pub version: u64,
    /// Host of the daemon that made the observation.
    pub observed_by: HostId,
    /// Time until the observation expires.
    pub left_ms: Millis,
}

/// Compact identifier of a model: the first four bytes of its name's hash.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ModelTag(pub [u8; 4]);

impl ModelTag {
    /// Computes the tag of `model`.
    pub fn of(model: &ModelId) -> Self {
        let [a, b, c, d, ..] = *blake3::hash(model.as_str().as_bytes()).as_bytes();
        Self([a, b, c, d])
    }
}

/// Load over all replicas of one model.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ModelLoad {
    /// The model.
    pub model: ModelTag,
    /// Free decode slots.
    pub slots_free: u32,
    /// Prompt tokens queued for prefill.
    pub prefill_queue_tokens: u32,
}

/// Load of one data centre.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LoadSummary {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Incremented with each summary.
    pub version: u64,
    /// Load of each model.
    pub models: Vec<ModelLoad>,
}

/// Messages that disseminate configuration, server status and load.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum SpreadMessage {
    /// Summary of the sender's data, from which the receiver can tell which side lacks something.
    Digest {
        /// Offset of the first configuration record that the sender lacks.
        next_offset: Offset,
        /// Hash of the sender's configuration in force; zero if it is still being applied.
        state: StateHash,
        /// Hash over the sender's status observations.
        statuses: [u8; 4],
    },
    /// Records, to a neighbour or in response to a pull.
    Records(Vec<ConfigRecord>),
    /// Requests records from an offset on, or the state if those records are no longer retained.
    Pull {
        /// First offset requested.
        from: Offset,
    },
    /// Requests one part of an encoded state.
    PullState {
        /// The state, by the first offset it does not cover; `None` for the current one.
        next_offset: Option<Offset>,
        /// Index of the part, from 0.
        part: u32,
    },
    /// One part of an encoded state.
    StatePart {
        /// First offset that the state does not cover.
        next_offset: Offset,
        /// Index of the part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// Content of the part.
        data: Arc<[u8]>,
    },
    /// Status observations of servers.
    Statuses(Vec<StatusRecord>),
    /// Load of the servers that the sender monitors, to the daemon that aggregates loads.
    PartialLoad(Vec<ModelLoad>),
    /// Load summary of a data centre.
    Load(LoadSummary),
}
