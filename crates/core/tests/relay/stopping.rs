//! Which requests a daemon that stops can still take.

use hibiscusvale_core::relay::stopping::{RunTime, RunTimeSource, RunTimes, StopDeadline, WouldNotEnd};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use rstest::rstest;

const ASSUMED_MS: Millis = Millis(900);

fn ended(expected_ms: u64) -> RunTime {
    RunTime { expected_us: Millis(expected_ms).into(), source: RunTimeSource::Ended }
}

fn times(runs_ms: &[u64]) -> RunTimes {
    let mut times = RunTimes::default();
    runs_ms.iter().for_each(|&took_ms| times.record("app", "once", Millis(took_ms).into()));
    times
}

#[rstest]
#[case::longest(&[300, 800, 400], 900)]
#[case::at_least_some_margin(&[8, 4], 28)]
fn a_run_may_take_somewhat_more_than_the_longest_recent_one(
    #[case] runs_ms: &[u64],
    #[case] expected_ms: u64,
) {
    assert_eq!(times(runs_ms).expected("app", "once", ASSUMED_MS), ended(expected_ms));
}

#[test]
fn old_runs_are_forgotten() {
    let mut times = times(&[8_000]);
    (0..32).for_each(|_| times.record("app", "once", Micros(160_000)));
    assert_eq!(times.expected("app", "once", ASSUMED_MS), ended(180));
}

/// A slow route must not make a daemon refuse the requests of a quick one at the same service.
#[test]
fn classes_are_told_apart() {
    let mut times = times(&[800]);
    let assumed = RunTime { expected_us: ASSUMED_MS.into(), source: RunTimeSource::Assumed };
    assert_eq!(times.expected("app", "page", ASSUMED_MS), assumed);
    assert_eq!(times.expected("other", "once", ASSUMED_MS), assumed);
    times.retain(|route| route != "once");
    assert_eq!(times.expected("app", "once", ASSUMED_MS), assumed);
}

#[test]
fn a_run_begins_only_if_it_can_end_in_time() {
    let due_us = MonoTime::default() + Millis(5_000);
    let deadline = StopDeadline { answers_due_us: due_us };
    let run = ended(1_200);
    let last_us = deadline.latest_start(run);
    assert_eq!(last_us, MonoTime::default() + Millis(3_800));
    assert_eq!(deadline.check(MonoTime(last_us.0 - 1), run), Ok(()));
    assert_eq!(deadline.check(last_us, run), Err(WouldNotEnd { left_ms: Millis(1_200), run }));
    assert_eq!(deadline.check(due_us + Millis(1), run), Err(WouldNotEnd { left_ms: Millis::ZERO, run }));
}

/// A run that takes longer than the whole grace period must be refused from its beginning on.
#[test]
fn a_run_longer_than_the_grace_period_never_begins() {
    let deadline = StopDeadline { answers_due_us: MonoTime::default() + Millis(1_000) };
    assert!(deadline.check(MonoTime::default(), ended(9_000)).is_err());
}
