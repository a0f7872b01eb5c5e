//! How many engines prefill prompts and how many decode answers.
//!
//! An installation starts with a split chosen in advance, but lengths of prompts and answers differ from what
//! was assumed, and engines come and go. With a wrong split, bursts are refused for lack of decode engines
//! while prefill engines are idle, or the reverse.

use std::cmp::Ordering;

use super::EnginePool;
use super::engine::Engine;
use super::events::{Role, VersionBinding};
use crate::ids::BackendServerId;
use crate::units::{Micros, Millis, MonoTime};

/// Time for which the load is assumed to stay as it is: an engine that changes its role must gain more in
/// this time than it loses during the change. Traffic turns from long prompts to long answers within some
/// tens of seconds.
const HORIZON_MS: Millis = Millis(30_000);

/// Part of their memory that decode engines fill while callers wait for room: reservations stay unused until
/// the prompt is prefilled, no request fits into the last gap, and headroom is kept for growing answers. In
/// the daemons' logs of bursts it was 0.59 to 0.70. Without this factor more prefill engines are used than
/// needed, which scored 0.03 lower in paired simulation runs of one deployment.
const DECODE_MEMORY_LOAD: f64 = 0.6;

/// Minimum number of prefill engines: without any, long prompts pause the answers of the engines that prefill
/// them.
const PREFILL_ENGINES_MIN: usize = 1;

/// Prompts observed before the split is judged. Their mean is then known to within a fifth, and one engine
/// more or less makes a difference of a third.
const PROMPTS_MIN: f64 = 8.0;

/// How long the split must have been wrong. Longer than the restart of an engine takes to show in the list.
const UNBALANCED_MIN_MS: Millis = Millis(2_000);

/// Time after an engine's change of role until the list shows it.
const LIST_LAG_MS: Millis = Millis(2_000);

/// Pause before the same engine may be ordered again: an order whose answer was lost may be carried out some
/// seconds later.
const REORDER_PAUSE_MS: Millis = Millis(15_000);

/// An engine that should change its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// Name of the engine.
    pub server: BackendServerId,
    /// Its new role.
    pub role: Role,
}

/// State for judging the split.
#[derive(Clone, Debug, Default)]
pub(super) struct RoleBalance {
    /// Engines whose split is wrong, the role of which there are too few, and since when.
    unbalanced: Option<(VersionBinding, Role, MonoTime)>,
}

/// Rates and capacities of a single engine.
#[derive(Clone, Copy, Debug)]
struct EngineRates {
    /// Prompts that a prefill engine completes.
    prefills_per_ms: f64,
    /// Requests that fit on a decode engine at once.
    concurrent: f64,
    /// Time for which each of them holds memory.
    held_ms: f64,
    /// Memory time, summed over all its requests, that a decode engine loses when it prefills a prompt
    /// itself.
    own_prefill_held_ms: f64,
}

impl EngineRates {
    /// Request rate that this many engines serve: the lower of what prefill engines prefill and decode
    /// engines hold; beyond the capacity of the prefill engines, as much as decode engines can both prefill
    /// and hold.
    fn served_per_ms(&self, prefill_engines: f64, decode_engines: f64) -> f64 {
        let held = decode_engines * self.concurrent * DECODE_MEMORY_LOAD;
        let prefilled = prefill_engines * self.prefills_per_ms;
        let decoded = held / self.held_ms;
        if prefilled >= decoded {
            return decoded;
        }
        (held + prefilled * self.own_prefill_held_ms) / (self.held_ms + self.own_prefill_held_ms)
    }
}

impl EnginePool {
    /// The engine to order next, if the split has been wrong for long enough.
    pub fn next_role_change(&mut self, now_us: MonoTime) -> Option<RoleChange> {
        self.refresh_stats(now_us);
        let Some((binding, role)) = self.wrong_split(now_us) else {
            self.role_balance.unbalanced = None;
            return None;
        };
        let since_us = match &self.role_balance.unbalanced {
            Some((before, before_role, since_us)) if *before == binding && *before_role == role => *since_us,
            Some(_) | None => {
                self.role_balance.unbalanced = Some((binding.clone(), role, now_us));
                now_us
            }
        };
        if now_us < since_us + UNBALANCED_MIN_MS {
            return None;
        }
        let is_eligible = |index: &usize| {
            let engine = &self.engines[*index];
            engine.role != role
                && binding.allows(&engine.version)
                && engine.instance.is_listed_live(now_us)
                && engine.instance.resting_until(now_us).is_none()
                && !engine.is_changing_role(now_us)
                && engine
                    .last_ordered_us
                    .is_none_or(|last_ordered_us| now_us >= last_ordered_us + REORDER_PAUSE_MS)
        };
        let candidates = (0..self.engines.len()).filter(is_eligible);
        let served = self.served_after_change(now_us, role, &binding);
        let preference = |&one: &usize, &other: &usize| {
            let (one, other) = (&self.engines[one], &self.engines[other]);
            let load = |engine: &Engine| (engine.prefill_backlog(), engine.final_tokens());
            let more = served(other).total_cmp(&served(one));
            let slower = speed_in_role(one).total_cmp(&speed_in_role(other));
            more.then(slower).then(load(one).cmp(&load(other)))
        };
        let index = candidates.min_by(preference)?;
        Some(RoleChange { server: self.engines[index].instance.server().clone(), role })
    }

    /// Request rate that the engines that `binding` allows serve after one of them has changed to `role`, by
    /// their speeds; 0 while it is unknown.
    ///
    /// If the emptiest engine changed, a fast one could go to a role that needs it less.
    fn served_after_change(
        &self,
        now_us: MonoTime,
        role: Role,
        binding: &VersionBinding,
    ) -> impl Fn(&Engine) -> f64 {
        let live = self.engines.iter().filter(|engine| is_live(now_us, engine, binding));
        let (mut prefill, mut decode) = (0.0, 0.0);
        for engine in live {
            match engine.role {
                Role::Prefill => prefill += engine.speed.prefill,
                Role::Decode => decode += engine.speed.decode,
            }
        }
        let rates = self.engine_rates(now_us);
        move |engine| {
            let (prefill, decode) = match role {
                Role::Prefill => (prefill + engine.speed.prefill, decode - engine.speed.decode),
                Role::Decode => (prefill - engine.speed.prefill, decode + engine.speed.decode),
            };
            rates.map_or(0.0, |rates| rates.served_per_ms(prefill.max(0.0), decode.max(0.0)))
        }
    }

    /// Records that the engine was ordered to change its role, or may have been: it gets no requests until it
    /// is back.
    pub fn role_change_ordered(&mut self, now_us: MonoTime, change: &RoleChange) {
        let unavailable_ms = self.settings.role_change_ms + LIST_LAG_MS;
        if let Some(&index) = self.index_by_name.get(&change.server) {
            let engine = &mut self.engines[index];
            engine.last_ordered_us = Some(now_us);
            engine.role_change_until_us = now_us + unavailable_ms;
            engine.role = change.role;
        }
    }

    /// The engines whose split is wrong, and the role of which there are too few. KV caches are not fetched across
    /// software versions, so the engines of each version are judged by themselves, the largest group first.
    fn wrong_split(&self, now_us: MonoTime) -> Option<(VersionBinding, Role)> {
        let groups = self.versions.groups().map(|binding| (self.count_live(now_us, &binding), binding));
        let wrong = groups.filter_map(|((prefill_engines, live), binding)| {
            let target = self.target_prefill_engines(now_us, prefill_engines, live, &binding)?;
            let role = match prefill_engines.cmp(&target) {
                Ordering::Less => Role::Prefill,
                Ordering::Equal => return None,
                Ordering::Greater => Role::Decode,
            };
            Some((live, binding, role))
        });
        let (_, binding, role) = wrong.max_by_key(|(live, _, _)| *live)?;
        Some((binding, role))
    }

    /// Number of live prefill engines and of all live engines that `binding` allows; an engine that changes counts with
    /// its new role.
    fn count_live(&self, now_us: MonoTime, binding: &VersionBinding) -> (usize, usize) {
        let live = || self.engines.iter().filter(|engine| is_live(now_us, engine, binding));
        (live().filter(|engine| engine.role == Role::Prefill).count(), live().count())
    }

    /// Number of prefill engines that serves the most requests over the horizon, less what is lost while
    /// engines change their roles.
    fn target_prefill_engines(
        &self,
        now_us: MonoTime,
        prefill_engines: usize,
        live: usize,
        binding: &VersionBinding,
    ) -> Option<usize> {
        // The few engines of one of several versions may have to prefill their prompts themselves.
        let least = if *binding == VersionBinding::Any { PREFILL_ENGINES_MIN } else { 0 };
        if live <= least || self.fleet_stats.prompts() < PROMPTS_MIN {
            return None;
        }
        let rates = self.engine_rates(now_us)?;
        let change_ms = (self.settings.role_change_ms + LIST_LAG_MS).0 as f64;
        let served_now = rates.served_per_ms(prefill_engines as f64, (live - prefill_engines) as f64);
        let lost_per_change = served_now / live as f64 * change_ms;
        let gain = |target: usize| {
            let served = rates.served_per_ms(target as f64, (live - target) as f64) * HORIZON_MS.0 as f64;
            served - lost_per_change * target.abs_diff(prefill_engines) as f64
        };
        (least..live).max_by(|&one, &other| {
            let nearer = other.abs_diff(prefill_engines).cmp(&one.abs_diff(prefill_engines));
            gain(one).total_cmp(&gain(other)).then(nearer)
        })
    }

    /// Rates of one engine for requests like the recent ones.
    fn engine_rates(&self, now_us: MonoTime) -> Option<EngineRates> {
        let slots = self.engines.iter().map(|engine| engine.instance.limit(now_us)).max().unwrap_or(1).into();
        let longest = self.settings.memory_tokens.0 as f64;
        let (prompt, answer) = (self.fleet_stats.prompt()?, self.fleet_stats.answer()?);
        // Averaged over its lifetime, a request takes its prompt and half of its answer.
        let mean_tokens = (prompt + answer / 2.0).clamp(1.0, longest);
        let concurrent = (self.memory_limit().0 as f64 / mean_tokens).min(slots);
        let prefill_ms = prompt / self.fleet_stats.prefill_tokens_per_ms();
        let decode_engine_prefill_ms = prompt / self.fleet_stats.decode_engine_prefill_tokens_per_ms();
        Some(EngineRates {
            prefills_per_ms: 1.0 / prefill_ms.max(1.0),
            concurrent,
            // Its memory is held during the prefill.
            held_ms: (prefill_ms + answer / self.fleet_stats.decode_rate()).max(1.0),
            own_prefill_held_ms: concurrent * decode_engine_prefill_ms,
        })
    }

    /// Engines that change their role by this daemon's order, and the time left until the change ends.
    pub(super) fn role_changes(&self, now_us: MonoTime) -> Vec<(BackendServerId, Role, Micros)> {
        let role_changes = self
            .engines
            .iter()
            .filter(|engine| engine.last_ordered_us.is_some() && engine.is_changing_role(now_us));
        role_changes
            .map(|engine| {
                let server = engine.instance.server().clone();
                (server, engine.role, engine.role_change_until_us.since(now_us))
            })
            .collect()
    }
}

/// Whether the engine accepts requests and `binding` allows it.
fn is_live(now_us: MonoTime, engine: &Engine, binding: &VersionBinding) -> bool {
    engine.instance.is_listed_live(now_us) && binding.allows(&engine.version)
}

/// Speed of an engine in its present role, relative to the mean of the pool.
fn speed_in_role(engine: &Engine) -> f64 {
    match engine.role {
        Role::Prefill => engine.speed.prefill,
        Role::Decode => engine.speed.decode,
    }
}
