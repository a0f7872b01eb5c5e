//! What daemons say to each other to spread configuration, signs of servers and load.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendServerId, DataCentreId, HostId, ModelId, Offset};
use crate::units::Millis;

/// What a record of the configuration stream holds, as far as spreading is concerned.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RecordData {
    /// The record as it stands in the log.
    Whole(Arc<[u8]>),
    /// A record too large to be sent to everybody, which only a checkpoint is. Whoever holds the state before
    /// it goes on behind it; whoever does not fetches the state.
    Elided,
}

/// One record of the configuration stream on its way through the daemons.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigRecord {
    /// Where it stands in the log.
    pub offset: Offset,
    /// What it holds.
    pub data: RecordData,
}

/// Hash of the folded configuration state.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct StateHash(pub [u8; 8]);

/// How a backend server behaved towards a daemon.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum ServerSign {
    /// It takes work again.
    Taking,
    /// It refuses work for now.
    Refusing,
    /// It is leaving.
    Leaving,
}

/// A sign on its way through the daemons.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SignRecord {
    /// The server.
    pub server: BackendServerId,
    /// What it did.
    pub sign: ServerSign,
    /// Raised with each new sign of the server; the greater holds.
    pub version: u64,
    /// The daemon that saw it.
    pub seen_by: HostId,
    /// Time left until the sign is forgotten.
    pub left_ms: Millis,
}

/// Short name of a model: the first four bytes of its name's hash.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ModelTag(pub [u8; 4]);

impl ModelTag {
    /// The short name of `model`.
    pub fn of(model: &ModelId) -> Self {
        let [a, b, c, d, ..] = *blake3::hash(model.as_str().as_bytes()).as_bytes();
        Self([a, b, c, d])
    }
}

/// Load of the replicas of one model.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ModelLoad {
    /// The model.
    pub model: ModelTag,
    /// Decode slots that are free.
    pub slots_free: u32,
    /// Prompt tokens that wait for prefill.
    pub prefill_queue_tokens: u32,
}

/// Load of one data centre.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LoadSummary {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Raised with each summary.
    pub version: u64,
    /// By model.
    pub models: Vec<ModelLoad>,
}

/// What daemons say to each other to spread configuration, signs of servers and load.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum SpreadMessage {
    /// What the sender has, so that both can tell who lacks something.
    Digest {
        /// Offset of the first configuration record that the sender lacks.
        next_offset: Offset,
        /// Hash of the configuration in force there.
        state: StateHash,
        /// Hash over the signs there.
        signs: [u8; 4],
    },
    /// Records, to a neighbour or in answer to a pull.
    Records(Vec<ConfigRecord>),
    /// Asks for records from an offset on, or for the state if they are no longer kept.
    Pull {
        /// The first offset wanted.
        from: Offset,
    },
    /// Asks for a part of a state.
    PullState {
        /// The state, by the first offset it lacks; none for the present one.
        next_offset: Option<Offset>,
        /// Which part.
        part: u32,
    },
    /// One part of an encoded state.
    StatePart {
        /// The first offset that the state lacks.
        next_offset: Offset,
        /// Which part.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// The part.
        data: Arc<[u8]>,
    },
    /// Signs of servers.
    Signs(Vec<SignRecord>),
    /// Load of the servers that the sender watches, to the daemon that sums up.
    PartialLoad(Vec<ModelLoad>),
    /// Load of a whole data centre.
    Load(LoadSummary),
}
