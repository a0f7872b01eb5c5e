//! How long callers have waited before they came.

use hibiscusvale_core::relay::engines::{EngineAction, EngineEvent, Role};
use hibiscusvale_core::relay::prior_wait::Patience;
use hibiscusvale_core::units::{Millis, MonoTime};

use crate::simulation::{Bench, demand, request_id, settings};

const START_US: MonoTime = MonoTime(1_000_000);

#[test]
fn who_has_less_time_left_than_any_first_comer_has_waited_before() {
    let mut patience = Patience::default();
    assert_eq!(patience.waited(START_US, "a", Some(Millis(14_000))), Millis::ZERO);
    patience.refused(START_US, "a");
    assert_eq!(patience.waited(START_US, "a", Some(Millis(9_500))), Millis(4_500));
    assert_eq!(patience.waited(START_US, "b", Some(Millis(9_500))), Millis::ZERO, "another route");
    assert_eq!(patience.waited(START_US, "a", None), Millis::ZERO, "who says nothing counts as new");
    patience.retain(|route| route != "a");
    assert_eq!(patience.waited(START_US, "a", Some(Millis(9_500))), Millis::ZERO);
}

/// Callers wait for between 12 and 14 s, as each likes, and come for the first time. Taken for callers who have spent two
/// seconds elsewhere, they would wait behind all others, for a target's time only, and be refused while there is room.
#[test]
fn a_caller_of_little_patience_is_no_late_one() {
    let mut patience = Patience::default();
    for left_ms in [14_000, 12_000, 13_200, 12_700] {
        assert_eq!(patience.waited(START_US, "a", Some(Millis(left_ms))), Millis::ZERO);
    }
    patience.refused(START_US, "a");
    assert_eq!(patience.waited(START_US, "a", Some(Millis(12_100))), Millis::ZERO);
    assert_eq!(patience.waited(START_US, "a", Some(Millis(10_000))), Millis(2_000));
    let calm_us = START_US + Millis(14_000);
    assert_eq!(patience.waited(calm_us, "a", Some(Millis(11_000))), Millis::ZERO, "nobody is away any more");
}

/// Writers are nearly full, and a caller who was refused has come back: late for certain. It would take the last room
/// of one who can still be served in time; it waits, gets room when there is more, and is told soon when there is none.
#[test]
fn who_is_late_already_leaves_room_for_those_who_are_not() {
    let mut bench = Bench::new(settings(), &[("w-1", Role::Decode)]);
    for sequence in 0..4 {
        bench.arrive(demand(sequence, 5_000, 4_600));
        bench.reserved(sequence);
    }
    let mut late = demand(10, 5_000, 4_600);
    late.waited_ms = Millis(4_000);
    assert!(bench.arrive(late).iter().all(|action| !matches!(action, EngineAction::Reserve { .. })));
    let fresh = bench.arrive(demand(11, 5_000, 4_600));
    assert!(matches!(fresh[..], [EngineAction::Reserve { .. }]), "{fresh:?}");
    bench.after(1_000);
    let told = bench.feed(EngineEvent::Tick);
    let is_refused = |action: &EngineAction| matches!(action, EngineAction::Refuse { request_id: refused, .. } if *refused == request_id(10));
    assert!(told.iter().any(is_refused), "{told:?}");
}
