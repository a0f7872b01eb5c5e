//! Straight lines through measured points.

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub base: f64,
    /// Growth by one step of the abscissa.
    pub slope: f64,
}

impl Line {
    /// The line with the least squares of errors; flat through the mean where the points do not differ.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        Self { base: mean_y - slope * mean_x, slope }
    }

    /// The value at `x`.
    pub fn at(self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
