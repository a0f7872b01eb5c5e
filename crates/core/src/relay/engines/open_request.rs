//! A request that has not ended.

use super::events::{Demand, VersionBinding};
use super::memory::Growth;
use super::order::ReportedRank;
use crate::ids::SoftwareVersion;
use crate::outcome::Attempts;
use crate::units::{Millis, MonoTime, Tokens};

/// Stage of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    Waiting,
    /// A decode engine was asked for a reservation.
    Reserving {
        decode_engine: usize,
    },
    Prefilling {
        prefill_engine: usize,
        decode_engine: usize,
        since_us: MonoTime,
        /// Backlog of the prefill engine when the request was added, in prompt tokens including its own.
        ahead: Tokens,
    },
    Decoding {
        decode_engine: usize,
        since_us: MonoTime,
        /// Prompt tokens that the decode engine prefills itself before it decodes.
        own_prefill_tokens: Tokens,
    },
}

/// Whether the next attempt was paid for from the retry budget. The first one is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Payment {
    /// Payment is not needed, or has not been requested.
    None,
    /// Waiting for credit from another daemon.
    Awaited {
        until_us: MonoTime,
    },
    Paid,
}

impl OpenRequest {
    /// Whether the next attempt has to be paid for.
    pub(super) fn needs_payment(&self) -> bool {
        self.attempts.made() > 0 && self.payment != Payment::Paid
    }

    /// Whether the answer can no longer be in time, given the time still needed before its first event.
    pub(super) fn is_late(&self, now_us: MonoTime, ahead_ms: Millis) -> bool {
        self.age_ms(now_us) + ahead_ms >= self.demand.target_ms
    }

    /// How long the caller has waited, earlier attempts included.
    pub(super) fn age_ms(&self, now_us: MonoTime) -> Millis {
        now_us.since(self.arrived_us).to_millis_ceil() + self.demand.waited_ms
    }

    /// How long it waits for an engine. A caller that has waited for a whole target is late, and is served
    /// sooner when it comes back after the burst: holding requests for three targets, as long as callers
    /// stay, scored 0.02 lower in paired simulation runs of one deployment. An interrupted stream gets no
    /// other attempt from its caller, so it waits as long as the caller does.
    pub(super) fn max_wait_ms(&self) -> Millis {
        let demand = &self.demand;
        if self.has_started { demand.max_wait_ms } else { demand.max_wait_ms.min(demand.target_ms) }
    }

    /// Binds it to the software version of its last decode attempt, unless it is bound already.
    pub(super) fn bind(&mut self) {
        if self.demand.binding == VersionBinding::Any {
            self.demand.binding = VersionBinding::Only(self.decode_version.clone());
        }
    }

    /// Its memory on a decode engine before the answer begins.
    pub(super) fn growth(&self) -> Growth {
        let prompt = self.demand.prompt_tokens;
        Growth {
            now: prompt,
            end: self.final_tokens,
            answer: self.final_tokens.saturating_sub(prompt),
            is_growing: false,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) demand: Demand,
    /// Expected memory for prompt and answer when it ends.
    pub(super) final_tokens: Tokens,
    pub(super) arrived_us: MonoTime,
    /// Since when it waits for an engine, in the current attempt.
    pub(super) waits_since_us: MonoTime,
    /// Whether the caller has received a part of the answer.
    pub(super) has_started: bool,
    pub(super) stage: Stage,
    pub(super) attempts: Attempts,
    /// Number of completed prefills; the first is free, further ones are charged to the retry budget.
    pub(super) prefills: u32,
    /// Engine that prefilled the prompt, and when, as long as the KV cache may still be held.
    pub(super) prefilled: Option<(usize, MonoTime)>,
    pub(super) failed_at: Option<usize>,
    /// Software version of the engine of the last decode attempt.
    pub(super) decode_version: SoftwareVersion,
    /// Whether the next attempt was paid for, and until when it waits for credit.
    pub(super) payment: Payment,
    /// What the other daemons were told of it while it waits.
    pub(super) reported: Option<ReportedRank>,
    /// Number of events of the answer at the last progress report, and when that was.
    pub(super) progress: Option<(MonoTime, u64)>,
}
