//! The result of a run of `sailcart-lab capacity` as JSON: measured series, the model's inputs, and its rows.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::model::{Inputs, Row};
use super::series::{Quantity, Series};
use crate::experiment::LabError;

/// The measurements of one run with one sender program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeasurementRun {
    /// When the run started, in UTC.
    pub date: String,
    /// The command line of the run.
    pub command: String,
    /// Output of `sailcart version`.
    pub program: String,
    /// Number of cores of the machine, and its load when the run started.
    pub machine: String,
    /// The measured points of each quantity.
    pub series: Vec<Series>,
}

impl MeasurementRun {
    /// The series of a quantity; `None` if the run did not measure it.
    pub fn series(&self, quantity: Quantity) -> Option<&Series> {
        self.series.iter().find(|series| series.quantity == quantity)
    }
}

/// A run, and optionally the measurements of an older program to compare with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Measurements of the run.
    pub measured: MeasurementRun,
    /// Inputs of the model.
    pub inputs: Inputs,
    /// Results of the model.
    pub rows: Vec<Row>,
    /// Measurements of an older program.
    pub before: Option<MeasurementRun>,
}

impl Report {
    /// Reads a report from its JSON file. The error names the file.
    pub fn read(path: &Path) -> Result<Self, LabError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| LabError(format!("{}: {error}", path.display())))?;
        serde_json::from_str(&text).map_err(|error| LabError(format!("{}: {error}", path.display())))
    }

    /// The contents of the JSON file.
    pub fn to_json(&self) -> Result<String, LabError> {
        let text = serde_json::to_string_pretty(self).map_err(|error| LabError(format!("JSON: {error}")))?;
        Ok(text + "\n")
    }
}
