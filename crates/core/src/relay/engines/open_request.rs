//! A request that has not ended.

use super::events::Demand;
use super::memory::Growth;
use crate::outcome::Attempts;
use crate::units::{Millis, MonoTime, Tokens};

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    Waiting,
    /// A writer is asked to keep room.
    Reserving {
        writer: usize,
    },
    Reading {
        reader: usize,
        writer: usize,
        since_us: MonoTime,
        /// Prompt tokens that the reader had to read by then, with its own.
        ahead: Tokens,
    },
    Writing {
        writer: usize,
        since_us: MonoTime,
        /// Prompt tokens that the writer reads itself before it begins.
        reads: Tokens,
    },
}

/// Whether a request's next try was paid for. The first is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Payment {
    /// It need not be, or has not been asked for.
    None,
    /// It waits for a loan.
    Awaited {
        until_us: MonoTime,
    },
    Paid,
}

impl Open {
    /// Whether its next try has to be paid for.
    pub(super) fn owes(&self) -> bool {
        self.tries.made() > 0 && self.payment != Payment::Paid
    }

    /// Whether its answer cannot be in time for its caller any more, with what is still to come before its first event.
    pub(super) fn is_late(&self, now_us: MonoTime, ahead_ms: Millis) -> bool {
        self.age_ms(now_us) + ahead_ms >= self.demand.target_ms
    }

    /// How long its caller has waited, with earlier tries.
    pub(super) fn age_ms(&self, now_us: MonoTime) -> Millis {
        now_us.since(self.arrived_us).to_millis_ceil() + self.demand.waited_ms
    }

    /// How long it waits for an engine. Whoever has waited for a whole target is late, and is served sooner when it comes
    /// back after the burst: held for three targets, as long as callers stay, 0.02 of worth less in paired plays of one
    /// deployment. A stream that broke off has no other try, and waits as long as its caller does.
    pub(super) fn patience_ms(&self) -> Millis {
        let demand = &self.demand;
        if self.begun { demand.patience_ms } else { demand.patience_ms.min(demand.target_ms) }
    }

    /// Its memory at a writer before its answer begins.
    pub(super) fn growth(&self) -> Growth {
        let prompt = self.demand.prompt_tokens;
        Growth { now: prompt, end: self.room, answer: self.room.saturating_sub(prompt), grows: false }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Open {
    pub(super) demand: Demand,
    /// Memory for its prompt and its answer when it ends, as expected.
    pub(super) room: Tokens,
    pub(super) arrived_us: MonoTime,
    /// Since when it waits for an engine, the last time.
    pub(super) waits_since_us: MonoTime,
    /// Whether its caller has got a part of the answer.
    pub(super) begun: bool,
    pub(super) stage: Stage,
    pub(super) tries: Attempts,
    /// Prompts that engines have read for it; the first is free of the budget, further ones are not.
    pub(super) reads: u32,
    /// The engine that read the prompt, and when, while the KV cache may still be there.
    pub(super) read: Option<(usize, MonoTime)>,
    pub(super) failed_at: Option<usize>,
    /// Whether its next try was paid for, and until when it waits for that.
    pub(super) payment: Payment,
    /// How many events its answer had when that was last told, and when.
    pub(super) progress: Option<(MonoTime, u64)>,
}
