//! Moving roles and loading models.

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

// Prompts have become long and answers short: prefill is saturated, decode idles. One engine moves, after it
// finished what it had, and nothing more happens until the effect can be seen.
#[test]
fn lasting_imbalance_moves_one_idle_engine() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let orders = run(&mut planner, 0, 40, |second| engines(99, 20, u32::from(second < 35)));
    let server = "d0".parse().unwrap();
    let to_prefill = ShiftOrder::SetRole { server, role: Role::Prefill };
    assert_eq!(orders, [ShiftOrder::Drain { server: "d0".parse().unwrap() }, to_prefill]);
}

// An engine never becomes idle. It goes back to work instead of standing half empty for ever.
#[test]
fn drain_that_takes_too_long_is_taken_back() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let orders = run(&mut planner, 0, 92, |_| engines(99, 20, 1));
    assert_eq!(orders[1], ShiftOrder::Undrain { server: "d0".parse().unwrap() });
    assert!(!orders.iter().any(|order| matches!(order, ShiftOrder::SetRole { .. })));
}

// The load swings every twenty seconds. Engines that followed each swing would lose their caches all day.
#[test]
fn swinging_load_moves_nothing() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let swing = |second: u64| {
        if (second / 20).is_multiple_of(2) { engines(99, 20, 0) } else { engines(30, 80, 0) }
    };
    assert_eq!(run(&mut planner, 0, 600, swing), []);
}

// Prefill is saturated, but decode would be, too, with one engine less.
#[test]
fn shift_that_would_turn_the_imbalance_round_is_not_made() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let few = |_| {
        let mut engines = engines(99, 44, 0);
        engines.truncate(4 + 2);
        engines
    };
    assert_eq!(run(&mut planner, 0, 120, few), []);
}

// A model that no engine has is asked for; an idle engine loads it, one at a time.
#[test]
fn wanted_model_is_loaded_on_an_idle_engine() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let mut orders = Vec::new();
    for second in 0..35 {
        let now_us = MonoTime(second * SECOND_US);
        let wanted = [demand("m", 5), demand("new", 3)];
        planner.plan(now_us, &engines(20, 20, 0), &wanted, BytesPerSecond(100), &mut orders);
    }
    assert_eq!(orders.len(), 1);
    let is_load =
        |order: &ShiftOrder| matches!(order, ShiftOrder::Load { model, .. } if model.as_str() == "new");
    assert!(is_load(&orders[0]));
}

// Nobody asks for a model that the store has and no engine holds: nothing is loaded.
#[test]
fn unwanted_model_is_not_loaded() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let mut orders = Vec::new();
    for second in 0..120 {
        let now_us = MonoTime(second * SECOND_US);
        planner.plan(now_us, &engines(20, 20, 0), &[demand("old", 0)], BytesPerSecond(100), &mut orders);
    }
    assert_eq!(orders, []);
}
