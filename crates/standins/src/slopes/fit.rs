//! Linear regression.

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Intercept.
    pub base: f64,
    /// Change of the value per unit of x.
    pub slope: f64,
}

impl Line {
    /// Fits a line by least squares; constant at the mean if all x are equal.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let squares_sum: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let products_sum: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if squares_sum > 0.0 { products_sum / squares_sum } else { 0.0 };
        Self { base: mean_y - slope * mean_x, slope }
    }

    /// Returns the value at `x`.
    pub fn at(self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
