//! Tests of role changes and model loads.

use hibiscusvale_core::ids::ModelId;
use hibiscusvale_core::sched::{EngineView, ModelDemand, ShiftOrder, ShiftPlanner, ShiftSettings};
use hibiscusvale_core::slots::Role;
use hibiscusvale_core::units::{Bytes, BytesPerSecond, MonoTime};

const SECOND_US: u64 = 1_000_000;

fn engine(server: &str, role: Role, model: &str, busy_percent: u32, in_use: u32) -> EngineView {
    let models = vec![model.parse().unwrap()];
    EngineView { server: server.parse().unwrap(), role, models, in_use, busy_percent, live: true }
}

fn engines(prefill: u32, decode: u32, in_use: u32) -> Vec<EngineView> {
    let prefills = (0..4).map(|number| engine(&format!("p{number}"), Role::Prefill, "m", prefill, 1));
    let decodes = (0..6).map(|number| engine(&format!("d{number}"), Role::Decode, "m", decode, in_use));
    prefills.chain(decodes).collect()
}

fn demand(model: &str, arrivals: u64) -> ModelDemand {
    ModelDemand { model: model.parse::<ModelId>().unwrap(), bytes: Bytes(1_000), arrivals }
}

fn run<Engines>(planner: &mut ShiftPlanner, from: u64, until: u64, engines: Engines) -> Vec<ShiftOrder>
where
    Engines: Fn(u64) -> Vec<EngineView>,
{
    let mut orders = Vec::new();
    for second in from..until {
        let now_us = MonoTime(second * SECOND_US);
        planner.plan(now_us, &engines(second), &[demand("m", 5)], BytesPerSecond(100), &mut orders);
    }
    orders
}

// Prompts become long and answers short: prefill is saturated and decode is idle. One engine changes role
// after it finished its requests, and no further order follows until the effect can be observed.
#[test]
fn lasting_imbalance_moves_one_idle_engine() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let orders = run(&mut planner, 0, 40, |second| engines(99, 20, u32::from(second < 35)));
    let server = "d0".parse().unwrap();
    let to_prefill = ShiftOrder::SetRole { server, role: Role::Prefill };
    assert_eq!(orders, [ShiftOrder::Drain { server: "d0".parse().unwrap() }, to_prefill]);
}

// An engine that never becomes idle returns to work instead of staying half empty.
#[test]
fn overdue_drain_is_cancelled() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let orders = run(&mut planner, 0, 92, |_| engines(99, 20, 1));
    assert_eq!(orders[1], ShiftOrder::Undrain { server: "d0".parse().unwrap() });
    assert!(!orders.iter().any(|order| matches!(order, ShiftOrder::SetRole { .. })));
}

// The load alternates every twenty seconds. Engines that followed each change would keep losing their caches.
#[test]
fn oscillating_load_causes_no_shift() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let oscillation = |second: u64| {
        if (second / 20).is_multiple_of(2) { engines(99, 20, 0) } else { engines(30, 80, 0) }
    };
    assert_eq!(run(&mut planner, 0, 600, oscillation), []);
}

// Prefill is saturated, but with one engine less decode would be too.
#[test]
fn shift_that_would_reverse_the_imbalance_is_rejected() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let few = |_| {
        let mut engines = engines(99, 44, 0);
        engines.truncate(4 + 2);
        engines
    };
    assert_eq!(run(&mut planner, 0, 120, few), []);
}

// A model without engines is requested: an idle engine loads it, and only one load runs at a time.
#[test]
fn requested_model_is_loaded_on_an_idle_engine() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let mut orders = Vec::new();
    for second in 0..35 {
        let now_us = MonoTime(second * SECOND_US);
        let demand_list = [demand("m", 5), demand("new", 3)];
        planner.plan(now_us, &engines(20, 20, 0), &demand_list, BytesPerSecond(100), &mut orders);
    }
    assert_eq!(orders.len(), 1);
    let is_load =
        |order: &ShiftOrder| matches!(order, ShiftOrder::Load { model, .. } if model.as_str() == "new");
    assert!(is_load(&orders[0]));
}

// A model without demand and without engines is not loaded.
#[test]
fn model_without_demand_is_not_loaded() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let mut orders = Vec::new();
    for second in 0..120 {
        let now_us = MonoTime(second * SECOND_US);
        planner.plan(now_us, &engines(20, 20, 0), &[demand("old", 0)], BytesPerSecond(100), &mut orders);
    }
    assert_eq!(orders, []);
}
