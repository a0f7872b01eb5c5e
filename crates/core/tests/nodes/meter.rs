//! Resource usage of the control plane, computed from totals.

use hibiscusvale_core::meter::{ControlBudget, ControlMeter, ControlTotals, CoreShare};
use hibiscusvale_core::units::{Bytes, BytesPerSecond, Micros, MonoTime};
use rstest::rstest;

fn totals(cpu_us: u64, sent_bytes: u64, memory_bytes: u64) -> ControlTotals {
    ControlTotals { cpu_us: Micros(cpu_us), memory_bytes: Bytes(memory_bytes), sent_bytes: Bytes(sent_bytes) }
}

#[test]
fn totals_become_rates() {
    let mut meter = ControlMeter::default();
    meter.sample(MonoTime(1_000_000), totals(50_000, 9_000, 5));
    let usage = meter.sample(MonoTime(6_000_000), totals(190_000, 24_000, 7));
    assert_eq!(usage.core_share, CoreShare(28_000));
    assert_eq!(usage.sent_bytes_per_s, BytesPerSecond(3_000));
    assert_eq!(usage.memory_bytes, Bytes(7));
    assert_eq!(usage.core_share.to_string(), "2.80 % of a core");
    assert!(!usage.is_over(&ControlBudget::default()));
}

/// A transport thread ends and its processor time leaves the total, which decreases. The rate must not
/// underflow to a huge number that raises an alarm.
#[test]
fn a_decreasing_total_counts_as_zero() {
    let mut meter = ControlMeter::default();
    meter.sample(MonoTime(1_000_000), totals(50_000, 0, 0));
    let usage = meter.sample(MonoTime(2_000_000), totals(40_000, 0, 0));
    assert_eq!(usage.core_share, CoreShare(0));
}

#[rstest]
#[case(30_000, 0, 0)]
#[case(0, 5_000, 0)]
#[case(0, 0, 33 << 20)]
fn each_part_of_the_budget_counts(#[case] cpu_us: u64, #[case] sent_bytes: u64, #[case] memory_bytes: u64) {
    let mut meter = ControlMeter::default();
    meter.sample(MonoTime(0), totals(0, 0, 0));
    let usage = meter.sample(MonoTime(1_000_000), totals(cpu_us, sent_bytes, memory_bytes));
    assert!(usage.is_over(&ControlBudget::default()));
}
