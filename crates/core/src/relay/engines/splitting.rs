//! How many engines read prompts and how many write answers.
//!
//! Load: an installation starts with a split that somebody chose, and prompts and answers have other lengths than he
//! thought; engines come and go. Harm prevented: bursts are refused for want of writers while readers have nothing to
//! do, or the other way round.

use super::EnginePool;
use super::events::Role;
use crate::ids::BackendServerId;
use crate::units::{Micros, Millis, MonoTime};

/// Part of what the writers can take, at full load, that readers must be able to read. The rest is read by writers:
/// short prompts, while readers are busy. Long ones must not be refused for want of readers.
const READ_SHARE: f64 = 0.6;

/// Readers that there are at least: without any, long prompts pause the answers of whoever reads them.
const READERS_MIN: usize = 1;

/// Prompts seen before the split is judged. Their mean is then known to a fifth, and an engine more or less is judged
/// by a third.
const PROMPTS_MIN: f64 = 8.0;

/// How long the split must have been wrong. Longer than an engine's restart takes to show in the list.
const LASTING_MS: Millis = Millis(2_000);

/// Time beyond an engine's change of role until the list shows it.
const LIST_LAG_MS: Millis = Millis(2_000);

/// Pause before an engine that was ordered back and forth could be ordered again: an order whose answer was lost may be
/// carried out some seconds later.
const AGAIN_MS: Millis = Millis(15_000);

/// An engine that should change its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shift {
    /// Which engine.
    pub server: BackendServerId,
    /// Its role from then on.
    pub role: Role,
}

/// What is known for judging the split.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SplitState {
    wrong_since_us: Option<MonoTime>,
}

impl EnginePool {
    /// The engine to order next, if the split has been wrong for long enough.
    pub fn next_shift(&mut self, now_us: MonoTime) -> Option<Shift> {
        self.look_back(now_us);
        let (readers, live) = self.count(now_us);
        let wanted = self.readers_wanted(now_us, live)?;
        if readers == wanted {
            self.split.wrong_since_us = None;
            return None;
        }
        let since_us = *self.split.wrong_since_us.get_or_insert(now_us);
        if now_us < since_us + LASTING_MS {
            return None;
        }
        let role = if readers > wanted { Role::Decode } else { Role::Prefill };
        let fits = |index: &usize| {
            let engine = &self.engines[*index];
            engine.role != role
                && engine.instance.is_listed_live(now_us)
                && !engine.is_changing(now_us)
                && engine.ordered_us.is_none_or(|ordered_us| now_us >= ordered_us + AGAIN_MS)
        };
        let candidates = (0..self.engines.len()).filter(fits);
        let index = candidates
            .min_by_key(|&index| (self.engines[index].reading_all(), self.engines[index].room()))?;
        Some(Shift { server: self.engines[index].instance.server().clone(), role })
    }

    /// The engine was ordered to change its role, or may have been: it gets nothing until it is back.
    pub fn shifted(&mut self, now_us: MonoTime, shift: &Shift) {
        let changing_ms = self.settings.role_change_ms + LIST_LAG_MS;
        if let Some(&index) = self.names.get(&shift.server) {
            let engine = &mut self.engines[index];
            engine.ordered_us = Some(now_us);
            engine.changing_until_us = now_us + changing_ms;
            engine.role = shift.role;
        }
    }

    /// Readers and all engines that live; one that changes counts as what it will be.
    fn count(&self, now_us: MonoTime) -> (usize, usize) {
        let live = || self.engines.iter().filter(|engine| engine.instance.is_listed_live(now_us));
        (live().filter(|engine| engine.role == Role::Prefill).count(), live().count())
    }

    /// The least number of readers that reads its part of what the writers can take.
    fn readers_wanted(&self, now_us: MonoTime, live: usize) -> Option<usize> {
        if live <= READERS_MIN || self.usual.prompts() < PROMPTS_MIN {
            return None;
        }
        let slots = self.engines.iter().map(|engine| engine.instance.limit(now_us)).max().unwrap_or(1).into();
        let longest = self.settings.memory_tokens.0 as f64;
        let (prompt, answer) = (self.usual.prompt()?, self.usual.answer()?);
        // Over its life a request takes its prompt and half of its answer.
        let room = (prompt + answer / 2.0).clamp(1.0, longest);
        let at_once = (self.memory_limit().0 as f64 / room).min(slots);
        let prompt_ms = prompt / self.settings.read_tokens_per_ms.max(1) as f64;
        let written_per_ms = at_once / (self.usual_hold_us() / 1_000.0).max(1.0);
        let read_per_ms = 1.0 / prompt_ms.max(f64::MIN_POSITIVE);
        let is_enough = |readers: &usize| {
            let writers = live - *readers;
            *readers as f64 * read_per_ms >= READ_SHARE * writers as f64 * written_per_ms
        };
        (READERS_MIN..live).find(is_enough)
    }

    /// Engines that change their role by this daemon's order, and for how much longer.
    pub(super) fn changing(&self, now_us: MonoTime) -> Vec<(BackendServerId, Role, Micros)> {
        let changing =
            self.engines.iter().filter(|engine| engine.ordered_us.is_some() && engine.is_changing(now_us));
        changing
            .map(|engine| {
                let server = engine.instance.server().clone();
                (server, engine.role, engine.changing_until_us.since(now_us))
            })
            .collect()
    }
}
