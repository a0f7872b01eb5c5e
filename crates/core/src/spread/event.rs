//! What happens to the spreading of one daemon, and what it wants done.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::message::{ConfigRecord, LoadSummary, ModelLoad, ServerSign, SpreadMessage, StateHash};
use crate::ids::{BackendServerId, DataCentreId, HostId, Offset};

/// What is spread and not configuration, as one daemon knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpreadView {
    /// Servers that some daemon saw refusing or leaving, or taking again.
    pub signs: HashMap<BackendServerId, ServerSign>,
    /// Load of the data centres.
    pub loads: BTreeMap<DataCentreId, LoadSummary>,
}

impl SpreadView {
    /// Whether new work may go to `server` as far as signs tell.
    pub fn may_take(&self, server: &BackendServerId) -> bool {
        !matches!(self.signs.get(server), Some(ServerSign::Leaving | ServerSign::Refusing))
    }
}

/// What happens to the spreading of a daemon.
#[derive(Clone, Debug)]
pub enum SpreadEvent {
    /// [`SpreadSettings::tick_ms`] have passed.
    Tick,
    /// A message of another daemon.
    Message {
        /// Its host.
        from: HostId,
        /// What it says.
        message: SpreadMessage,
    },
    /// Records read from the log.
    LogRecords(Vec<ConfigRecord>),
    /// The configuration in force.
    Applied {
        /// The first offset it lacks.
        next_offset: Offset,
        /// Its hash.
        state: StateHash,
    },
    /// The encoded state, after [`SpreadAction::ProvideState`].
    State {
        /// The first offset it lacks.
        next_offset: Offset,
        /// Its encoding.
        data: Arc<[u8]>,
    },
    /// This daemon saw a server refusing, leaving, or taking work again.
    Saw {
        /// The server.
        server: BackendServerId,
        /// What it did.
        sign: ServerSign,
    },
    /// Load of the servers that this daemon watches.
    Load(Vec<ModelLoad>),
}

/// What spreading wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadAction {
    /// Send a message to a daemon.
    Send {
        /// Its host.
        to: HostId,
        /// What to say.
        message: SpreadMessage,
    },
    /// Records in the order of the log, without a gap behind those delivered before.
    Deliver(Vec<ConfigRecord>),
    /// A state further on than what was delivered.
    AdoptState {
        /// The first offset it lacks.
        next_offset: Offset,
        /// Its encoding.
        data: Arc<[u8]>,
    },
    /// Another daemon needs the encoded state: answer with [`SpreadEvent::State`].
    ProvideState,
    /// Whether this daemon is to read the configuration stream from the log.
    ReadLog(bool),
    /// Signs or loads changed.
    Publish(SpreadView),
}

/// Counts of what happened, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SpreadCounts {
    /// Records that came first from the log.
    pub records_read: u64,
    /// Records that came first from another daemon.
    pub records_relayed: u64,
    /// Records that came again.
    pub records_again: u64,
    /// Pulls sent because something was missing.
    pub pulls: u64,
    /// States adopted from other daemons.
    pub states_adopted: u64,
    /// Digests with the same offset and another hash: two daemons folded the same records differently.
    pub diverged: u64,
    /// Signs passed on.
    pub signs: u64,
}

impl SpreadCounts {
    /// The counts by name, for metrics.
    pub fn by_name(&self) -> [(&'static str, u64); 7] {
        [
            ("spread-read", self.records_read),
            ("spread-relayed", self.records_relayed),
            ("spread-again", self.records_again),
            ("spread-pulled", self.pulls),
            ("spread-state-adopted", self.states_adopted),
            ("spread-diverged", self.diverged),
            ("spread-sign", self.signs),
        ]
    }
}
