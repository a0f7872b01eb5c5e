//! Outcomes within the time for which callers wait, while engines are slower than the load.

use rstest::rstest;

use super::load::{Faults, Scenario, Source, two_partners};
use super::outcome::Outcome;
use super::simulation::Simulation;

/// Limit of callers that do not state one.
const USUAL_LIMIT_MS: u64 = 15_000;

/// Typical answer of a summary, in tokens; an idle engine that is eight times slower ends it within the usual limit.
const SHORT_ANSWER: u64 = 20;

fn slow_engines(slow_all: u64, load: f64, answer: u64) -> Scenario {
    let sources = two_partners(load / 2.0, load / 2.0);
    let sources = sources.into_iter().map(|source| Source { answer, ..source }).collect();
    Scenario { faults: Faults { slow_all, ..Faults::default() }, sources, ..Scenario::default() }
}

fn assert_outcomes_in_time(outcome: &Outcome) {
    assert_eq!(outcome.without_outcome, 0, "requests without an outcome when their callers left");
    assert_eq!(outcome.refused_after_prefill, 0, "requests that had run were reported as not run");
    assert_eq!(outcome.unanswered, 0, "requests were still open at the end");
}

/// A request that can no longer meet its target must not wait until its caller has left.
#[rstest]
fn late_requests_end_before_their_callers_leave(
    #[values(3, 4, 8)] slow_all: u64,
    #[values(0.5, 0.9)] load: f64,
    #[values(71, 72, 73)] seed: u64,
) {
    let scenario = slow_engines(slow_all, load, SHORT_ANSWER);
    let outcome = Simulation::run(Scenario { seed, caller_limit_ms: Some(USUAL_LIMIT_MS), ..scenario });
    assert_outcomes_in_time(&outcome);
}

/// A caller that states its time limit must have an outcome by then, however slow the engines are and however
/// long the answer is.
#[rstest]
fn stated_limits_are_kept(
    #[values(5_000, 15_000, 60_000)] limit_ms: u64,
    #[values((1, SHORT_ANSWER), (4, SHORT_ANSWER), (4, 170), (16, 170))] (slow_all, answer): (u64, u64),
    #[values(71, 72, 73)] seed: u64,
) {
    let scenario = slow_engines(slow_all, 0.9, answer);
    let outcome =
        Simulation::run(Scenario { seed, caller_limit_ms: Some(limit_ms), states_limit: true, ..scenario });
    assert_outcomes_in_time(&outcome);
}

/// A lost attempt must not start the time for which a request may wait anew.
#[rstest]
fn lost_attempts_do_not_extend_the_wait(#[values(71, 72, 73)] seed: u64) {
    let scenario = slow_engines(3, 0.9, SHORT_ANSWER);
    let unresponsive =
        Faults { unresponsive_prefill_at: Some(10), unresponsive_decode_at: Some(20), ..scenario.faults };
    let outcome = Simulation::run(Scenario {
        seed,
        faults: unresponsive,
        caller_limit_ms: Some(USUAL_LIMIT_MS),
        ..scenario
    });
    assert_outcomes_in_time(&outcome);
}

/// The watchers of the servers die with their queues. What waited there must have an outcome all the same.
#[rstest]
fn dead_watchers_do_not_extend_the_wait(#[values(71, 72, 73)] seed: u64) {
    let scenario = slow_engines(3, 0.9, SHORT_ANSWER);
    let faults = Faults { replace_at: Some(20), ..scenario.faults };
    let outcome =
        Simulation::run(Scenario { seed, faults, caller_limit_ms: Some(USUAL_LIMIT_MS), ..scenario });
    assert_outcomes_in_time(&outcome);
}
