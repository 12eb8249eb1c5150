//! What a run of `capacity` leaves: series, the model's inputs and rows, as JSON.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::model::{Inputs, Row};
use super::series::{Quantity, Series};
use crate::experiment::Fault;

/// What was measured with one sender's program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// When the run began, UTC.
    pub date: String,
    pub command: String,
    /// As `sailcart version` tells.
    pub program: String,
    /// Cores of the machine, and its load when the run began.
    pub machine: String,
    pub series: Vec<Series>,
}

impl Measured {
    pub fn series(&self, quantity: Quantity) -> Option<&Series> {
        self.series.iter().find(|series| series.quantity == quantity)
    }
}

/// All of a run, and perhaps what an older program measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub measured: Measured,
    pub inputs: Inputs,
    pub rows: Vec<Row>,
    pub before: Option<Measured>,
}

impl Report {
    pub fn read(path: &Path) -> Result<Self, Fault> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| Fault(format!("{}: {error}", path.display())))?;
        serde_json::from_str(&text).map_err(|error| Fault(format!("{}: {error}", path.display())))
    }

    pub fn text(&self) -> Result<String, Fault> {
        let text = serde_json::to_string_pretty(self).map_err(|error| Fault(format!("JSON: {error}")))?;
        Ok(text + "\n")
    }
}
