//! The model: extrapolates the measured slopes to the planned size and compares the results with the budgets
//! of each role. There is one module for each group of areas; every number that is not measured is a named
//! input.

mod backlog;
mod control;
mod directory;
mod failures;
mod inputs;
mod learning;
mod network;
mod row;

pub use inputs::{Inputs, NamedInput, Source};
pub use row::{Area, Mechanism, Resource, Role, Row};

use super::report::MeasurementRun;
use super::series::{Basis, Estimate, Quantity};

/// The data from which rows are computed.
pub struct Model<'a> {
    measured: &'a MeasurementRun,
    inputs: &'a Inputs,
}

/// Computes all rows, sorted by descending factor, so that exceeded budgets come first and rows without a
/// need last.
pub fn rows(measured: &MeasurementRun, inputs: &Inputs) -> Vec<Row> {
    let model = Model { measured, inputs };
    let rows_by_area = [
        directory::rows(&model),
        learning::rows(&model),
        backlog::rows(&model),
        control::rows(&model),
        network::rows(&model),
        failures::rows(&model),
    ];
    let mut rows: Vec<Row> = rows_by_area.into_iter().flatten().collect();
    rows.sort_by(|a, b| b.factor.unwrap_or(-1.0).total_cmp(&a.factor.unwrap_or(-1.0)));
    rows
}

impl Model<'_> {
    /// The value of a quantity at a size; `None` if it was not measured.
    fn estimate_at(&self, quantity: Quantity, size: f64) -> Option<Estimate> {
        self.measured.series(quantity)?.estimate_at(size)
    }

    /// The increase of a quantity for this many more units of size: the slope without the intercept.
    fn increment(&self, quantity: Quantity, count: f64) -> Option<Estimate> {
        let series = self.measured.series(quantity)?;
        let basis = if count <= series.largest_size() { Basis::Measured } else { Basis::Extrapolated };
        Some(Estimate { value: series.fit?.slope.max(0.0) * count, basis })
    }
}

/// Combines two estimates; the result has the less reliable of the two bases.
fn combine(a: Option<Estimate>, b: Option<Estimate>, operation: fn(f64, f64) -> f64) -> Option<Estimate> {
    let (a, b) = a.zip(b)?;
    Some(Estimate { value: operation(a.value, b.value), basis: a.basis.max(b.basis) })
}

fn sum(a: Option<Estimate>, b: Option<Estimate>) -> Option<Estimate> {
    combine(a, b, |a, b| a + b)
}

fn scaled(estimate: Option<Estimate>, factor: f64) -> Option<Estimate> {
    estimate.map(|estimate| Estimate { value: estimate.value * factor, ..estimate })
}

/// A value computed from planned inputs alone.
fn computed(value: f64) -> Option<Estimate> {
    Some(Estimate { value, basis: Basis::Computed })
}

/// A value computed from an input that nobody measured.
fn assumed(value: f64) -> Option<Estimate> {
    Some(Estimate { value, basis: Basis::Assumed })
}
