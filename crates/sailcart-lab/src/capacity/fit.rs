//! A straight line through measured points, by least squares.

use serde::{Deserialize, Serialize};

/// Six significant digits: more than any measurement has, and few enough to come back from JSON as they were.
pub fn rounded(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size at which it was measured.
    pub size: f64,
    /// What was measured; `None` where the sender refused that size.
    pub value: Option<f64>,
}

/// `value = intercept + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub intercept: f64,
    pub slope: f64,
    /// The largest distance of a point from the line, in the unit of the values.
    pub largest_residual: f64,
}

impl Fit {
    /// `None` for fewer than two different sizes.
    pub fn of(points: &[Point]) -> Option<Self> {
        let measured: Vec<(f64, f64)> =
            points.iter().filter_map(|point| Some((point.size, point.value?))).collect();
        let count = measured.len() as f64;
        let mean_size = measured.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = measured.iter().map(|(_, value)| value).sum::<f64>() / count;
        let spread: f64 = measured.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        if measured.len() < 2 || spread == 0.0 {
            return None;
        }
        let together: f64 =
            measured.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let slope = together / spread;
        let intercept = mean_value - slope * mean_size;
        let residual = |(size, value): &(f64, f64)| (value - intercept - slope * size).abs();
        let largest_residual = measured.iter().map(residual).fold(0.0, f64::max);
        let [intercept, slope, largest_residual] = [intercept, slope, largest_residual].map(rounded);
        Some(Fit { intercept, slope, largest_residual })
    }

    /// The line at a size; never below zero, as no cost is.
    pub fn at(&self, size: f64) -> f64 {
        (self.intercept + self.slope * size).max(0.0)
    }
}
