//! What one daemon knows of one engine.

use super::events::{ListedEngine, Role, ToldLoad};
use crate::sched::InstanceSettings;
use crate::sched::instance::Instance;
use crate::units::{Micros, Millis, MonoTime, Tokens};

/// For how long an engine that refused for want of room gets nothing more. An answer takes longer than this to
/// be written, and each refusal is paid for out of the retry budget.
const FULL_MS: Millis = Millis(150);

#[derive(Clone, Debug)]
pub(super) struct Engine {
    /// Whether it lives, takes work and does well.
    pub(super) instance: Instance,
    pub(super) role: Role,
    /// Prompt tokens that it reads for this daemon.
    pub(super) reading: Tokens,
    /// Memory that requests of this daemon take, or will.
    pub(super) held: Tokens,
    told: Option<(MonoTime, ToldLoad)>,
    full_until_us: MonoTime,
}

impl Engine {
    pub(super) fn new(settings: InstanceSettings, listed: ListedEngine) -> Self {
        Self {
            role: listed.role,
            instance: Instance::new(settings, listed.server, listed.slots, listed.leaving),
            reading: Tokens::ZERO,
            held: Tokens::ZERO,
            told: None,
            full_until_us: MonoTime::default(),
        }
    }

    pub(super) fn relist(&mut self, listed: &ListedEngine) {
        self.role = listed.role;
        self.instance.relist(listed.slots, listed.leaving);
    }

    pub(super) fn told(&mut self, now_us: MonoTime, load: ToldLoad, age_us: Micros) {
        self.told = Some((now_us, load));
        self.instance.report(now_us, load.running + load.waiting, load.slots, age_us);
    }

    pub(super) fn hold(&mut self, tokens: Tokens) {
        self.held += tokens;
    }

    pub(super) fn release(&mut self, tokens: Tokens) {
        self.held = self.held.saturating_sub(tokens);
    }

    pub(super) fn start_reading(&mut self, now_us: MonoTime, tokens: Tokens) {
        self.reading += tokens;
        self.instance.start(now_us);
    }

    pub(super) fn end_reading(&mut self, tokens: Tokens) {
        self.reading = self.reading.saturating_sub(tokens);
    }

    /// Time for what it has to read.
    pub(super) fn reading_ms(&self, tokens_per_ms: f64) -> Millis {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
        Millis((self.reading.0 as f64 / tokens_per_ms.max(1.0)) as u64)
    }

    pub(super) fn refused(&mut self, now_us: MonoTime) {
        self.full_until_us = now_us + FULL_MS;
    }

    /// Whether it has refused for want of room just now.
    pub(super) fn is_full(&self, now_us: MonoTime) -> bool {
        now_us < self.full_until_us
    }

    /// How full it is: requests of all daemons, then memory of this one's.
    pub(super) fn fullness(&self, now_us: MonoTime) -> (u32, Tokens) {
        (self.instance.load(now_us), self.held)
    }
}
