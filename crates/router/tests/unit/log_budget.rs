//! How many lines requests may write.

use hibiscusvale_core::units::MonoTime;

use super::{LINES_PER_S, Line, LineBudget};

/// A storm of requests would have its lines take the processor from serving them. What is left out is counted and said
/// with the next line.
#[test]
fn a_storm_of_requests_writes_a_bounded_number_of_lines() {
    let budget = LineBudget::default();
    let lines = (0..1_000).map(|number| budget.take(MonoTime(number * 900)));
    assert_eq!(lines.filter(|line| *line != Line::LeaveOut).count() as u64, LINES_PER_S);
    let next = budget.take(MonoTime(1_500_000));
    assert_eq!(next, Line::Write { left_out: 1_000 - LINES_PER_S });
    assert_eq!(budget.take(MonoTime(1_500_001)), Line::Write { left_out: 0 });
}
