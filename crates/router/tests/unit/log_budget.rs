//! Tests of the rate limit for log lines of requests.

use hibiscusvale_core::units::MonoTime;

use super::{LINES_PER_S, LineBudget, LineDecision};

/// Guards against logging that takes CPU time from serving requests under heavy load. The number of dropped lines is
/// reported with the next written line.
#[test]
fn limits_lines_per_second_and_reports_dropped_lines() {
    let budget = LineBudget::default();
    let decisions = (0..1_000).map(|number| budget.take(MonoTime(number * 900)));
    assert_eq!(decisions.filter(|decision| *decision != LineDecision::Drop).count() as u64, LINES_PER_S);
    let next = budget.take(MonoTime(1_500_000));
    assert_eq!(next, LineDecision::Write { left_out: 1_000 - LINES_PER_S });
    assert_eq!(budget.take(MonoTime(1_500_001)), LineDecision::Write { left_out: 0 });
}
