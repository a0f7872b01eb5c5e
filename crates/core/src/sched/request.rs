//! State of one open request.

use crate::slots::{GrantId, GrantPhase};
use crate::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime, Tokens};

use super::counters::WasteCause;
use super::directory::ServerIndex;
use super::events::{Arrival, Attempt};
use super::settings::SchedulerSettings;

/// Stage of a request, named after what it waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The end of the back-off.
    Backoff,
    /// A turn at a prefill server.
    AwaitTurn,
    /// A slot at a decode server; holds a turn.
    AwaitSlot,
    /// The prefill.
    Prefilling,
    /// Both servers to confirm the transfer.
    AwaitTransfer,
    /// The transfer of the KV cache.
    Importing,
    /// The rest of the answer.
    Decoding,
}

impl Stage {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Backoff => "backoff",
            Self::AwaitTurn => "await-turn",
            Self::AwaitSlot => "await-slot",
            Self::Prefilling => "prefilling",
            Self::AwaitTransfer => "await-transfer",
            Self::Importing => "importing",
            Self::Decoding => "decoding",
        }
    }
}

/// What an open request waits for, and since when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageEntry {
    /// Current stage.
    pub stage: Stage,
    /// Time at which the request entered it.
    pub since_us: MonoTime,
}

/// Grant request that was sent and not yet granted or denied.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenGrantRequest {
    pub(super) server: ServerIndex,
    pub(super) grant_id: GrantId,
    pub(super) sent_us: MonoTime,
    pub(super) queued: bool,
    pub(super) copies: u8,
    /// Whether the grant request accepts a slot that is only expected to become free.
    pub(super) speculative: bool,
    /// Prompt tokens to prefill at this server; zero for a slot.
    pub(super) work_tokens: Tokens,
}

/// Grant in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    pub(super) server: ServerIndex,
    pub(super) grant_id: GrantId,
    pub(super) rate_bytes_per_s: BytesPerSecond,
    pub(super) phase: GrantPhase,
    /// Whether the slot was granted as free rather than as expected to become free.
    pub(super) guaranteed: bool,
    /// Time of the last message from its watcher since the transfer became ready.
    pub(super) last_heard_us: MonoTime,
}

/// Maximum number of servers asked at once.
pub(super) const COPIES_MAX: usize = 2;

/// Maximum number of attempted servers remembered per request.
pub(super) const ATTEMPTED_MAX: usize = 8;

#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) partner: usize,
    pub(super) deadline_us: MonoTime,
    /// Latest time until which the request waits for servers.
    pub(super) waits_until_us: MonoTime,
    /// Time at which the request ends in any stage, from the limit that its caller stated.
    pub(super) ends_at_us: Option<MonoTime>,
    /// Expected duration of the rest of the answer, for a caller that stated a limit.
    pub(super) answer_us: Micros,
    pub(super) stage: Stage,
    pub(super) stage_since_us: MonoTime,
    pub(super) attempt: Attempt,
    pub(super) attempt_since_us: MonoTime,
    pub(super) evict_at_us: MonoTime,
    pub(super) grant_requests: [Option<OpenGrantRequest>; COPIES_MAX],
    pub(super) rounds: u8,
    pub(super) attempted: [Option<ServerIndex>; ATTEMPTED_MAX],
    pub(super) failed_at: Option<ServerIndex>,
    pub(super) retry_after_ms: Option<Millis>,
    pub(super) turn: Option<Hold>,
    pub(super) slot: Option<Hold>,
    pub(super) timer_us: Option<MonoTime>,
    pub(super) uncached_tokens: Tokens,
    pub(super) kv_bytes: Bytes,
    pub(super) restart_cause: Option<WasteCause>,
    pub(super) prefilled: Tokens,
    pub(super) resumed: bool,
    pub(super) tokens: Tokens,
    pub(super) first_token_us: Option<MonoTime>,
    pub(super) progress: (MonoTime, Tokens),
}

impl Request {
    pub(super) fn new(
        now_us: MonoTime,
        settings: &SchedulerSettings,
        arrival: Arrival,
        partner: usize,
    ) -> Self {
        let deadline_us = now_us + arrival.first_token_target_ms;
        let ends_at_us = arrival.time_left_ms.map(|left_ms| now_us + left_ms);
        Self {
            partner,
            deadline_us,
            waits_until_us: ends_at_us.unwrap_or(deadline_us + settings.late_wait_ms),
            ends_at_us,
            answer_us: Micros::ZERO,
            stage: Stage::AwaitTurn,
            stage_since_us: now_us,
            attempt: Attempt(0),
            attempt_since_us: now_us,
            evict_at_us: now_us,
            grant_requests: [None; COPIES_MAX],
            rounds: 0,
            attempted: [None; ATTEMPTED_MAX],
            failed_at: None,
            retry_after_ms: None,
            turn: None,
            slot: None,
            timer_us: None,
            uncached_tokens: arrival.prompt_tokens,
            kv_bytes: Bytes::ZERO,
            restart_cause: None,
            prefilled: Tokens::ZERO,
            resumed: false,
            tokens: Tokens::ZERO,
            first_token_us: None,
            progress: (now_us, Tokens::ZERO),
            arrival,
        }
    }

    pub(super) fn enter(&mut self, now_us: MonoTime, stage: Stage) {
        self.stage = stage;
        self.stage_since_us = now_us;
    }

    pub(super) fn stage_entry(&self) -> StageEntry {
        StageEntry { stage: self.stage, since_us: self.stage_since_us }
    }

    /// Whether any work on the request was started.
    pub(super) fn has_run(&self) -> bool {
        self.attempt > Attempt(0)
    }

    /// Whether the request waits for a server, so that no work is lost when it ends.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Backoff | Stage::AwaitTurn | Stage::AwaitSlot)
    }

    /// Time for which the request can still wait before its next attempt, which takes `work_us` to its first
    /// token. `None` if that attempt cannot end within the limit that the caller stated; without such a limit the
    /// attempt is always worth making on an idle server.
    pub(super) fn wait_left(&self, now_us: MonoTime, work_us: Micros) -> Option<Micros> {
        let wait_us = self.waits_until_us.since(now_us).saturating_sub(work_us);
        let Some(ends_at_us) = self.ends_at_us else {
            return Some(wait_us);
        };
        let spare_us = ends_at_us.since(now_us).0.checked_sub((work_us + self.answer_us).0)?;
        Some(wait_us.min(Micros(spare_us)))
    }

    /// Tokens to prefill: the prompt and the tokens generated so far.
    pub(super) fn prefill_tokens(&self) -> Tokens {
        self.arrival.prompt_tokens + self.tokens
    }

    pub(super) fn open_grant_request_mut(&mut self, grant_id: GrantId) -> Option<&mut OpenGrantRequest> {
        self.grant_requests.iter_mut().flatten().find(|open| open.grant_id == grant_id)
    }

    pub(super) fn take_grant_request(&mut self, grant_id: GrantId) -> Option<OpenGrantRequest> {
        let entry =
            self.grant_requests.iter_mut().find(|open| open.is_some_and(|open| open.grant_id == grant_id))?;
        entry.take()
    }

    pub(super) fn has_grant_requests(&self) -> bool {
        self.grant_requests.iter().any(Option::is_some)
    }

    pub(super) fn record_attempted(&mut self, server: ServerIndex) {
        if let Some(vacancy) = self.attempted.iter_mut().find(|vacancy| vacancy.is_none()) {
            *vacancy = Some(server);
        }
    }
}
