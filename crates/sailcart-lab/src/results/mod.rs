//! What came of a run: figures, series over time, rules, bounds; written as `result.json` and `report.html`.

pub mod bounds;
pub mod compare;
pub mod report;
pub mod tally;

use std::collections::BTreeMap;
use std::path::Path;
use std::{fs, io};

use serde::{Deserialize, Serialize};

use crate::experiment::Mode;
use crate::policies::PolicyName;
use crate::watcher::{Breach, Rule};

/// Raised when a field changes its meaning or goes.
pub const VERSION: u32 = 1;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    pub version: u32,
    pub experiment: String,
    pub about: String,
    pub mode: Mode,
    pub policy: PolicyName,
    pub seed: u64,
    pub span_s: f64,
    pub senders: usize,
    pub destinations: usize,
    pub endpoints: usize,
    /// By name; what each means stands in [`tally::MEANINGS`].
    pub figures: BTreeMap<String, f64>,
    pub rules: Vec<RuleLine>,
    pub breaches: Vec<Breach>,
    pub bounds: Vec<BoundLine>,
    pub troubles: Vec<TroubleLine>,
    /// Second by second.
    pub series: Vec<Series>,
    /// Milliseconds from the intended moment to delivery, and how many took up to that.
    pub delivery_ms: Vec<(f64, u64)>,
    /// Milliseconds to the client's answer: likewise.
    pub answer_ms: Vec<(f64, u64)>,
    /// What each process cost, where they are processes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cost: Vec<Cost>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RuleLine {
    pub rule: Rule,
    pub words: String,
    pub broken: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoundLine {
    pub bound: String,
    pub value: f64,
    pub held: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TroubleLine {
    pub what: String,
    pub from_s: f64,
    pub until_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// Which picture it belongs to: credit, dispatches, refusals, held or slots.
    pub picture: String,
    pub name: String,
    pub values: Vec<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cost {
    pub process: String,
    pub cpu_s: f64,
    pub memory_mb: f64,
    pub descriptors: usize,
}

impl Outcome {
    pub fn read(folder: &Path) -> io::Result<Outcome> {
        let path = folder.join("result.json");
        let text = fs::read_to_string(&path)?;
        let wrong = |words: String| io::Error::new(io::ErrorKind::InvalidData, words);
        let outcome: Outcome =
            serde_json::from_str(&text).map_err(|e| wrong(format!("{}: {e}", path.display())))?;
        if outcome.version != VERSION {
            let words = format!("{}: version {}, expected {VERSION}", path.display(), outcome.version);
            return Err(wrong(words));
        }
        Ok(outcome)
    }

    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let mut text = serde_json::to_string_pretty(self)?;
        text.push('\n');
        fs::write(folder.join("result.json"), text)?;
        fs::write(folder.join("report.html"), report::page(self))
    }

    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or(0.0)
    }

    pub fn rules_kept(&self) -> bool {
        self.rules.iter().all(|line| line.broken == 0)
    }

    pub fn bounds_kept(&self) -> bool {
        self.bounds.iter().all(|line| line.held)
    }

    /// A line or two for a terminal.
    pub fn summary(&self) -> String {
        let broken: Vec<String> = self
            .rules
            .iter()
            .filter(|line| line.broken > 0)
            .map(|line| format!("{:?} x{}", line.rule, line.broken))
            .collect();
        let rules = if broken.is_empty() {
            "all rules kept".to_owned()
        } else {
            format!("BROKEN: {}", broken.join(", "))
        };
        let missed: Vec<&str> =
            self.bounds.iter().filter(|line| !line.held).map(|line| line.bound.as_str()).collect();
        let bounds = match (self.bounds.len(), missed.len()) {
            (0, _) => String::new(),
            (all, 0) => format!("; {all} bounds held"),
            _ => format!("; MISSED: {}", missed.join(", ")),
        };
        let figure = |name| self.figure(name);
        let credit = format!(
            "{} ({}, {}, seed {}): credit {:.3}, worst 10 s {:.3}, {:.0} of {:.0} packets delivered",
            self.experiment,
            self.policy.word(),
            if self.mode == Mode::Virtual { "simulated" } else { "on sockets" },
            self.seed,
            figure("credit"),
            figure("credit_worst_10s"),
            figure("delivered"),
            figure("wanted")
        );
        format!("{credit}\n{rules}{bounds}")
    }
}
