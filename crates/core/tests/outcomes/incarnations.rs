use std::collections::HashSet;

use hibiscusvale_core::ids::{Incarnation, RequestId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// All daemons of a fleet get their power back in one millisecond. Two that share an incarnation give the same names to their
/// requests and reports, and what the second one reports of a crash is dropped as known.
#[test]
fn no_two_daemons_of_a_fleet_that_starts_at_once_share_an_incarnation() {
    let mut rng = StdRng::seed_from_u64(1);
    for start in 0..100 {
        let lives: HashSet<Incarnation> =
            (0..2_000).map(|_| Incarnation::new(1_800_000_000_000 + start, rng.random())).collect();
        assert_eq!(lives.len(), 2_000, "start {start}");
    }
}

/// A daemon is started again within a millisecond of its clock: what fences the earlier life goes by the order of both.
#[test]
fn a_later_life_compares_greater() {
    assert!(Incarnation::new(1_800_000_000_001, 0) > Incarnation::new(1_800_000_000_000, u64::MAX));
}

#[test]
fn an_incarnation_survives_its_text() {
    let incarnation = Incarnation::new(1_800_000_000_000, 7);
    assert_eq!(incarnation.to_string().parse(), Ok(incarnation));
    let request_id = RequestId { incarnation, sequence: 300 };
    assert_eq!(request_id.to_string().parse(), Ok(request_id));
}
