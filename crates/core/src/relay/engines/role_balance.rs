//! How many engines read prompts and how many write answers.
//!
//! Load: an installation starts with a split that somebody chose, and prompts and answers have other lengths than he
//! thought; engines come and go. Harm prevented: bursts are refused for want of writers while readers have nothing to
//! do, or the other way round.

use super::EnginePool;
use super::events::Role;
use crate::ids::BackendServerId;
use crate::units::{Micros, Millis, MonoTime};

/// Time for which the load is taken to stay as it is: an engine that changes its role must earn more in this time than it
/// misses while it changes. Traffic turns from long prompts to long answers within some tens of seconds.
const HORIZON_MS: Millis = Millis(30_000);

/// Part of their memory that writers fill while callers wait for room: what is reserved stands empty until a prompt is read,
/// no request fits into the last gap, and room is kept for answers that grow. By the daemons' logs of bursts their requests
/// took 0.59 to 0.70 of it. Without it more engines read than are needed: 0.03 of worth, in paired plays of one
/// deployment.
const WRITERS_LOAD: f64 = 0.6;

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

/// What one engine does.
#[derive(Clone, Copy, Debug)]
struct EnginePace {
    /// Prompts that a reader reads.
    read_per_ms: f64,
    /// Requests for which a writer has memory.
    at_once: f64,
    /// Time for which each has it.
    held_ms: f64,
    /// The same time, of all its requests together, that a writer loses when it reads a prompt itself.
    own_reading_held_ms: f64,
}

impl EnginePace {
    /// Requests that so many engines serve: as many as readers read and writers hold, and beyond what readers read as many
    /// as writers can both read and hold.
    fn served_per_ms(&self, readers: usize, writers: usize) -> f64 {
        let (readers, held) = (readers as f64, writers as f64 * self.at_once * WRITERS_LOAD);
        let read = readers * self.read_per_ms;
        let written = held / self.held_ms;
        if read >= written {
            return written;
        }
        (held + read * self.own_reading_held_ms) / (self.held_ms + self.own_reading_held_ms)
    }
}

impl EnginePool {
    /// The engine to order next, if the split has been wrong for long enough.
    pub fn next_shift(&mut self, now_us: MonoTime) -> Option<Shift> {
        self.look_back(now_us);
        let (readers, live) = self.count(now_us);
        let wanted = self.readers_wanted(now_us, readers, live)?;
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

    /// The number of readers with which most requests are served over the time to come, with what is missed while engines
    /// change their roles.
    fn readers_wanted(&self, now_us: MonoTime, readers: usize, live: usize) -> Option<usize> {
        if live <= READERS_MIN || self.usual.prompts() < PROMPTS_MIN {
            return None;
        }
        let pace = self.engine_pace(now_us)?;
        let change_ms = (self.settings.role_change_ms + LIST_LAG_MS).0 as f64;
        let served_now = pace.served_per_ms(readers, live - readers);
        let missed_a_change = served_now / live as f64 * change_ms;
        let earned = |wanted: usize| {
            let served = pace.served_per_ms(wanted, live - wanted) * HORIZON_MS.0 as f64;
            served - missed_a_change * wanted.abs_diff(readers) as f64
        };
        (READERS_MIN..live).max_by(|&one, &other| {
            let nearer = other.abs_diff(readers).cmp(&one.abs_diff(readers));
            earned(one).total_cmp(&earned(other)).then(nearer)
        })
    }

    /// What one engine does with requests like those of late.
    fn engine_pace(&self, now_us: MonoTime) -> Option<EnginePace> {
        let slots = self.engines.iter().map(|engine| engine.instance.limit(now_us)).max().unwrap_or(1).into();
        let longest = self.settings.memory_tokens.0 as f64;
        let (prompt, answer) = (self.usual.prompt()?, self.usual.answer()?);
        // Over its life a request takes its prompt and half of its answer.
        let room = (prompt + answer / 2.0).clamp(1.0, longest);
        let at_once = (self.memory_limit().0 as f64 / room).min(slots);
        let reading_ms = prompt / self.usual.reading_per_ms();
        let own_reading_ms = prompt / self.usual.own_reading_per_ms();
        Some(EnginePace {
            read_per_ms: 1.0 / reading_ms.max(1.0),
            at_once,
            // Its memory is kept while its prompt is read.
            held_ms: (reading_ms + answer / self.usual.pace()).max(1.0),
            own_reading_held_ms: at_once * own_reading_ms,
        })
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
