//! Budget shares: together never overspent, and lent to where they are needed.

use hibiscusvale_core::retry_budget::{RETRY_COST, SharedRetryBudget, SharedRetryBudgetSettings};
use hibiscusvale_core::units::{Credit, Millis, MonoTime};
use rstest::rstest;

use crate::simulation::{Faults, REQUEST_TIMEOUT_MS, Simulation};

/// Slack per daemon, in retries. Installations have between one and seven.
const SLACK_PER_DAEMON: f64 = 1.76;

const END_MS: u64 = 34_000;

/// Time from which the slack is available: one window and the lifetime of a loan after the start.
const SLACK_AVAILABLE_MS: u64 = 12_000;

const RARE_LOSSES: Faults = Faults { lost: 1, doubled: 2, delayed: 1, partition_ms: None, restart_ms: None };

fn unreliable_network() -> Faults {
    Faults { lost: 10, doubled: 10, delayed: 10, ..Faults::default() }
}

/// Many engines fail at once, and every daemon has many requests to retry. All daemons lend and borrow while
/// messages are lost, delayed and duplicated, the network is partitioned for seconds, or all hosts lose
/// power. In no window may the retries exceed the sum of all shares and the earned credit; they would
/// overload servers that are already failing.
#[rstest]
fn no_window_exceeds_the_budget(
    #[values(9, 23, 71, 195)] daemons: usize,
    #[values(
        Faults::default(),
        unreliable_network(),
        Faults { partition_ms: Some((14_000, 22_000)), ..unreliable_network() },
        Faults { restart_ms: Some(19_000), ..unreliable_network() },
    )]
    faults: Faults,
    #[values(1, 2, 3)] seed: u64,
) {
    let slack = SLACK_PER_DAEMON * daemons as f64;
    let mut simulation = Simulation::new(daemons, slack, faults, seed, END_MS);
    simulation.schedule_requests(daemons as u64 * 6);
    simulation.schedule_retries((slack * 12.0) as u64, 0, END_MS);
    simulation.run();
    let (excess, limit) = (simulation.max_excess(), simulation.total_slack());
    assert!(
        excess <= limit.0 as i64,
        "retries exceed earned credit by {excess} in one window, limit {limit}"
    );
    assert!(simulation.retries_ms.len() as f64 > slack, "{} retries in total", simulation.retries_ms.len());
}

/// One of many engines fails, and its requests need retries at daemons that own about one retry each.
/// Refusing them because the local share is exhausted would fail callers while the total budget is nearly
/// unused.
#[rstest]
fn no_retry_is_denied_while_credit_remains(
    #[values(9, 23, 71, 195)] daemons: usize,
    #[values(Faults::default(), RARE_LOSSES)] faults: Faults,
    #[values(1, 2)] seed: u64,
) {
    assert_no_avoidable_denial(daemons, faults, seed);
}

/// The same with the largest intended number of daemons.
#[test]
fn no_retry_is_denied_among_413_daemons() {
    assert_no_avoidable_denial(413, RARE_LOSSES, 1);
}

fn assert_no_avoidable_denial(daemons: usize, faults: Faults, seed: u64) {
    let slack = SLACK_PER_DAEMON * daemons as f64;
    let mut simulation = Simulation::new(daemons, slack, faults, seed, 16_000);
    simulation.schedule_requests(daemons as u64);
    simulation.schedule_retries((slack * 0.7) as u64, SLACK_AVAILABLE_MS, SLACK_AVAILABLE_MS + 1_500);
    simulation.run();
    let tenth = Credit(simulation.total_slack().0 / 10);
    let avoidable: Vec<_> = simulation.denied.iter().filter(|(_, unused)| *unused > tenth).collect();
    assert!(
        avoidable.is_empty(),
        "{} avoidable denials, {} retries made: {avoidable:?}",
        avoidable.len(),
        simulation.retries_ms.len()
    );
}

/// The slack is less than one retry per daemon. Without lending, no daemon could ever retry.
#[test]
fn shares_below_one_retry_are_combined() {
    let mut simulation = Simulation::new(80, 28.7, Faults::default(), 7, 16_000);
    simulation.schedule_retries(10, SLACK_AVAILABLE_MS, SLACK_AVAILABLE_MS + 1_000);
    simulation.run();
    assert_eq!((simulation.retries_ms.len(), simulation.denied.len()), (10, 0));
}

/// All known lenders have failed or are partitioned off. Requests must not wait for loans that cannot arrive.
#[test]
fn retries_are_denied_quickly_when_no_lender_answers() {
    let settings =
        SharedRetryBudgetSettings { slack_share: Credit(500), ..SharedRetryBudgetSettings::default() };
    let mut retry_budget = SharedRetryBudget::new(settings, 1);
    for lender in ["entry-2", "entry-3"] {
        retry_budget.update_lender(&lender.parse().unwrap(), RETRY_COST);
    }
    let mut now_us = MonoTime::default() + Millis(60_000);
    let mut lenders = Vec::new();
    while retry_budget.may_borrow() && lenders.len() < 9 {
        lenders.extend(retry_budget.request_loan(now_us, 1).map(|request| request.lender));
        now_us = now_us + Millis(REQUEST_TIMEOUT_MS);
        let _ = retry_budget.request_loan(now_us, 1).map(|request| lenders.push(request.lender));
    }
    lenders.sort();
    lenders.dedup();
    assert_eq!(lenders.len(), 2, "{lenders:?}");
    assert!(now_us < MonoTime::default() + Millis(61_200));
}

/// A daemon is killed and restarted repeatedly. No incarnation knows what the previous one spent; a full
/// share at each start would multiply the budget by the number of restarts.
#[test]
fn a_restart_does_not_renew_the_slack_share() {
    let settings = SharedRetryBudgetSettings {
        slack_share: Credit(4 * RETRY_COST.0),
        ..SharedRetryBudgetSettings::default()
    };
    let retry_budget = SharedRetryBudget::new(settings, 1);
    assert!(!retry_budget.can_afford(MonoTime::default() + Millis(9_999), 1));
    assert!(retry_budget.can_afford(MonoTime::default() + Millis(11_000), 1));
}
