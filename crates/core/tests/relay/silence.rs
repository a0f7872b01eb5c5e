//! How long silent engines are awaited.

use hibiscusvale_core::relay::silence::{ReportedRun, SilentEngine, callers_leave_ms, without_events_ms};
use hibiscusvale_core::units::Millis;
use rstest::rstest;

const TARGET_MS: Millis = Millis(900);

const LAST_EVENT: u64 = 7;

fn reported(last_event: Option<u64>, may_wait: bool) -> SilentEngine {
    SilentEngine::Reported(ReportedRun { last_event, may_wait })
}

#[rstest]
#[case::unreachable(SilentEngine::Unreachable, 0)]
#[case::without_report(SilentEngine::NoReport, 1_900)]
#[case::paused(reported(Some(LAST_EVENT), false), 3_500)]
#[case::resumed_run_that_counts_anew(reported(Some(2), false), 3_500)]
#[case::made_further_events(reported(Some(LAST_EVENT + 1), true), 1_900)]
#[case::may_wait(reported(None, true), 3_500)]
#[case::does_not_hold_it(reported(None, false), 1_900)]
fn silence_is_awaited_as_the_engine_reports(#[case] engine: SilentEngine, #[case] awaited_ms: u64) {
    assert_eq!(engine.awaited_ms(LAST_EVENT, TARGET_MS, None), Millis(awaited_ms));
}

#[rstest]
#[case::short_targets(100, Some(50), 2_000)]
#[case::first_event(900, Some(300), 3_600)]
#[case::pauses(200, Some(300), 2_400)]
#[case::no_gap_target(600, None, 2_400)]
fn callers_leave_after_the_longest_of_three_times(
    #[case] target_ms: u64,
    #[case] gap_target_ms: Option<u64>,
    #[case] leave_ms: u64,
) {
    let got = callers_leave_ms(Millis(target_ms), gap_target_ms.map(Millis));
    assert_eq!(got, Millis(leave_ms));
}

#[rstest]
#[case::short_target(100, 1_900)]
#[case::usual(900, 2_700)]
#[case::long_target(3_000, 9_000)]
fn another_engine_has_time_for_its_first_event(#[case] target_ms: u64, #[case] awaited_ms: u64) {
    assert_eq!(without_events_ms(Millis(target_ms), None), Millis(awaited_ms));
}
