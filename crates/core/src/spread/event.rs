//! Events and actions of the dissemination state machine.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::message::{ConfigRecord, LoadSummary, ModelLoad, ServerStatus, SpreadMessage, StateHash};
use crate::ids::{BackendServerId, DataCentreId, HostId, Offset};

/// Disseminated data other than configuration, as known to one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpreadView {
    /// Last observed status, for servers that refused work or were leaving.
    pub statuses: HashMap<BackendServerId, ServerStatus>,
    /// Load summaries by data centre.
    pub loads: BTreeMap<DataCentreId, LoadSummary>,
}

impl SpreadView {
    /// Whether `server` accepts new work, as far as is known.
    pub fn accepts_work(&self, server: &BackendServerId) -> bool {
        !matches!(self.statuses.get(server), Some(ServerStatus::Leaving | ServerStatus::Refusing))
    }
}

/// Input to the dissemination state machine.
#[derive(Clone, Debug)]
pub enum SpreadEvent {
    /// [`SpreadSettings::tick_ms`] have elapsed.
    Tick,
    /// A message from another daemon.
    Message {
        /// Host of the sender.
        from: HostId,
        /// The message.
        message: SpreadMessage,
    },
    /// Records read from the log.
    LogRecords(Vec<ConfigRecord>),
    /// The configuration in force changed.
    Applied {
        /// First offset that is not applied.
        next_offset: Offset,
        /// Hash of the state.
        state: StateHash,
    },
    /// The encoded state, in response to [`SpreadAction::ProvideState`].
    State {
        /// First offset that the state does not cover.
        next_offset: Offset,
        /// The encoded state.
        data: Arc<[u8]>,
    },
    /// This daemon observed that a server refuses work, is leaving, or accepts work again.
    Observed {
        /// The server.
        server: BackendServerId,
        /// Its observed status.
        status: ServerStatus,
    },
    /// Load of the servers that this daemon monitors.
    Load(Vec<ModelLoad>),
}

/// Output of the dissemination state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadAction {
    /// Send a message to a daemon.
    Send {
        /// Host of the receiver.
        to: HostId,
        /// The message.
        message: SpreadMessage,
    },
    /// Records in log order, contiguous with those delivered before.
    Deliver(Vec<ConfigRecord>),
    /// Adopt a state that is ahead of the delivered records.
    AdoptState {
        /// First offset that the state does not cover.
        next_offset: Offset,
        /// The encoded state.
        data: Arc<[u8]>,
    },
    /// A peer needs the encoded state; answer with [`SpreadEvent::State`].
    ProvideState,
    /// Whether this daemon has to read the configuration stream from the log.
    ReadLog(bool),
    /// Server status or load summaries changed.
    Publish(SpreadView),
}

/// Event counters, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SpreadCounts {
    /// Records received first from the log.
    pub records_read: u64,
    /// Records received first from another daemon.
    pub records_relayed: u64,
    /// Duplicate records received.
    pub records_duplicate: u64,
    /// Pulls sent for missing records.
    pub pulls: u64,
    /// States adopted from other daemons.
    pub states_adopted: u64,
    /// Digests with the same offset but another hash, which means that two daemons folded the same records
    /// differently.
    pub diverged: u64,
    /// Status observations forwarded.
    pub statuses_forwarded: u64,
}

impl SpreadCounts {
    /// Counter values by metric label.
    pub fn by_name(&self) -> [(&'static str, u64); 7] {
        [
            ("spread-read", self.records_read),
            ("spread-relayed", self.records_relayed),
            ("spread-again", self.records_duplicate),
            ("spread-pulled", self.pulls),
            ("spread-state-adopted", self.states_adopted),
            ("spread-diverged", self.diverged),
            ("spread-sign", self.statuses_forwarded),
        ]
    }
}
