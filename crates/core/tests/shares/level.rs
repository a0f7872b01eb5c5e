//! Weighted max-min division.

use hibiscusvale_core::shares::{Claim, max_min_level};
use proptest::collection::vec;
use proptest::prelude::*;

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (0.0..1e6_f64, 1e-6..1e6_f64).prop_map(|(need, weight)| Claim { need, weight });
    vec(claim, 1..40)
}

fn given(level: f64, claim: Claim) -> f64 {
    claim.need.min(level * claim.weight)
}

proptest! {
    /// Guards against shares that add up to more than the capacity, or leave some of it idle while a need is open.
    #[test]
    fn capacity_is_given_exactly(claims in claims(), part in 0.0..2.0_f64) {
        let needs: f64 = claims.iter().map(|claim| claim.need).sum();
        let level = max_min_level(needs * part, &claims);
        let sum: f64 = claims.iter().map(|claim| given(level, *claim)).sum();
        prop_assert!((sum - needs.min(needs * part)).abs() <= 1e-6 * (1.0 + needs), "{sum} of {needs} at {part}");
    }

    /// Guards against a share that grows with the need instead of the weight: whoever asks for more than everything
    /// gets what its weight gives beside the others, and they get at least theirs.
    #[test]
    fn needs_beyond_the_capacity_do_not_matter(claims in claims(), capacity in 1.0..1e5_f64, times in 1.0..1e6_f64) {
        let greedy = |times: f64| {
            let mut claims = claims.clone();
            claims.push(Claim { need: capacity * times, weight: 1.0 });
            max_min_level(capacity, &claims)
        };
        let (level, raised) = (greedy(1.0), greedy(times));
        prop_assert!(level == raised || (level - raised).abs() <= 1e-6 * level || level.is_infinite());
        let weights: f64 = claims.iter().map(|claim| claim.weight).sum::<f64>() + 1.0;
        prop_assert!(raised * (1.0 + 1e-9) >= capacity / weights, "below the equal division by weight");
    }
}

/// Guards against a need that takes what smaller ones leave in the wrong proportion.
#[test]
fn rest_is_divided_by_weight() {
    let claims = [(10.0, 1.0), (500.0, 1.0), (500.0, 3.0)].map(|(need, weight)| Claim { need, weight });
    assert!((max_min_level(210.0, &claims) - 50.0).abs() < 1e-9);
}
