//! Weighted max-min division of a capacity.

/// What one organisation asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Amount asked for, in the unit of the capacity.
    pub need: f64,
    /// Weight; an organisation with twice the weight gets twice the share.
    pub weight: f64,
}

/// Level of the weighted max-min fair division: each claim gets the smaller of its need and `level * weight`.
/// Infinite if all needs fit into `capacity`.
pub fn max_min_level(capacity: f64, claims: &[Claim]) -> f64 {
    let total: f64 = claims.iter().map(|claim| claim.need).sum();
    if total <= capacity {
        return f64::INFINITY;
    }
    let mut sorted: Vec<Claim> = claims.iter().copied().filter(|claim| claim.weight > 0.0).collect();
    sorted.sort_by(|one, other| (one.need / one.weight).total_cmp(&(other.need / other.weight)));
    // Sums from the end: subtraction from the sum of all would lose small weights beside large ones.
    let mut weights: Vec<f64> = sorted.iter().map(|claim| claim.weight).collect();
    for index in (1..weights.len()).rev() {
        weights[index - 1] += weights[index];
    }
    let mut left = capacity.max(0.0);
    for (claim, weight) in sorted.iter().zip(weights) {
        let level = left / weight;
        if claim.need / claim.weight > level {
            return level;
        }
        left = (left - claim.need).max(0.0);
    }
    f64::INFINITY
}
