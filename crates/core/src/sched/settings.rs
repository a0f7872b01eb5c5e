//! Limits of the scheduler, each with its reason.

use crate::units::{Bytes, Micros, Millis};

/// When a prefill may start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PrefillStart {
    /// When a decode slot and a share of its link are granted.
    #[default]
    AfterReservation,
    /// As soon as the prefill server has a turn. Kept as the baseline that the outcome table compares with.
    AtOnce,
}

/// Limits of a [`super::Scheduler`].
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// When a prefill may start.
    pub start: PrefillStart,
    /// Requests that may be open at one daemon. Memory bound: about 1 KB each.
    pub open_max: usize,
    /// Servers looked at for one placement. Two random choices already take most of the imbalance away; the
    /// further ones pay for stale knowledge. Fixed, so that the cost does not grow with the pool.
    pub sample: usize,
    /// Answer time of a watcher: several round trips inside a region. Longer would eat the slack of tight
    /// classes, shorter would take a busy daemon for a dead one.
    pub ask_timeout_us: Micros,
    /// Times that a request looks for other servers after it was denied. A second sample catches an unlucky
    /// first; more would turn overload into a storm of asks.
    pub ask_rounds: u8,
    /// Pause before watchers are asked again of which none answered.
    pub unknown_pause_ms: Millis,
    /// Time for which a turn waits for a slot. The prefill server may be idle meanwhile, but without a slot
    /// its result would be thrown away.
    pub turn_hold_ms: Millis,
    /// A request with time left for its prefill and less than this besides may start on a likely slot. Zero:
    /// no request does. Measured, it brought no goodput that the seeds' luck did not outweigh, and with
    /// everything marked tightest it wasted more than the bound of 1 % of the prefill work.
    pub bold_below_ms: Millis,
    /// Pause before slots are asked for again after all were denied.
    pub slot_retry_ms: Millis,
    /// Period in which held grants are renewed: a third of a grant's life.
    pub renew_ms: Millis,
    /// Wait that is taken in for a request whose answer has begun and broke off.
    pub gap_ms: Millis,
    /// Part of the first-token target kept back for what estimates miss, in percent.
    pub margin_percent: u64,
    /// Messages and connection set-up between grant and first token.
    pub overhead_us: Micros,
    /// A call is given up after so many times its expected time.
    pub timeout_factor: u64,
    /// At a server whose speed was never seen, so many times longer still: the expected time is a guess.
    pub unknown_factor: u64,
    /// And never before this, so that a pause of the scheduler's host is not taken for a mute server.
    pub timeout_floor_ms: Millis,
    /// Time without a token after which a decode stream counts as silent.
    pub stream_silence_ms: Millis,
    /// And the time of so many tokens at that server's speed, if that is longer.
    pub silence_tokens: u64,
    /// Silence of a watcher after which a transfer starts without it. Many repeats of the message, and short
    /// enough that the result is not yet evicted.
    pub confirm_silence_ms: Millis,
    /// Time before its eviction at which a result is moved without the watchers' word: four repeats of the
    /// message, so that a lost one does not decide.
    pub last_call_ms: Millis,
    /// Time for which a prefill result is kept when the engine did not say.
    pub evict_after_ms: Millis,
    /// KV cache of one token until it was observed.
    pub kv_bytes_per_token: Bytes,
    /// Tokens that one cache block stands for.
    pub block_tokens: u64,
    /// Blocks of the affinity index, about 40 bytes each.
    pub affinity_blocks_max: usize,
    /// Prefill time for one token until it was observed.
    pub prefill_token_us: Micros,
    /// Decode time for one token until it was observed.
    pub decode_token_us: Micros,
    /// Retries that one arrival pays for, in percent. A fault that hits a tenth of the work is retried in
    /// full; a fault that hits everything adds a tenth of load and no more.
    pub retry_percent: u64,
    /// Retries saved up at most, so that a partner with little work can retry too.
    pub retry_burst: u64,
    /// Longest first back-off of a retry; doubled with each, drawn at random below it.
    pub backoff_ms: Millis,
    /// Attempts of one request at most.
    pub attempts_max: u32,
    /// Time for which a server is passed over after its watcher gave no answer.
    pub silence_ms: Millis,
    /// Life of a drain sign. The list shows the same within it, or the sign was of a short-lived state, as of
    /// an engine that was restarted between two versions of the list.
    pub sign_life_ms: Millis,
    /// A decode server slower than the class allows gets one request in this time, to see whether it
    /// recovered.
    pub slow_trial_ms: Millis,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            start: PrefillStart::AfterReservation,
            open_max: 8_192,
            sample: 4,
            ask_timeout_us: Micros(25_000),
            ask_rounds: 2,
            unknown_pause_ms: Millis(100),
            turn_hold_ms: Millis(250),
            bold_below_ms: Millis(0),
            slot_retry_ms: Millis(10),
            renew_ms: Millis(1_000),
            gap_ms: Millis(3_000),
            margin_percent: 5,
            overhead_us: Micros(15_000),
            timeout_factor: 3,
            unknown_factor: 5,
            timeout_floor_ms: Millis(800),
            stream_silence_ms: Millis(1_000),
            silence_tokens: 20,
            confirm_silence_ms: Millis(300),
            last_call_ms: Millis(100),
            evict_after_ms: Millis(800),
            kv_bytes_per_token: Bytes(128 << 10),
            block_tokens: 64,
            affinity_blocks_max: 65_536,
            prefill_token_us: Micros(125),
            decode_token_us: Micros(30_000),
            retry_percent: 10,
            retry_burst: 20,
            backoff_ms: Millis(20),
            attempts_max: 4,
            silence_ms: Millis(500),
            sign_life_ms: Millis(30_000),
            slow_trial_ms: Millis(5_000),
        }
    }
}
