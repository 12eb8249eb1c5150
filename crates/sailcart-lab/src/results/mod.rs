//! The result of a run: counting while it is in progress ([`tally`]), its figures, time series, rules and
//! bounds ([`Outcome`]), and its output as `result.json` and `report.html`.

mod assemble;
pub mod bounds;
pub mod compare;
mod credit;
pub mod figures;
mod folder;
mod outcome;
pub mod report;
pub mod tally;

pub use outcome::{BoundLine, Cost, Outcome, RuleLine, Series, TroubleLine, VERSION};
