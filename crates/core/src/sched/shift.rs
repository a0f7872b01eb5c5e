//! Planning of role changes of engines between prefill and decode, and of model loads.
//!
//! Runs only at the holder of the lease for orders. The caller adds the fencing number of the lease and an
//! expiry to the orders returned here.

use std::collections::HashMap;

use crate::ids::{BackendServerId, ModelId};
use crate::order::LoadLimit;
use crate::slots::Role;
use crate::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime};

/// Limits of a [`ShiftPlanner`].
#[derive(Clone, Copy, Debug)]
pub struct ShiftSettings {
    /// Load in percent above which a role is short of servers. Above it, queues grow faster than linearly.
    pub hot_percent: u32,
    /// Load in percent below which a role has servers to spare. Far below `hot_percent`: a server that
    /// changes role takes its load along, and the gap keeps it from being moved back.
    pub cold_percent: u32,
    /// The donating role must stay below this load in percent after a shift. Between the two other limits, so
    /// that neither role is a reason for the next shift.
    pub after_percent: u32,
    /// Time for which the imbalance must last. Longer than a burst, which queues and refusals absorb.
    pub hold_ms: Millis,
    /// Pause of a model's pool after a shift: the effect must show in the load reports, which lag, before the
    /// next decision.
    pub cooldown_ms: Millis,
    /// Maximum number of engines draining or loading at once, over all models. One, so that a wrong order
    /// costs one engine and the bandwidth of the weight store is not divided.
    pub concurrent_max: usize,
    /// Time limit of a drain. After it the engine returns to work and another is chosen, so that one long
    /// answer does not keep an engine idle forever.
    pub drain_max_ms: Millis,
    /// Minimum number of servers per role and model. Two, so that one failure does not end the service.
    pub servers_min: usize,
    /// Time without demand after which a spare copy of a model is unloaded.
    pub unload_after_ms: Millis,
    /// Weight of a new sample in the load average, in percent.
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
            concurrent_max: 1,
            drain_max_ms: Millis(60_000),
            servers_min: 2,
            unload_after_ms: Millis(600_000),
            weight_percent: 20,
        }
    }
}

/// State of an engine as seen by the planner.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Server name.
    pub server: BackendServerId,
    /// Current role.
    pub role: Role,
    /// Loaded models.
    pub models: Vec<ModelId>,
    /// Requests in use: the larger of the engine's own report and the count of its ledger.
    pub in_use: u32,
    /// Load in percent: of its time for prefill, of its slots for decode.
    pub busy_percent: u32,
    /// Whether it accepts work.
    pub live: bool,
}

/// Model in the weight store, with its demand.
#[derive(Clone, Debug)]
pub struct ModelDemand {
    /// Model ID.
    pub model: ModelId,
    /// Size of its weights.
    pub bytes: Bytes,
    /// Requests for the model since the last plan, including refused ones.
    pub arrivals: u64,
}

/// Order that the lease holder has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShiftOrder {
    /// Stop giving the engine new work.
    Drain {
        /// Server name.
        server: BackendServerId,
    },
    /// Resume giving it work.
    Undrain {
        /// Server name.
        server: BackendServerId,
    },
    /// Change its role. Nothing is in use at the engine.
    SetRole {
        /// Server name.
        server: BackendServerId,
        /// New role.
        role: Role,
    },
    /// Load a model.
    Load {
        /// Server name.
        server: BackendServerId,
        /// Model ID.
        model: ModelId,
        /// Expected duration of the load from the weight store.
        expected_us: Micros,
    },
    /// Unload a model.
    Unload {
        /// Server name.
        server: BackendServerId,
        /// Model ID.
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
    has_observation: bool,
    imbalanced_since_us: Option<(Role, MonoTime)>,
    cooldown_until_us: MonoTime,
    last_demand_us: MonoTime,
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

/// Plans role changes and model loads, with hysteresis.
///
/// The mix of long prompts and long answers changes over hours, and models come into and go out of use, so
/// one role can be saturated while the other is idle. Engines that change role lose their caches and their
/// work, so frequent changes are worse than none. A shift therefore requires a large and lasting imbalance,
/// must not create the opposite one, happens one at a time, and takes only an engine with nothing in use.
#[derive(Debug)]
pub struct ShiftPlanner {
    settings: ShiftSettings,
    pools: HashMap<ModelId, PoolState>,
    draining: Vec<Draining>,
    loading: Vec<Loading>,
}

const PERCENT: f64 = 100.0;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Timeout of a model load as a multiple of its expected duration.
const LOAD_TIMEOUT_FACTOR: u64 = 3;

impl ShiftPlanner {
    /// Creates a planner without observations. A new lease holder starts with one: it waits a full `hold_ms`
    /// before its first order, which also covers the last orders of its predecessor.
    pub fn new(settings: ShiftSettings) -> Self {
        Self { settings, pools: HashMap::new(), draining: Vec::new(), loading: Vec::new() }
    }

    /// Evaluates the engines and appends the resulting orders. Called about once a second.
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
        for model_demand in demand {
            self.plan_model(now_us, model_demand, engines, store_rate, orders);
        }
    }

    fn observe(&mut self, now_us: MonoTime, engines: &[EngineView], demand: &[ModelDemand]) {
        let weight = f64::from(self.settings.weight_percent) / PERCENT;
        for model_demand in demand {
            let pool = self.pools.entry(model_demand.model.clone()).or_default();
            if model_demand.arrivals > 0 || !pool.has_observation {
                pool.last_demand_us = now_us;
            }
            for role in [Role::Prefill, Role::Decode] {
                let current = role_load(engines, &model_demand.model, role);
                let load = &mut pool.loads[role as usize];
                load.servers = current.servers;
                // A model without servers is short of them only if there is demand for it.
                let busy_percent = match current.servers {
                    0 if model_demand.arrivals == 0 => 0.0,
                    _ => current.busy_percent,
                };
                let step = if pool.has_observation { weight } else { 1.0 };
                load.busy_percent += step * (busy_percent - load.busy_percent);
            }
            pool.has_observation = true;
        }
    }

    /// Completes or cancels drains in progress.
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
                    pool.cooldown_until_us = now_us + cooldown_ms;
                    pool.imbalanced_since_us = None;
                }
                return false;
            }
            let is_overdue = now_us >= draining.since_us + drain_max_ms;
            if is_overdue {
                orders.push(ShiftOrder::Undrain { server: draining.server.clone() });
            }
            !is_overdue
        });
    }

    fn plan_model(
        &mut self,
        now_us: MonoTime,
        model_demand: &ModelDemand,
        engines: &[EngineView],
        store_rate: BytesPerSecond,
        orders: &mut Vec<ShiftOrder>,
    ) {
        let in_progress = self.draining.len() + self.loading.len();
        let at_limit = LoadLimit { limit: self.settings.concurrent_max }.admit(in_progress).is_err();
        let Some(pool) = self.pools.get_mut(&model_demand.model) else {
            return;
        };
        let hot = hot_role(&self.settings, pool);
        let Some(role) = hot else {
            pool.imbalanced_since_us = None;
            self.unload_unused(now_us, model_demand, engines, orders);
            return;
        };
        let since_us = match pool.imbalanced_since_us {
            Some((known, since_us)) if known == role => since_us,
            _ => now_us,
        };
        pool.imbalanced_since_us = Some((role, since_us));
        let is_persistent = now_us >= since_us + self.settings.hold_ms && now_us >= pool.cooldown_until_us;
        if at_limit || !is_persistent {
            return;
        }
        if can_donate(&self.settings, pool.loads[opposite(role) as usize]) {
            self.start_shift(now_us, &model_demand.model, role, engines, orders);
        } else {
            self.start_load(now_us, model_demand, role, engines, store_rate, orders);
        }
    }

    /// Drains the least used engine of the other role. A change of role drops what the engine holds, and each
    /// answer cut off that way would be prefilled again.
    fn start_shift(
        &mut self,
        now_us: MonoTime,
        model: &ModelId,
        to: Role,
        engines: &[EngineView],
        orders: &mut Vec<ShiftOrder>,
    ) {
        let donors = engines
            .iter()
            .filter(|engine| engine.live && engine.role == opposite(to) && engine.models.contains(model));
        let Some(engine) = donors.min_by_key(|engine| (engine.in_use, engine.busy_percent)) else {
            return;
        };
        let server = engine.server.clone();
        orders.push(ShiftOrder::Drain { server: server.clone() });
        self.draining.push(Draining { server, to, model: model.clone(), since_us: now_us });
    }

    /// Loads the model on an idle engine of the role that serves other models. Loads run one at a time: they
    /// share the bandwidth of the weight store, and two would both finish late.
    fn start_load(
        &mut self,
        now_us: MonoTime,
        model_demand: &ModelDemand,
        role: Role,
        engines: &[EngineView],
        store_rate: BytesPerSecond,
        orders: &mut Vec<ShiftOrder>,
    ) {
        let cold = self.settings.cold_percent;
        let is_suitable = |engine: &&EngineView| {
            engine.live
                && engine.role == role
                && engine.busy_percent < cold
                && !engine.models.contains(&model_demand.model)
        };
        let Some(engine) = engines.iter().filter(is_suitable).min_by_key(|engine| engine.busy_percent) else {
            return;
        };
        let expected_us =
            Micros(model_demand.bytes.0.saturating_mul(MICROS_PER_SECOND) / store_rate.0.max(1));
        let until_us = now_us + Micros(expected_us.0.saturating_mul(LOAD_TIMEOUT_FACTOR));
        let (server, model) = (engine.server.clone(), model_demand.model.clone());
        orders.push(ShiftOrder::Load { server: server.clone(), model: model.clone(), expected_us });
        self.loading.push(Loading { server, model, until_us });
        if let Some(pool) = self.pools.get_mut(&model_demand.model) {
            pool.cooldown_until_us = now_us + self.settings.cooldown_ms;
        }
    }

    /// Unloads a copy of a model without demand for a long time, if enough copies remain and the engine
    /// serves another model.
    fn unload_unused(
        &mut self,
        now_us: MonoTime,
        model_demand: &ModelDemand,
        engines: &[EngineView],
        orders: &mut Vec<ShiftOrder>,
    ) {
        let Some(pool) = self.pools.get_mut(&model_demand.model) else {
            return;
        };
        let unused = now_us >= pool.last_demand_us + self.settings.unload_after_ms;
        if !unused || now_us < pool.cooldown_until_us {
            return;
        }
        for role in [Role::Prefill, Role::Decode] {
            let holds =
                |engine: &&EngineView| engine.role == role && engine.models.contains(&model_demand.model);
            if engines.iter().filter(holds).count() <= self.settings.servers_min {
                continue;
            }
            let spare =
                engines.iter().filter(holds).find(|engine| engine.models.len() > 1 && engine.in_use == 0);
            if let Some(engine) = spare {
                orders.push(ShiftOrder::Unload {
                    server: engine.server.clone(),
                    model: model_demand.model.clone(),
                });
                pool.cooldown_until_us = now_us + self.settings.cooldown_ms;
                return;
            }
        }
    }
}

fn opposite(role: Role) -> Role {
    match role {
        Role::Prefill => Role::Decode,
        Role::Decode => Role::Prefill,
    }
}

fn role_load(engines: &[EngineView], model: &ModelId, role: Role) -> RoleLoad {
    let of_role =
        engines.iter().filter(|engine| engine.live && engine.role == role && engine.models.contains(model));
    let (servers, busy_sum) = of_role.fold((0_usize, 0.0), |(servers, busy_sum), engine| {
        (servers + 1, busy_sum + f64::from(engine.busy_percent))
    });
    let busy_percent = if servers == 0 { PERCENT } else { busy_sum / servers as f64 };
    RoleLoad { servers, busy_percent }
}

fn hot_role(settings: &ShiftSettings, pool: &PoolState) -> Option<Role> {
    let hot = |role: &Role| pool.loads[*role as usize].busy_percent > f64::from(settings.hot_percent);
    [Role::Prefill, Role::Decode].into_iter().find(hot)
}

/// Whether a role can donate a server: its load is low, it keeps enough servers, and donating does not raise
/// its load too far.
fn can_donate(settings: &ShiftSettings, load: RoleLoad) -> bool {
    let remaining = load.servers.saturating_sub(1);
    let load_after = load.busy_percent * load.servers as f64 / remaining.max(1) as f64;
    remaining >= settings.servers_min
        && load.busy_percent < f64::from(settings.cold_percent)
        && load_after < f64::from(settings.after_percent)
}
