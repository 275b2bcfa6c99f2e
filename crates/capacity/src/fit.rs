//! A straight line through measured points.
use serde::{Deserialize, Serialize};

/// `y = base + slope * x`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub base: f64,
    pub slope: f64,
    /// Root of the mean square of what the line leaves over, in units of y.
    pub residual: f64,
}

impl Fit {
    /// None for fewer than two different x: no line goes through these.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let (slope, base) = linreg::linear_regression_of::<f64, f64, f64>(points).ok()?;
        let left = |(x, y): &(f64, f64)| (y - base - slope * x).powi(2);
        let residual = (points.iter().map(left).sum::<f64>() / points.len() as f64).sqrt();
        Some(Self {
            base,
            slope,
            residual,
        })
    }

    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
