//! The model: slopes as measured, carried on to the planned size, against the budgets of each role. One module for
//! each area; every number that is not measured is a named input.

mod backlog;
mod control;
mod directory;
mod failures;
mod inputs;
mod learning;
mod network;
mod row;

pub use inputs::{Inputs, Named, Source};
pub use row::{Area, Mechanism, Resource, Role, Row};

use super::report::Measured;
use super::series::{Basis, Estimate, Quantity};

/// What rows are computed from.
pub struct Model<'a> {
    measured: &'a Measured,
    inputs: &'a Inputs,
}

/// Every row: those over their budget first, by factor; those without a figure last.
pub fn rows(measured: &Measured, inputs: &Inputs) -> Vec<Row> {
    let model = Model { measured, inputs };
    let areas = [
        directory::rows(&model),
        learning::rows(&model),
        backlog::rows(&model),
        control::rows(&model),
        network::rows(&model),
        failures::rows(&model),
    ];
    let mut rows: Vec<Row> = areas.into_iter().flatten().collect();
    rows.sort_by(|a, b| b.factor.unwrap_or(-1.0).total_cmp(&a.factor.unwrap_or(-1.0)));
    rows
}

impl Model<'_> {
    /// A measured quantity at a size.
    fn at(&self, quantity: Quantity, size: f64) -> Option<Estimate> {
        self.measured.series(quantity)?.at(size)
    }

    /// What so many more of something add: the slope alone.
    fn added(&self, quantity: Quantity, count: f64) -> Option<Estimate> {
        let series = self.measured.series(quantity)?;
        let basis = if count <= series.largest() { Basis::Measured } else { Basis::Extrapolated };
        Some(Estimate { value: series.fit?.slope.max(0.0) * count, basis })
    }
}

/// Two figures together stand on the weaker of their bases.
fn combine(a: Option<Estimate>, b: Option<Estimate>, by: fn(f64, f64) -> f64) -> Option<Estimate> {
    let (a, b) = a.zip(b)?;
    Some(Estimate { value: by(a.value, b.value), basis: a.basis.max(b.basis) })
}

fn sum(a: Option<Estimate>, b: Option<Estimate>) -> Option<Estimate> {
    combine(a, b, |a, b| a + b)
}

fn times(estimate: Option<Estimate>, factor: f64) -> Option<Estimate> {
    estimate.map(|estimate| Estimate { value: estimate.value * factor, ..estimate })
}

/// From planned inputs alone.
fn computed(value: f64) -> Option<Estimate> {
    Some(Estimate { value, basis: Basis::Computed })
}

/// From an input that nobody measured.
fn assumed(value: f64) -> Option<Estimate> {
    Some(Estimate { value, basis: Basis::Assumed })
}
