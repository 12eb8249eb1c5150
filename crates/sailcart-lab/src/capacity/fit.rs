//! Least-squares fit of a straight line through measured points.

use serde::{Deserialize, Serialize};

/// Rounds to six significant digits: more than any measurement has, and few enough to be read back from JSON
/// unchanged.
pub fn round_to_six_digits(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size at which the value was measured.
    pub size: f64,
    /// The measured value; `None` if the sender refused this size.
    pub value: Option<f64>,
}

/// The line `value = intercept + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The value at size 0.
    pub intercept: f64,
    /// The increase of the value for each unit of size.
    pub slope: f64,
    /// The largest distance of a point from the line, in the unit of the values.
    pub largest_residual: f64,
}

impl Fit {
    /// Fits a line through the points that have a value. `None` for fewer than two different sizes.
    pub fn least_squares(points: &[Point]) -> Option<Self> {
        let measured: Vec<(f64, f64)> =
            points.iter().filter_map(|point| Some((point.size, point.value?))).collect();
        let count = measured.len() as f64;
        let mean_size = measured.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = measured.iter().map(|(_, value)| value).sum::<f64>() / count;
        let size_variation: f64 = measured.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        if measured.len() < 2 || size_variation == 0.0 {
            return None;
        }
        let covariation: f64 =
            measured.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let slope = covariation / size_variation;
        let intercept = mean_value - slope * mean_size;
        let residual = |(size, value): &(f64, f64)| (value - intercept - slope * size).abs();
        let largest_residual = measured.iter().map(residual).fold(0.0, f64::max);
        let [intercept, slope, largest_residual] =
            [intercept, slope, largest_residual].map(round_to_six_digits);
        Some(Fit { intercept, slope, largest_residual })
    }

    /// The value of the line at a size, at least 0 because no cost is negative.
    pub fn value_at(&self, size: f64) -> f64 {
        (self.intercept + self.slope * size).max(0.0)
    }
}
