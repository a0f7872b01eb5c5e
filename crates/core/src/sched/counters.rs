//! What the scheduler decided and what came of it, by cause.

use crate::units::{Millis, Tokens};

/// Why a request was refused. Nothing of it ran.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The partner's share cannot serve it within its target.
    WouldMissTarget,
    /// The partner's queue is full.
    QueueFull,
    /// This daemon holds too many open requests.
    DaemonFull,
    /// No server of the model takes work.
    NoServer,
    /// No watcher answered.
    Unreachable,
}

/// Why a request failed although work on it had begun.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FailReason {
    /// Its partner's retry budget is spent.
    RetryBudget,
    /// It was tried as often as allowed.
    Attempts,
}

/// Why prefill work was thrown away or done again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RedoCause {
    /// The result was evicted before it could be moved.
    Evicted,
    /// The transfer failed or stalled.
    Transfer,
    /// The prefill server broke off or gave no answer.
    PrefillFailed,
    /// The decode server broke off and could not resume.
    DecodeFailed,
    /// The caller went away.
    CallerLeft,
}

/// Number of [`RedoCause`]s.
const REDO_CAUSES: usize = 5;
/// Number of [`RefusalReason`]s.
const REFUSAL_REASONS: usize = 5;

/// Counters of one scheduler.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests answered in full.
    pub answered: u64,
    /// Requests that met both targets.
    pub good: u64,
    /// Requests that failed after work had begun.
    pub failed: u64,
    /// Requests refused, by reason; read with [`Counters::refused`].
    refused: [u64; REFUSAL_REASONS],
    /// Tokens prefilled, without cached ones.
    pub prefill_tokens: Tokens,
    /// Prefill tokens thrown away, by cause; read with [`Counters::wasted`].
    wasted_tokens: [u64; REDO_CAUSES],
    /// Retries made.
    pub retries: u64,
    /// Retries denied by the budget.
    pub retries_denied: u64,
    /// Streams resumed at the same server.
    pub resumed: u64,
    /// Asks whose watcher gave no answer.
    pub ask_timeouts: u64,
    /// Transfers started although a watcher was silent.
    pub unconfirmed: u64,
    /// Turns given back for want of a slot.
    pub turns_returned: u64,
}

impl RefusalReason {
    /// All reasons, for whoever exports the counters.
    pub const ALL: [Self; REFUSAL_REASONS] =
        [Self::WouldMissTarget, Self::QueueFull, Self::DaemonFull, Self::NoServer, Self::Unreachable];

    /// Name in metrics and refusals.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WouldMissTarget => "would-miss-target",
            Self::QueueFull => "queue-full",
            Self::DaemonFull => "daemon-full",
            Self::NoServer => "no-server",
            Self::Unreachable => "unreachable",
        }
    }
}

impl RedoCause {
    /// All causes, for whoever exports the counters.
    pub const ALL: [Self; REDO_CAUSES] =
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
    /// Requests refused for `reason`.
    pub fn refused(&self, reason: RefusalReason) -> u64 {
        self.refused[reason as usize]
    }

    /// Requests refused for any reason.
    pub fn refused_total(&self) -> u64 {
        self.refused.iter().sum()
    }

    /// Prefill tokens thrown away or done again for `cause`.
    pub fn wasted(&self, cause: RedoCause) -> Tokens {
        Tokens(self.wasted_tokens[cause as usize])
    }

    /// Prefill tokens thrown away or done again for any cause.
    pub fn wasted_total(&self) -> Tokens {
        Tokens(self.wasted_tokens.iter().sum())
    }

    pub(super) fn count_refusal(&mut self, reason: RefusalReason) {
        self.refused[reason as usize] += 1;
    }

    pub(super) fn count_waste(&mut self, cause: RedoCause, tokens: Tokens) {
        self.wasted_tokens[cause as usize] += tokens.0;
    }
}

/// Shortest and longest Retry-After told to a caller: below, the retry only adds load; above, a caller
/// would wait long after the surge is over.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 30_000);

/// Brings a forecast into the range worth telling a caller.
pub(super) fn clamp_retry_after(wait_ms: Millis) -> Millis {
    let (low, high) = RETRY_AFTER_RANGE_MS;
    Millis(wait_ms.0.clamp(low, high))
}
