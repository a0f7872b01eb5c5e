//! A mean stored as two sums, so that those of several daemons can be added and old observations decay.

use serde::{Deserialize, Serialize};

/// Ratio of two sums, such as tokens per request or tokens per millisecond.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ratio {
    sum: f32,
    weight: f32,
}

impl Ratio {
    /// Prior belief: `value`, as if observed with `weight`.
    pub(super) const fn prior(value: f32, weight: f32) -> Self {
        Self { sum: value * weight, weight }
    }

    pub(super) fn record(&mut self, sum: f64, weight: f64) {
        #[expect(clippy::cast_possible_truncation, reason = "seven digits are plenty for a mean")]
        let (sum, weight) = (sum as f32, weight as f32);
        self.sum += sum;
        self.weight += weight;
    }

    #[must_use]
    pub(super) fn and(self, other: Self) -> Self {
        Self { sum: self.sum + other.sum, weight: self.weight + other.weight }
    }

    #[must_use]
    pub(super) fn halved(self) -> Self {
        Self { sum: self.sum / 2.0, weight: self.weight / 2.0 }
    }

    /// Both sums multiplied by a factor.
    #[must_use]
    pub(super) fn scaled(self, by: f64) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "seven digits are plenty for a mean")]
        let by = by as f32;
        Self { sum: self.sum * by, weight: self.weight * by }
    }

    /// The two sums, the weight second.
    pub(super) fn sums(self) -> (f32, f32) {
        (self.sum, self.weight)
    }

    pub(super) fn sum(self) -> f64 {
        f64::from(self.sum)
    }

    pub(super) fn weight(self) -> f64 {
        f64::from(self.weight)
    }

    /// The mean; `None` until something was observed.
    pub(super) fn mean(self) -> Option<f64> {
        (self.sum > 0.0 && self.weight > 0.0).then(|| f64::from(self.sum) / f64::from(self.weight))
    }

    /// The mean combined with a prior.
    pub(super) fn mean_with(self, prior: Self) -> f64 {
        let Self { sum, weight } = self.and(prior);
        f64::from(sum) / f64::from(weight).max(f64::MIN_POSITIVE)
    }
}
