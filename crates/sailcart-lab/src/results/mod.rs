//! What came of a run: figures, series over time, rules, bounds; written as `result.json` and `report.html`.

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
