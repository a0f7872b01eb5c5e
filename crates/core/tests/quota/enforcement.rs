//! Usage beyond a quota, and refusals within it.

use rstest::rstest;

use crate::simulation::{Enforcement, Faults, Simulation};

const SURGE_LOAD: f64 = 7.5;
const NORMAL_LOAD: f64 = 0.55;

fn simulate(
    enforcement: Enforcement,
    daemons: usize,
    faults: Faults,
    load: impl Fn(u64) -> f64,
) -> Simulation {
    let mut simulation = Simulation::new(enforcement, daemons, faults, 7);
    simulation.run(20_000, load);
    simulation
}

/// A tenant sends several times its quota through many daemons. No window may exceed the tolerance, whatever
/// faults daemons and messages suffer.
#[rstest]
#[case::no_faults(Faults::default())]
#[case::lossy(Faults { lost: 10, ..Faults::default() })]
#[case::some_restart(Faults { restart: Some((9_000, 30)), ..Faults::default() })]
#[case::all_restart(Faults { restart: Some((9_000, 100)), ..Faults::default() })]
#[case::partition(Faults { partition_ms: Some((7_000, 13_000)), ..Faults::default() })]
#[case::partition_and_loss(Faults { partition_ms: Some((7_000, 13_000)), lost: 5, ..Faults::default() })]
#[case::frozen_primary(Faults { freeze_ms: Some((7_000, 12_000)), ..Faults::default() })]
#[case::restart_during_partition(Faults { partition_ms: Some((7_000, 13_000)), restart: Some((8_500, 100)), ..Faults::default() })]
fn no_window_exceeds_the_tolerance(#[case] faults: Faults, #[values(9, 58, 195)] daemons: usize) {
    let simulation = simulate(Enforcement::Ledger, daemons, faults, |_| SURGE_LOAD);
    assert!(
        simulation.peak_window_ratio(0) <= 1.0,
        "peak window at {:.3} of the tolerated credit",
        simulation.peak_window_ratio(0)
    );
}

/// A quota is reduced to a quarter during a surge; the new quota must hold from the next window on.
#[rstest]
fn reduced_quota_takes_effect(#[values(9, 58)] daemons: usize) {
    let faults = Faults { reduce_quota: Some((6_000, 4)), ..Faults::default() };
    let simulation = simulate(Enforcement::Ledger, daemons, faults, |_| SURGE_LOAD);
    assert!(
        simulation.peak_window_ratio(6_400) <= 1.0,
        "peak window at {:.3} of the tolerated credit",
        simulation.peak_window_ratio(6_400)
    );
}

/// Requests within the quota arrive through a few of many daemons. With an equal share per daemon most of
/// them would be refused while the quota is hardly used.
#[rstest]
fn requests_within_the_quota_are_served(#[values(9, 58, 195, 413)] daemons: usize) {
    let burst = |at_ms: u64| if (8_000..10_000).contains(&at_ms) { 1.5 } else { NORMAL_LOAD };
    let simulation = simulate(Enforcement::Ledger, daemons, Faults::default(), burst);
    assert!(simulation.refused_fraction() < 0.02, "refused fraction {:.3}", simulation.refused_fraction());
    let equal_shares = simulate(Enforcement::EqualShares, daemons, Faults::default(), burst);
    assert!(
        equal_shares.refused_fraction() > 4.0 * simulation.refused_fraction(),
        "refused fraction {:.3}",
        equal_shares.refused_fraction()
    );
}

/// The primary freezes under normal load. Standbys grant credit until membership detects that it is silent.
#[rstest]
fn requests_are_served_while_the_primary_is_frozen(#[values(9, 58)] daemons: usize) {
    let faults = Faults { freeze_ms: Some((7_000, 12_000)), ..Faults::default() };
    let simulation = simulate(Enforcement::Ledger, daemons, faults, |_| NORMAL_LOAD);
    assert!(simulation.refused_fraction() < 0.05, "refused fraction {:.3}", simulation.refused_fraction());
}
