//! Random schedules with fixed seeds. To run 1,000 schedules instead of 25 for each set of failures:
//! `HIBISCUSVALE_SCHEDULES=1000 cargo test --release -p hibiscusvale-core --test outcomes schedule`.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::simulation::{FAULTS, Fault, Simulation, Step};

const SCHEDULES_PER_SET: u32 = 25;
const STEPS: usize = 250;

fn schedules_per_set() -> u32 {
    std::env::var("HIBISCUSVALE_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES_PER_SET)
}

fn steps(faults: Vec<Fault>) -> impl Strategy<Value = Vec<Step>> {
    let fault = move |pick: u8, which: u8| {
        let fault = faults.get(which as usize % faults.len().max(1));
        fault.map_or(Step::Tick { host: pick, millis: 1 }, |fault| Step::Fault(*fault, pick))
    };
    let step = (0..32_u8, any::<u8>(), any::<u8>()).prop_map(move |(kind, a, b)| match kind {
        0..=4 => Step::Begin { host: a, key: b, body: a / 3 },
        5..=11 => Step::Deliver { pick: a },
        12..=18 => Step::Log { pick: a },
        19..=22 => Step::Run { pick: a, how: b },
        23..=27 => Step::Tick { host: a, millis: b },
        28 => Step::Members { host: a, mask: b },
        _ => fault(a, b),
    });
    prop::collection::vec(step, STEPS)
}

fn run(seed: u8, faults: &[Fault]) {
    let config = Config { cases: schedules_per_set(), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&steps(faults.to_vec()), |steps| {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
        }
        simulation.heal_and_settle();
        simulation.assert_unused_keys_released();
        Ok(())
    });
    assert!(result.is_ok(), "{faults:?}: {}", result.expect_err("checked"));
}

/// No failures; callers retry at several hosts at once.
#[test]
fn no_failure() {
    run(0, &[]);
}

/// Each failure alone and each pair of failures occurs repeatedly while callers retry at several hosts. A
/// caller must never cause a second run, be told "not run" of a request that ran, or get the answer to
/// another request.
#[test]
fn each_failure_alone_and_in_pairs() {
    for (first, fault) in (1..).zip(FAULTS) {
        run(first, &[fault]);
        for (second, other) in (1..).zip(FAULTS).skip(first as usize) {
            run(first * 16 + second, &[fault, other]);
        }
    }
}

/// All failures combined.
#[test]
fn all_failures_together() {
    run(255, &FAULTS);
}
