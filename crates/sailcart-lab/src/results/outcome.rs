//! The result of a run as stored in `result.json`, and its summary for a terminal.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::experiment::Mode;
use crate::policies::PolicyName;
use crate::watcher::{Rule, Violation};

/// Version of the format of `result.json`; raised when a field changes its meaning or is removed.
pub const VERSION: u32 = 1;

/// The result of one run, as stored in `result.json`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// The [`VERSION`] of the program that wrote it.
    pub version: u32,
    /// The experiment's name.
    pub experiment: String,
    /// The experiment's description.
    pub about: String,
    pub mode: Mode,
    pub policy: PolicyName,
    pub seed: u64,
    /// For how long clients submitted packets, in seconds.
    pub span_s: f64,
    pub senders: usize,
    pub destinations: usize,
    pub endpoints: usize,
    /// Figures by name; [`super::figures::FIGURES`] explains each.
    pub figures: BTreeMap<String, f64>,
    pub rules: Vec<RuleLine>,
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    pub bounds: Vec<BoundLine>,
    pub troubles: Vec<TroubleLine>,
    /// Values over time, one a second.
    pub series: Vec<Series>,
    /// Histogram of the times from the planned time to delivery: upper limit in milliseconds, and count.
    pub delivery_ms: Vec<(f64, u64)>,
    /// Histogram of the times to the client's answer, in the same form.
    pub answer_ms: Vec<(f64, u64)>,
    /// The resources that each process used; empty in simulated mode (`mode = "virtual"`).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cost: Vec<Cost>,
}

/// A rule, and how often it was broken.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RuleLine {
    pub rule: Rule,
    #[serde(rename = "words")]
    pub description: String,
    #[serde(rename = "broken")]
    pub violations: u64,
}

/// A bound, the value of its figure, and whether the bound held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoundLine {
    /// The bound as written in the experiment.
    pub bound: String,
    pub value: f64,
    pub held: bool,
}

/// A trouble, with its start and end in seconds since the start of the run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TroubleLine {
    #[serde(rename = "what")]
    pub description: String,
    pub from_s: f64,
    pub until_s: f64,
}

/// One series of values over time, a line of a chart.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// The title of its chart: credit, dispatches, refusals, packets held or calls in flight.
    #[serde(rename = "picture")]
    pub chart: String,
    pub name: String,
    /// One value a second.
    pub values: Vec<f64>,
}

/// The resources that a process used: processor time in seconds, and the maxima of its memory and
/// descriptors.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cost {
    pub process: String,
    pub cpu_s: f64,
    pub memory_mb: f64,
    pub descriptors: usize,
}

impl Outcome {
    /// The value of a figure; 0 if the result does not have it.
    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or(0.0)
    }

    /// Whether no rule was broken.
    pub fn all_rules_kept(&self) -> bool {
        self.rules.iter().all(|line| line.violations == 0)
    }

    /// Whether all bounds were met.
    pub fn all_bounds_met(&self) -> bool {
        self.bounds.iter().all(|line| line.held)
    }

    /// A summary for a terminal, in two lines.
    pub fn summary(&self) -> String {
        format!("{}\n{}{}", self.credit_summary(), self.rules_summary(), self.bounds_summary())
    }

    fn credit_summary(&self) -> String {
        format!(
            "{} ({}, {}, seed {}): credit {:.3}, worst 10 s {:.3}, {:.0} of {:.0} packets delivered",
            self.experiment,
            self.policy.name(),
            if self.mode == Mode::Virtual { "simulated" } else { "on sockets" },
            self.seed,
            self.figure("credit"),
            self.figure("credit_worst_10s"),
            self.figure("delivered"),
            self.figure("wanted")
        )
    }

    fn rules_summary(&self) -> String {
        let broken = self.rules.iter().filter(|line| line.violations > 0);
        let broken: Vec<String> =
            broken.map(|line| format!("{:?} x{}", line.rule, line.violations)).collect();
        if broken.is_empty() {
            return "all rules kept".to_owned();
        }
        format!("BROKEN: {}", broken.join(", "))
    }

    fn bounds_summary(&self) -> String {
        let missed = self.bounds.iter().filter(|line| !line.held);
        let missed: Vec<&str> = missed.map(|line| line.bound.as_str()).collect();
        match (self.bounds.len(), missed.len()) {
            (0, _) => String::new(),
            (all, 0) => format!("; {all} bounds held"),
            _ => format!("; MISSED: {}", missed.join(", ")),
        }
    }
}
