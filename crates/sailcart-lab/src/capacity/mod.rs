//! Capacity: what senders cost as the directory, the backlog and the fleet grow, measured and carried on by a model
//! to the size that is planned for. [`real`] measures sender processes, [`hollow`] the decision module alone, [`fit`]
//! turns points into slopes, [`model`] multiplies them with the named inputs, and [`page`] writes
//! `docs/CAPACITY.md`. [`shape`] is the check of shape that runs with the tests.

pub mod fit;
pub mod hollow;
pub mod model;
pub mod page;
pub mod real;
pub mod report;
pub mod run;
pub mod series;
pub mod shape;
pub mod sizes;
pub mod unit;

pub use run::{Options, run};
