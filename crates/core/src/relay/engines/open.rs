//! A request that has not ended.

use super::events::Demand;
use crate::outcome::Attempts;
use crate::units::{MonoTime, Tokens};

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
    },
    Writing {
        writer: usize,
        since_us: MonoTime,
        /// Prompt tokens that the writer reads itself before it begins.
        reads: Tokens,
    },
}

#[derive(Clone, Debug)]
pub(super) struct Open {
    pub(super) demand: Demand,
    /// Memory for its prompt and its answer, as expected.
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
}
