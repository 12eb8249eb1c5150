//! Capacity: what senders cost as the directory, the backlog and the fleet grow, measured and carried on by a model
//! to the size that is planned for. [`processes`] measures sender processes, [`decision_module`] the decision module alone, [`fit`]
//! turns points into slopes, [`model`] multiplies them with the named inputs, and [`page`] writes
//! `docs/CAPACITY.md`. [`scaling`] is the check of shape that runs with the tests.

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
