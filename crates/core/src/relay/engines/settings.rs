//! Limits of the pool, each with its reason.

use crate::allowance::AllowanceSettings;
use crate::sched::InstanceSettings;
use crate::units::{Millis, Tokens};

/// Limits of an [`EnginePool`].
#[derive(Clone, Copy, Debug)]
pub struct EnginePoolSettings {
    /// How engines are judged.
    pub instance: InstanceSettings,
    /// Tokens that an engine's memory holds.
    pub memory_tokens: Tokens,
    /// Part of the memory that is filled at most, in percent. The rest is for what no daemon knows: memory goes by
    /// blocks, and word of the other daemons' requests is some milliseconds old.
    pub fill_percent: u64,
    /// Tokens that one event of a stream stands for.
    pub event_tokens: u64,
    /// For how long an engine keeps a slot and memory; zero where engines keep none.
    pub reserve_ms_max: Millis,
    /// How long a change of role takes.
    pub role_change_ms: Millis,
    /// For how long a read prompt waits to be fetched.
    pub hold_ms: Millis,
    /// Requests that wait for an engine at most. Beyond, the oldest would have been refused before the newest
    /// had its turn.
    pub waiting_max: usize,
    /// Time that reading may take beyond what is expected before it counts as failed.
    pub read_slack_ms: Millis,
    /// What this daemon may spend on further tries.
    pub retries: AllowanceSettings,
    /// Whether engines of the own data centre go before all others: the daemons of other data centres send
    /// no messages about theirs.
    pub near_first: bool,
}

impl Default for EnginePoolSettings {
    fn default() -> Self {
        Self {
            instance: InstanceSettings::default(),
            memory_tokens: Tokens(80_000),
            fill_percent: 98,
            event_tokens: 1,
            reserve_ms_max: Millis::ZERO,
            role_change_ms: Millis(6_000),
            hold_ms: Millis(500),
            waiting_max: 256,
            read_slack_ms: Millis(1_000),
            retries: AllowanceSettings::default(),
            near_first: false,
        }
    }
}
