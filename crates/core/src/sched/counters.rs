//! Counters of scheduling decisions and their results.

use crate::units::{Millis, Tokens};

/// Reason for refusing a request. None of its work was started.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The partner's share of the capacity does not allow an answer within the target.
    WouldMissTarget,
    /// The partner's queue is full.
    QueueFull,
    /// Too many requests are open at this daemon.
    DaemonFull,
    /// No server of the model accepts work.
    NoServer,
    /// None of the watchers answered.
    Unreachable,
    /// The answer cannot be complete within the time for which the caller waits.
    TimeLimit,
}

/// Reason for failing a request whose work had started.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FailReason {
    /// The partner's retry budget is exhausted.
    RetryBudget,
    /// The limit on attempts was reached.
    Attempts,
    /// The time for which the caller waits is over, or too short for another attempt.
    TimeLimit,
}

/// Cause of prefill work that was discarded or repeated.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WasteCause {
    /// The prefill result was evicted before its transfer.
    Evicted,
    /// The transfer failed or timed out.
    Transfer,
    /// The prefill server failed or did not answer.
    PrefillFailed,
    /// The decode server failed and the stream could not be resumed.
    DecodeFailed,
    /// The caller disconnected.
    CallerLeft,
}

/// Number of [`WasteCause`]s.
const WASTE_CAUSES: usize = 5;
/// Number of [`RefusalReason`]s.
const REFUSAL_REASONS: usize = 6;

/// Counters of one scheduler.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Requests received.
    pub arrivals: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests that met both the first-token and the per-token target.
    pub met_targets: u64,
    /// Requests that failed after work had started.
    pub failed: u64,
    /// Requests refused, by reason; read with [`Counters::refused`].
    refused: [u64; REFUSAL_REASONS],
    /// Tokens prefilled, excluding cached ones.
    pub prefill_tokens: Tokens,
    /// Prefill tokens discarded or repeated, by cause; read with [`Counters::wasted`].
    wasted_tokens: [u64; WASTE_CAUSES],
    /// Retries started.
    pub retries: u64,
    /// Retries denied by the budget.
    pub retries_denied: u64,
    /// Streams resumed at the same server.
    pub resumed: u64,
    /// Reservation requests that the watcher did not answer in time.
    pub grant_request_timeouts: u64,
    /// Transfers started without confirmation by an unresponsive watcher.
    pub unconfirmed_transfers: u64,
    /// Prefill turns released because no decode slot was available.
    pub turns_returned: u64,
}

impl RefusalReason {
    /// All reasons, in the order of the counters.
    pub const ALL: [Self; REFUSAL_REASONS] = [
        Self::WouldMissTarget,
        Self::QueueFull,
        Self::DaemonFull,
        Self::NoServer,
        Self::Unreachable,
        Self::TimeLimit,
    ];

    /// Name in metrics and refusals.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WouldMissTarget => "would-miss-target",
            Self::QueueFull => "queue-full",
            Self::DaemonFull => "daemon-full",
            Self::NoServer => "no-server",
            Self::Unreachable => "unreachable",
            Self::TimeLimit => "time-limit",
        }
    }
}

impl WasteCause {
    /// All causes, in the order of the counters.
    pub const ALL: [Self; WASTE_CAUSES] =
        [Self::Evicted, Self::Transfer, Self::PrefillFailed, Self::DecodeFailed, Self::CallerLeft];

    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Evicted => "evicted",
            Self::Transfer => "transfer",
            Self::PrefillFailed => "prefill-failed",
            Self::DecodeFailed => "decode-failed",
            Self::CallerLeft => "caller-left",
        }
    }
}

impl Counters {
    /// Returns the number of requests refused for `reason`.
    pub fn refused(&self, reason: RefusalReason) -> u64 {
        self.refused[reason as usize]
    }

    /// Returns the number of requests refused for any reason.
    pub fn refused_total(&self) -> u64 {
        self.refused.iter().sum()
    }

    /// Returns the prefill tokens discarded or repeated for `cause`.
    pub fn wasted(&self, cause: WasteCause) -> Tokens {
        Tokens(self.wasted_tokens[cause as usize])
    }

    /// Returns the prefill tokens discarded or repeated for any cause.
    pub fn wasted_total(&self) -> Tokens {
        Tokens(self.wasted_tokens.iter().sum())
    }

    pub(super) fn count_refusal(&mut self, reason: RefusalReason) {
        self.refused[reason as usize] += 1;
    }

    pub(super) fn count_waste(&mut self, cause: WasteCause, tokens: Tokens) {
        self.wasted_tokens[cause as usize] += tokens.0;
    }
}

/// Range of the Retry-After sent to callers. A shorter delay only adds load; a longer one keeps callers away
/// long after the overload is over.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 30_000);

/// Clamps a forecast wait to the range sent to callers.
pub(super) fn clamp_retry_after(wait_ms: Millis) -> Millis {
    let (low, high) = RETRY_AFTER_RANGE_MS;
    Millis(wait_ms.0.clamp(low, high))
}
