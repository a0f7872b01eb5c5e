//! Limits of the scheduler.

use crate::units::{Bytes, Micros, Millis};

/// Condition for starting a prefill.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PrefillStart {
    /// A decode slot and a share of its link are granted.
    #[default]
    AfterReservation,
    /// The prefill server grants a turn. Baseline of the outcome comparison.
    AtOnce,
}

/// Limits of a [`super::Scheduler`].
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Condition for starting a prefill.
    pub start: PrefillStart,
    /// Maximum number of open requests per daemon. Memory bound: about 1 KB each.
    pub open_max: usize,
    /// Servers sampled for one placement. Two random choices remove most of the imbalance; the others
    /// compensate for stale load data. Fixed, so that the cost does not grow with the pool.
    pub sample_size: usize,
    /// Timeout of a watcher reply: several round trips inside a region. Longer would use up the slack of
    /// tight classes; shorter would take a busy daemon for a failed one.
    pub grant_request_timeout_us: Micros,
    /// Maximum number of sampling rounds after denials. A second sample makes up for an unlucky first; more
    /// would multiply the grant requests under overload.
    pub grant_request_rounds: u8,
    /// Wait before asking again when no watcher answered.
    pub no_answer_backoff_ms: Millis,
    /// Longest time for which a turn is held while waiting for a slot. The prefill server may be idle
    /// meanwhile, but without a slot its result would be discarded.
    pub turn_hold_ms: Millis,
    /// A request with time for its prefill and less slack than this may start on a slot that is only expected
    /// to become free. Zero disables it: in measurements the gain in goodput was within the variation between
    /// seeds, and with all requests in the tightest class it wasted more than the bound of 1 % of the prefill
    /// work.
    pub speculative_slack_ms: Millis,
    /// Wait before asking again when all slots were denied.
    pub slot_retry_ms: Millis,
    /// Renewal period of held grants: a third of the lifetime of a grant.
    pub renew_ms: Millis,
    /// Longest wait for servers beyond the first-token target. Callers that state no time limit are assumed to
    /// leave some time after the target.
    pub late_wait_ms: Millis,
    /// Longest wait for servers after an answer was interrupted.
    pub resume_slack_ms: Millis,
    /// Share of the first-token target reserved for estimation errors, in percent.
    pub margin_percent: u64,
    /// Time for messages and connection set-up between grant and first token.
    pub overhead_us: Micros,
    /// Timeout of a step as a multiple of its expected duration.
    pub timeout_factor: u64,
    /// Additional timeout factor for a server whose speed was never measured, where the expected duration is
    /// a guess.
    pub unmeasured_factor: u64,
    /// Lower bound of the timeout, so that a pause of the scheduler's host is not taken for an unresponsive
    /// server.
    pub timeout_floor_ms: Millis,
    /// Lower bound of the time between tokens after which a decode stream counts as stalled.
    pub token_timeout_min_ms: Millis,
    /// That limit in token times at the server's speed, if longer.
    pub token_timeout_tokens: u64,
    /// Time without a watcher message after which a transfer starts unconfirmed. Covers many repeats of the
    /// ready message and is short enough that the result is not yet evicted.
    pub confirm_timeout_ms: Millis,
    /// Time before its eviction at which a result is transferred unconfirmed: four repeats of the ready
    /// message, so that a single lost message does not matter.
    pub eviction_lead_ms: Millis,
    /// Time until a prefill result is evicted, if the engine does not state it.
    pub evict_after_ms: Millis,
    /// Assumed size of the KV cache per token until measured.
    pub kv_bytes_per_token: Bytes,
    /// Tokens per cache block.
    pub block_tokens: u64,
    /// Maximum number of blocks in the affinity index, about 40 bytes each.
    pub affinity_blocks_max: usize,
    /// Assumed prefill time per token until measured.
    pub prefill_token_us: Micros,
    /// Assumed decode time per token until measured.
    pub decode_token_us: Micros,
    /// Retries earned per arrival, in percent. A fault that affects a tenth of the work is retried in full; a
    /// fault that affects all of it adds at most a tenth of load.
    pub retry_percent: u64,
    /// Maximum number of saved retries, so that a partner with little work can retry too.
    pub retry_burst: u64,
    /// Upper bound of the first back-off, which is drawn at random below it; doubled with each retry.
    pub backoff_ms: Millis,
    /// Maximum number of attempts per request.
    pub attempts_max: u32,
    /// Time for which a server is skipped after its watcher did not answer.
    pub unresponsive_skip_ms: Millis,
    /// Time for which a leaving status holds. The list shows the state within that time; if not, the state
    /// was short-lived, such as that of an engine restarted between two versions of the list.
    pub status_ttl_ms: Millis,
    /// Interval between single requests to a decode server that is too slow for the class, which detect its
    /// recovery.
    pub slow_probe_interval_ms: Millis,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            start: PrefillStart::AfterReservation,
            open_max: 8_192,
            sample_size: 4,
            grant_request_timeout_us: Micros(25_000),
            grant_request_rounds: 2,
            no_answer_backoff_ms: Millis(100),
            turn_hold_ms: Millis(250),
            speculative_slack_ms: Millis(0),
            slot_retry_ms: Millis(10),
            renew_ms: Millis(1_000),
            late_wait_ms: Millis(5_000),
            resume_slack_ms: Millis(3_000),
            margin_percent: 5,
            overhead_us: Micros(15_000),
            timeout_factor: 3,
            unmeasured_factor: 5,
            timeout_floor_ms: Millis(800),
            token_timeout_min_ms: Millis(1_000),
            token_timeout_tokens: 20,
            confirm_timeout_ms: Millis(300),
            eviction_lead_ms: Millis(100),
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
            unresponsive_skip_ms: Millis(500),
            status_ttl_ms: Millis(30_000),
            slow_probe_interval_ms: Millis(5_000),
        }
    }
}
