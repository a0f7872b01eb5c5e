//! Moving engines between prefill and decode, and models between engines.
//!
//! Only the holder of the lease over orders runs this; the orders it returns carry the lease's fencing
//! number and an expiry, which the caller adds.

use std::collections::HashMap;

use crate::ids::{BackendServerId, ModelId};
use crate::order::LoadBudget;
use crate::slots::Role;
use crate::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime};

/// Limits of a [`ShiftPlanner`].
#[derive(Clone, Copy, Debug)]
pub struct ShiftSettings {
    /// A role busier than this is short of servers, in percent. Above it queues grow faster than linearly.
    pub hot_percent: u32,
    /// A role less busy than this has servers to spare. Far below `hot_percent`: a server that moves takes
    /// its load with it, and the gap keeps it from being moved back.
    pub cold_percent: u32,
    /// After a shift the role that gave must stay below this. Between the two, so that neither side of the
    /// shift is itself a reason for the next.
    pub after_percent: u32,
    /// How long both must last. Longer than a burst, which queues and refusals absorb.
    pub hold_ms: Millis,
    /// Pause of a model's pool after a shift: its effect must show in the load reports, which lag, before
    /// the next is judged.
    pub cooldown_ms: Millis,
    /// Engines being drained or loading at once, over all models. One: an order that proves wrong then
    /// costs one engine, and the weight store's rate is not divided.
    pub at_once: usize,
    /// Longest wait for an engine to finish what it has. Then it goes back to work and another is looked
    /// for: one long answer must not keep an engine idle for ever.
    pub drain_max_ms: Millis,
    /// Servers of each role that a model keeps. Two, so that one failure does not end its service.
    pub keep_min: usize,
    /// Time without demand after which a model's spare copy is unloaded.
    pub unload_after_ms: Millis,
    /// Weight of a new observation of the load, in percent.
    pub weight_percent: u32,
}

impl Default for ShiftSettings {
    fn default() -> Self {
        Self {
            hot_percent: 85,
            cold_percent: 45,
            after_percent: 70,
            hold_ms: Millis(30_000),
            cooldown_ms: Millis(120_000),
            at_once: 1,
            drain_max_ms: Millis(60_000),
            keep_min: 2,
            unload_after_ms: Millis(600_000),
            weight_percent: 20,
        }
    }
}

/// An engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Which engine.
    pub server: BackendServerId,
    /// Its role.
    pub role: Role,
    /// Models that it has loaded.
    pub models: Vec<ModelId>,
    /// Requests that it holds, of the engine's own report and of its ledger the greater.
    pub in_use: u32,
    /// How busy it is, in percent: of its time for prefill, of its slots for decode.
    pub busy_percent: u32,
    /// Whether it takes work.
    pub live: bool,
}

/// A model that the weight store holds, and whether anybody wants it.
#[derive(Clone, Debug)]
pub struct ModelDemand {
    /// Which model.
    pub model: ModelId,
    /// Size of its weights.
    pub bytes: Bytes,
    /// Requests for it since the last plan, refused ones as well.
    pub arrivals: u64,
}

/// What the lease's holder has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShiftOrder {
    /// Give the engine no new work.
    Drain {
        /// Which engine.
        server: BackendServerId,
    },
    /// Give it work again.
    Undrain {
        /// Which engine.
        server: BackendServerId,
    },
    /// Order it to change role. Nothing is in use there.
    SetRole {
        /// Which engine.
        server: BackendServerId,
        /// Its role from then on.
        role: Role,
    },
    /// Order it to load a model.
    Load {
        /// Which engine.
        server: BackendServerId,
        /// Which model.
        model: ModelId,
        /// Time that the weight store needs for it.
        expected_us: Micros,
    },
    /// Order it to unload a model.
    Unload {
        /// Which engine.
        server: BackendServerId,
        /// Which model.
        model: ModelId,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct RoleLoad {
    servers: usize,
    busy_percent: f64,
}

#[derive(Clone, Debug, Default)]
struct PoolState {
    loads: [RoleLoad; 2],
    seen: bool,
    lopsided_since_us: Option<(Role, MonoTime)>,
    quiet_until_us: MonoTime,
    wanted_us: MonoTime,
}

#[derive(Clone, Debug)]
struct Draining {
    server: BackendServerId,
    to: Role,
    model: ModelId,
    since_us: MonoTime,
}

#[derive(Clone, Debug)]
struct Loading {
    server: BackendServerId,
    model: ModelId,
    until_us: MonoTime,
}

/// Plans shifts with hysteresis.
///
/// Load: the mix of long prompts and long answers changes over hours, and models come into and out of use.
/// Harm prevented: one role saturated while the other idles; but also engines that move back and forth, each
/// time losing their caches and their work, which is worse than leaving them where they are. So a shift
/// needs a wide and lasting imbalance, must not create the opposite one, happens one at a time, and takes
/// only an engine that has nothing in use.
#[derive(Debug)]
pub struct ShiftPlanner {
    settings: ShiftSettings,
    pools: HashMap<ModelId, PoolState>,
    draining: Vec<Draining>,
    loading: Vec<Loading>,
}

const PERCENT: f64 = 100.0;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// A load order is given up after so many times its expected time.
const LOAD_PATIENCE: u64 = 3;

impl ShiftPlanner {
    /// A planner that has seen nothing. A new holder of the lease starts so: it waits a full `hold_ms`
    /// before its first order, which also covers what the holder before it may have ordered last.
    pub fn new(settings: ShiftSettings) -> Self {
        Self { settings, pools: HashMap::new(), draining: Vec::new(), loading: Vec::new() }
    }

    /// Looks at the engines and pushes what is to be done. To be called every second or so.
    pub fn plan(
        &mut self,
        now_us: MonoTime,
        engines: &[EngineView],
        demand: &[ModelDemand],
        store_rate: BytesPerSecond,
        orders: &mut Vec<ShiftOrder>,
    ) {
        self.observe(now_us, engines, demand);
        self.advance_drains(now_us, engines, orders);
        self.loading.retain(|loading| {
            let done = engines
                .iter()
                .any(|engine| engine.server == loading.server && engine.models.contains(&loading.model));
            !done && now_us < loading.until_us
        });
        for wanted in demand {
            self.plan_model(now_us, wanted, engines, store_rate, orders);
        }
    }

    fn observe(&mut self, now_us: MonoTime, engines: &[EngineView], demand: &[ModelDemand]) {
        let weight = f64::from(self.settings.weight_percent) / PERCENT;
        for wanted in demand {
            let pool = self.pools.entry(wanted.model.clone()).or_default();
            if wanted.arrivals > 0 || !pool.seen {
                pool.wanted_us = now_us;
            }
            for role in [Role::Prefill, Role::Decode] {
                let fresh = role_load(engines, &wanted.model, role);
                let load = &mut pool.loads[role as usize];
                load.servers = fresh.servers;
                // A model without servers is short of them only if somebody wants it.
                let busy_percent = match fresh.servers {
                    0 if wanted.arrivals == 0 => 0.0,
                    _ => fresh.busy_percent,
                };
                let step = if pool.seen { weight } else { 1.0 };
                load.busy_percent += step * (busy_percent - load.busy_percent);
            }
            pool.seen = true;
        }
    }

    /// Follows the engines that are being emptied.
    fn advance_drains(&mut self, now_us: MonoTime, engines: &[EngineView], orders: &mut Vec<ShiftOrder>) {
        let drain_max_ms = self.settings.drain_max_ms;
        let pools = &mut self.pools;
        let cooldown_ms = self.settings.cooldown_ms;
        self.draining.retain(|draining| {
            let engine = engines.iter().find(|engine| engine.server == draining.server);
            let Some(engine) = engine.filter(|engine| engine.role != draining.to) else {
                return false;
            };
            if engine.in_use == 0 {
                orders.push(ShiftOrder::SetRole { server: draining.server.clone(), role: draining.to });
                if let Some(pool) = pools.get_mut(&draining.model) {
                    pool.quiet_until_us = now_us + cooldown_ms;
                    pool.lopsided_since_us = None;
                }
                return false;
            }
            let late = now_us >= draining.since_us + drain_max_ms;
            if late {
                orders.push(ShiftOrder::Undrain { server: draining.server.clone() });
            }
            !late
        });
    }

    fn plan_model(
        &mut self,
        now_us: MonoTime,
        wanted: &ModelDemand,
        engines: &[EngineView],
        store_rate: BytesPerSecond,
        orders: &mut Vec<ShiftOrder>,
    ) {
        let under_way = self.draining.len() + self.loading.len();
        let busy = LoadBudget { limit: self.settings.at_once }.admit(under_way).is_err();
        let Some(pool) = self.pools.get_mut(&wanted.model) else {
            return;
        };
        let hot = hot_role(&self.settings, pool);
        let Some(role) = hot else {
            pool.lopsided_since_us = None;
            self.unload_unwanted(now_us, wanted, engines, orders);
            return;
        };
        let since_us = match pool.lopsided_since_us {
            Some((known, since_us)) if known == role => since_us,
            _ => now_us,
        };
        pool.lopsided_since_us = Some((role, since_us));
        let lasting = now_us >= since_us + self.settings.hold_ms && now_us >= pool.quiet_until_us;
        if busy || !lasting {
            return;
        }
        if may_give(&self.settings, pool.loads[other(role) as usize]) {
            self.shift(now_us, &wanted.model, role, engines, orders);
        } else {
            self.load(now_us, wanted, role, engines, store_rate, orders);
        }
    }

    /// Takes the least used engine of the other role. It is drained first: a change of role drops what the
    /// engine holds, and each answer cut off so would be prefilled again.
    fn shift(
        &mut self,
        now_us: MonoTime,
        model: &ModelId,
        to: Role,
        engines: &[EngineView],
        orders: &mut Vec<ShiftOrder>,
    ) {
        let givers = engines
            .iter()
            .filter(|engine| engine.live && engine.role == other(to) && engine.models.contains(model));
        let Some(engine) = givers.min_by_key(|engine| (engine.in_use, engine.busy_percent)) else {
            return;
        };
        let server = engine.server.clone();
        orders.push(ShiftOrder::Drain { server: server.clone() });
        self.draining.push(Draining { server, to, model: model.clone(), since_us: now_us });
    }

    /// Loads the model on an idle engine of the role that serves other models. Loads go one at a time: the
    /// weight store's rate is shared, and two loads would both end late.
    fn load(
        &mut self,
        now_us: MonoTime,
        wanted: &ModelDemand,
        role: Role,
        engines: &[EngineView],
        store_rate: BytesPerSecond,
        orders: &mut Vec<ShiftOrder>,
    ) {
        let cold = self.settings.cold_percent;
        let fit = |engine: &&EngineView| {
            engine.live
                && engine.role == role
                && engine.busy_percent < cold
                && !engine.models.contains(&wanted.model)
        };
        let Some(engine) = engines.iter().filter(fit).min_by_key(|engine| engine.busy_percent) else {
            return;
        };
        let expected_us = Micros(wanted.bytes.0.saturating_mul(MICROS_PER_SECOND) / store_rate.0.max(1));
        let until_us = now_us + Micros(expected_us.0.saturating_mul(LOAD_PATIENCE));
        let (server, model) = (engine.server.clone(), wanted.model.clone());
        orders.push(ShiftOrder::Load { server: server.clone(), model: model.clone(), expected_us });
        self.loading.push(Loading { server, model, until_us });
        if let Some(pool) = self.pools.get_mut(&wanted.model) {
            pool.quiet_until_us = now_us + self.settings.cooldown_ms;
        }
    }

    /// Unloads a copy of a model that nobody asked for in a long time, if enough copies stay and the engine
    /// serves another model.
    fn unload_unwanted(
        &mut self,
        now_us: MonoTime,
        wanted: &ModelDemand,
        engines: &[EngineView],
        orders: &mut Vec<ShiftOrder>,
    ) {
        let Some(pool) = self.pools.get_mut(&wanted.model) else {
            return;
        };
        let unwanted = now_us >= pool.wanted_us + self.settings.unload_after_ms;
        if !unwanted || now_us < pool.quiet_until_us {
            return;
        }
        for role in [Role::Prefill, Role::Decode] {
            let holds = |engine: &&EngineView| engine.role == role && engine.models.contains(&wanted.model);
            if engines.iter().filter(holds).count() <= self.settings.keep_min {
                continue;
            }
            let spare =
                engines.iter().filter(holds).find(|engine| engine.models.len() > 1 && engine.in_use == 0);
            if let Some(engine) = spare {
                orders
                    .push(ShiftOrder::Unload { server: engine.server.clone(), model: wanted.model.clone() });
                pool.quiet_until_us = now_us + self.settings.cooldown_ms;
                return;
            }
        }
    }
}

fn other(role: Role) -> Role {
    match role {
        Role::Prefill => Role::Decode,
        Role::Decode => Role::Prefill,
    }
}

fn role_load(engines: &[EngineView], model: &ModelId, role: Role) -> RoleLoad {
    let of_role =
        engines.iter().filter(|engine| engine.live && engine.role == role && engine.models.contains(model));
    let (servers, busy) = of_role
        .fold((0_usize, 0.0), |(servers, busy), engine| (servers + 1, busy + f64::from(engine.busy_percent)));
    let busy_percent = if servers == 0 { PERCENT } else { busy / servers as f64 };
    RoleLoad { servers, busy_percent }
}

fn hot_role(settings: &ShiftSettings, pool: &PoolState) -> Option<Role> {
    let hot = |role: &Role| pool.loads[*role as usize].busy_percent > f64::from(settings.hot_percent);
    [Role::Prefill, Role::Decode].into_iter().find(hot)
}

/// Whether a role can give a server: it is cold, keeps enough, and does not become warm by giving.
fn may_give(settings: &ShiftSettings, load: RoleLoad) -> bool {
    let left = load.servers.saturating_sub(1);
    let after = load.busy_percent * load.servers as f64 / left.max(1) as f64;
    left >= settings.keep_min
        && load.busy_percent < f64::from(settings.cold_percent)
        && after < f64::from(settings.after_percent)
}
