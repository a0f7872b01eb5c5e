//! Settings of the engine pool.

use crate::retry_budget::SharedRetryBudgetSettings;
use crate::sched::InstanceSettings;
use crate::units::{Millis, Tokens};

/// Settings of an [`EnginePool`].
#[derive(Clone, Copy, Debug)]
pub struct EnginePoolSettings {
    /// How the health of engines is judged.
    pub instance: InstanceSettings,
    /// Memory of an engine, in tokens.
    pub memory_tokens: Tokens,
    /// Part of the memory that is filled at most, in percent. The rest allows for memory being allocated in
    /// blocks, and for reports of the other daemons being some milliseconds old.
    pub fill_percent: u64,
    /// Tokens per event of a stream.
    pub event_tokens: u64,
    /// How long an engine keeps a reservation of a slot and memory; zero if engines have no reservations.
    pub reserve_ms_max: Millis,
    /// How long a change of role takes.
    pub role_change_ms: Millis,
    /// How long the KV cache of a prefilled prompt is held to be fetched.
    pub hold_ms: Millis,
    /// Largest number of requests that wait for an engine. Beyond that, the oldest would be refused before
    /// the newest is reached.
    pub waiting_max: usize,
    /// Time beyond the expected duration after which a prefill counts as failed.
    pub prefill_slack_ms: Millis,
    /// Budget of this daemon for retries.
    pub retries: SharedRetryBudgetSettings,
    /// Whether engines of the own data centre go before all others; set where daemons of other data centres
    /// send no messages about theirs.
    pub prefer_local: bool,
    /// Whether the speeds of single engines are learned and used.
    pub engine_speeds: bool,
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
            prefill_slack_ms: Millis(1_000),
            retries: SharedRetryBudgetSettings::default(),
            prefer_local: false,
            engine_speeds: false,
        }
    }
}
