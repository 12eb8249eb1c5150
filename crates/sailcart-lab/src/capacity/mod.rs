//! Capacity measurements: what a sender costs as the directory, the backlog and the fleet grow, extrapolated
//! by a model to the planned size.
//!
//! [`processes`] measures sender processes and [`decision_module`] the decision module alone. [`fit`] turns
//! the points into slopes, [`model`] multiplies the slopes by the named inputs, and [`page`] writes
//! `docs/CAPACITY.md`. [`scaling`] is the check of how work grows with the list; it runs with the tests.

pub mod decision_module;
pub mod fit;
pub mod model;
pub mod page;
pub mod processes;
pub mod report;
pub mod run;
pub mod scaling;
pub mod series;
pub mod sizes;
pub mod unit;

pub use run::{Options, run};
