//! Prints what callers see under each load, for the scheduler and for the alternative policies it was
//! compared with: `cargo bench -p hibiscusvale-core --bench outcomes`. Virtual time and fixed seeds make the
//! figures the same on any machine.
#![allow(clippy::pedantic, reason = "benchmark on top of test fakes")]
#![allow(dead_code, reason = "the tests use the rest of the fakes")]

#[path = "../tests/sched/baseline.rs"]
mod baseline;
#[path = "../tests/sched/engines.rs"]
mod engines;
#[path = "../tests/sched/load.rs"]
mod load;
#[path = "../tests/sched/outcome.rs"]
mod outcome;
#[path = "../tests/sched/scenarios.rs"]
mod scenarios;
#[path = "../tests/sched/simulation.rs"]
mod simulation;

use hibiscusvale_core::sched::PrefillStart;
use hibiscusvale_core::slots::QueueOrder;
use load::{Placement, Scenario};
use simulation::Simulation;

type Policy = (&'static str, fn(Scenario) -> Scenario);

const POLICIES: [Policy; 5] = [
    ("stale", |base| Scenario { placement: Placement::StaleReports, ..base }),
    ("two", |base| Scenario { placement: Placement::RandomTwo, ..base }),
    ("fifo", |base| Scenario { order: QueueOrder::Fifo, ..base }),
    ("at-once", |base| Scenario { start: PrefillStart::AtOnce, ..base }),
    ("ledger", |base| base),
];

fn main() {
    println!(
        "{:<22}{:<9}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}{:>8}{:>7}{:>8}{:>6}",
        "load",
        "way",
        "goodput%",
        "good/s",
        "refused%",
        "wasted%",
        "failed",
        "left",
        "no-room",
        "over",
        "msg/req",
        "turns"
    );
    for (name, scenario) in scenarios::all() {
        for (policy, apply) in POLICIES {
            let seconds = scenario.seconds;
            let outcome = Simulation::run(apply(scenario.clone()));
            let arrivals = outcome.arrivals().max(1) as f64;
            print!(
                "{name:<22}{policy:<9}{:>9.1}{:>9.2}{:>9.1}{:>9.2}{:>8}{:>8}{:>8}{:>7}{:>8.1}{:>6}",
                outcome.goodput(),
                outcome.good() as f64 / seconds as f64,
                100.0 * outcome.refused() as f64 / arrivals,
                outcome.wasted(),
                outcome.failed(),
                outcome.unanswered,
                outcome.engine_refusals,
                outcome.over_committed,
                outcome.messages as f64 / arrivals,
                outcome.turns_returned,
            );
            let rest = &outcome.partners[1..];
            let (good, asked) =
                rest.iter().fold((0, 0), |(good, asked), one| (good + one.good, asked + one.arrivals));
            print!(
                "  a {:.1} b {:.1}",
                outcome.partners[0].goodput(),
                100.0 * good as f64 / asked.max(1) as f64
            );
            if let Some(at_us) = outcome.closed_at_us {
                print!(" closed at {:.1} s", at_us as f64 / 1e6);
            }
            println!();
        }
    }
}
