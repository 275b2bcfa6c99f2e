//! A straight line fitted through measured points.
use serde::{Deserialize, Serialize};

/// The line `y = base + slope * x`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The value at x = 0.
    pub base: f64,
    /// The change of y for one unit of x.
    pub slope: f64,
    /// Root mean square of the distances between points and line, in units of y.
    pub residual: f64,
}

impl Fit {
    /// Fits a line through points. None if there are fewer than two different x.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let (slope, base) = linreg::linear_regression_of::<f64, f64, f64>(points).ok()?;
        let squared_distance = |(x, y): &(f64, f64)| (y - base - slope * x).powi(2);
        let residual =
            (points.iter().map(squared_distance).sum::<f64>() / points.len() as f64).sqrt();
        Some(Self {
            base,
            slope,
            residual,
        })
    }

    /// The value of the line at x.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
