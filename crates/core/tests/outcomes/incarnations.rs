use std::collections::HashSet;

use hibiscusvale_core::ids::{Incarnation, RequestId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// All daemons of a fleet start in the same millisecond, for example when power returns. Two with the same
/// incarnation would give the same ids to requests and reports, and the second one's report of a crash would
/// be dropped as a duplicate.
#[test]
fn simultaneous_starts_get_distinct_incarnations() {
    let mut rng = StdRng::seed_from_u64(1);
    for start in 0..100 {
        let incarnations: HashSet<Incarnation> =
            (0..2_000).map(|_| Incarnation::new(1_800_000_000_000 + start, rng.random())).collect();
        assert_eq!(incarnations.len(), 2_000, "start {start}");
    }
}

/// A daemon restarts within a millisecond. The fencing of its earlier incarnation depends on the order of the
/// two.
#[test]
fn later_incarnation_compares_greater() {
    assert!(Incarnation::new(1_800_000_000_001, 0) > Incarnation::new(1_800_000_000_000, u64::MAX));
}

#[test]
fn incarnation_round_trips_through_text() {
    let incarnation = Incarnation::new(1_800_000_000_000, 7);
    assert_eq!(incarnation.to_string().parse(), Ok(incarnation));
    let request_id = RequestId { incarnation, sequence: 300 };
    assert_eq!(request_id.to_string().parse(), Ok(request_id));
}
