//! Precedence of the limits that servers state, and their enforcement.

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::quota::{LimitStatement, ServerLimits};
use hibiscusvale_core::units::{Credit, CreditPerSecond, Millis, MonoTime};
use rstest::rstest;

use crate::simulation::{Faults, Simulation};

fn server() -> BackendServerId {
    "i-1".parse().unwrap()
}

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Millis(ms)
}

fn limit(requests: u64) -> Option<CreditPerSecond> {
    Some(CreditPerSecond(requests * 1_000))
}

fn statement(requests: u64, age_ms: u64) -> LimitStatement {
    LimitStatement { server: server(), rate: limit(requests), age_ms: Millis(age_ms) }
}

#[test]
fn latest_response_wins() {
    let mut limits = ServerLimits::default();
    assert!(!limits.answered(at(0), &server(), None));
    assert!(limits.answered(at(10), &server(), limit(5)));
    assert!(!limits.answered(at(20), &server(), limit(5)));
    assert!(limits.answered(at(30), &server(), limit(3)));
    assert_eq!(limits.rate(&server()), limit(3));
    assert!(limits.answered(at(40), &server(), None));
    assert_eq!((limits.rate(&server()), limits.limited()), (None, 0));
}

/// A withdrawn limit must not be restored by an older statement of another daemon.
#[test]
fn older_statement_is_ignored() {
    let mut limits = ServerLimits::default();
    limits.answered(at(1_000), &server(), limit(5));
    limits.answered(at(1_500), &server(), None);
    assert!(!limits.merge(at(2_000), &statement(5, 900)));
    assert_eq!(limits.rate(&server()), None);
    assert!(limits.merge(at(2_000), &statement(4, 100)));
    assert_eq!(limits.rate(&server()), limit(4));
}

/// A statement from before the process started is older than anything the process received itself.
#[test]
fn statement_from_before_the_start_is_oldest() {
    let mut limits = ServerLimits::default();
    assert!(limits.merge(at(100), &statement(4, 9_000)));
    limits.answered(at(200), &server(), limit(6));
    assert!(!limits.merge(at(300), &statement(4, 9_000)));
    assert_eq!(limits.rate(&server()), limit(6));
}

#[test]
fn change_is_sent_in_three_messages() {
    let mut limits = ServerLimits::default();
    limits.answered(at(0), &server(), limit(5));
    let batches: Vec<usize> = (0..5).map(|ms| limits.gossip(at(ms)).len()).collect();
    assert_eq!(batches, [1, 1, 1, 0, 0]);
    limits.answered(at(10), &server(), limit(5));
    assert!(limits.gossip(at(11)).is_empty());
    limits.retain(|_| false);
    assert_eq!(limits.rate(&server()), None);
}

/// Changes are sent to hundreds of daemons.
#[test]
fn encoded_statement_is_small() {
    let statement =
        LimitStatement { server: "i-0123456789".parse().unwrap(), rate: limit(50), age_ms: Millis(900_000) };
    assert!(postcard::to_stdvec(&statement).unwrap().len() < 32);
}

const SURGE_LOAD: f64 = 4.0;

/// Time after the first statement from which a limit must be enforced.
const PROPAGATION_BOUND_MS: u64 = 3_000;

/// Credit allowed per window: 1.5 times the limit over 4 s, plus five requests.
fn allowed(rate: u64) -> Credit {
    Credit(rate * 4 * 3 / 2 + 5_000)
}

fn surge(daemons: usize, rate: u64, faults: Faults, seed: u64) -> Simulation {
    let mut simulation = Simulation::for_server(daemons, CreditPerSecond(rate), faults, seed);
    simulation.run(20_000, |_| SURGE_LOAD);
    simulation
}

/// All daemons together send four times as many requests to one server as its limit allows.
#[rstest]
#[case::no_faults(Faults::default())]
#[case::lossy(Faults { lost: 10, ..Faults::default() })]
#[case::very_lossy(Faults { lost: 33, ..Faults::default() })]
#[case::some_restart(Faults { restart: Some((9_000, 30)), ..Faults::default() })]
#[case::all_restart(Faults { restart: Some((9_000, 100)), ..Faults::default() })]
#[case::partition(Faults { partition_ms: Some((7_000, 13_000)), ..Faults::default() })]
#[case::frozen_primary(Faults { freeze_ms: Some((7_000, 12_000)), ..Faults::default() })]
#[case::restart_during_partition(Faults { partition_ms: Some((7_000, 13_000)), restart: Some((8_500, 100)), ..Faults::default() })]
fn server_limit_is_enforced(
    #[case] faults: Faults,
    #[values(4, 9, 58, 195)] daemons: usize,
    #[values(500, 5_000, 50_000)] rate: u64,
) {
    for seed in 0..3 {
        let peak = surge(daemons, rate, faults, seed).peak_window(PROPAGATION_BOUND_MS);
        assert!(peak <= allowed(rate), "{peak} of {}, seed {seed}", allowed(rate));
    }
}

#[test]
fn server_limit_is_enforced_by_413_daemons() {
    let simulation = surge(413, 5_000, Faults { lost: 10, ..Faults::default() }, 1);
    assert!(
        simulation.peak_window(PROPAGATION_BOUND_MS) <= allowed(5_000),
        "{}",
        simulation.peak_window(PROPAGATION_BOUND_MS)
    );
}

/// Callers must not be refused while a limit is mostly unused.
#[rstest]
fn server_limit_is_mostly_used(
    #[values(4, 9, 58, 195, 413)] daemons: usize,
    #[values(500, 5_000, 50_000)] rate: u64,
) {
    let used = surge(daemons, rate, Faults::default(), 2).utilization();
    assert!(used >= 0.85, "used fraction {used:.3}");
}
