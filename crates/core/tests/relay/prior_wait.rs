//! Estimates of the time that callers have waited before they arrive.

use hibiscusvale_core::relay::engines::{EngineAction, EngineEvent, Role};
use hibiscusvale_core::relay::prior_wait::PriorWaits;
use hibiscusvale_core::units::{Millis, MonoTime};

use crate::simulation::{Harness, demand, request_id, settings};

const START_US: MonoTime = MonoTime(1_000_000);

#[test]
fn less_time_left_than_any_first_attempt_counts_as_waited() {
    let mut waits = PriorWaits::default();
    assert_eq!(waits.estimate(START_US, "a", Some(Millis(14_000))), Millis::ZERO);
    waits.record_refusal(START_US, "a");
    assert_eq!(waits.estimate(START_US, "a", Some(Millis(9_500))), Millis(4_500));
    assert_eq!(waits.estimate(START_US, "b", Some(Millis(9_500))), Millis::ZERO, "another route");
    assert_eq!(
        waits.estimate(START_US, "a", None),
        Millis::ZERO,
        "a caller that states no wait counts as new"
    );
    waits.retain(|route| route != "a");
    assert_eq!(waits.estimate(START_US, "a", Some(Millis(9_500))), Millis::ZERO);
}

/// First-time callers state maximum waits between 12 and 14 s. If the shorter ones counted as two seconds of
/// earlier waiting, these callers would queue behind all others, for no longer than a target, and be refused
/// while there is room.
#[test]
fn a_short_maximum_wait_does_not_count_as_waited() {
    let mut waits = PriorWaits::default();
    for remaining_ms in [14_000, 12_000, 13_200, 12_700] {
        assert_eq!(waits.estimate(START_US, "a", Some(Millis(remaining_ms))), Millis::ZERO);
    }
    waits.record_refusal(START_US, "a");
    assert_eq!(waits.estimate(START_US, "a", Some(Millis(12_100))), Millis::ZERO);
    assert_eq!(waits.estimate(START_US, "a", Some(Millis(10_000))), Millis(2_000));
    let calm_us = START_US + Millis(14_000);
    assert_eq!(
        waits.estimate(calm_us, "a", Some(Millis(11_000))),
        Millis::ZERO,
        "no refused caller is left to return"
    );
}

/// Decode engines are nearly full, and a caller that was refused has come back and is certain to be late. It
/// must not take the last room from a caller that can still be served in time: it waits, gets room when there
/// is more, and is refused soon when there is none.
#[test]
fn late_requests_leave_room_for_those_in_time() {
    let mut harness = Harness::new(settings(), &[("w-1", Role::Decode)]);
    for sequence in 0..4 {
        harness.arrive(demand(sequence, 5_000, 4_600));
        harness.reserved(sequence);
    }
    let mut late = demand(10, 5_000, 4_600);
    late.waited_ms = Millis(4_000);
    assert!(harness.arrive(late).iter().all(|action| !matches!(action, EngineAction::Reserve { .. })));
    let fresh = harness.arrive(demand(11, 5_000, 4_600));
    assert!(matches!(fresh[..], [EngineAction::Reserve { .. }]), "{fresh:?}");
    harness.after(1_000);
    let actions = harness.feed(EngineEvent::Tick);
    let is_refused = |action: &EngineAction| matches!(action, EngineAction::Refuse { request_id: refused, .. } if *refused == request_id(10));
    assert!(actions.iter().any(is_refused), "{actions:?}");
}
