//! What came of a run: figures, series over time, rules, bounds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::experiment::Mode;
use crate::policies::PolicyName;
use crate::watcher::{Breach, Rule};

/// Raised when a field changes its meaning or goes.
pub const VERSION: u32 = 1;

/// The result of one run, as it stands in `result.json`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// [`VERSION`] of the program that wrote it.
    pub version: u32,
    /// The experiment's name.
    pub experiment: String,
    /// What it is about, for a reader.
    pub about: String,
    pub mode: Mode,
    pub policy: PolicyName,
    pub seed: u64,
    /// For how long clients had packets to send, in seconds.
    pub span_s: f64,
    pub senders: usize,
    pub destinations: usize,
    pub endpoints: usize,
    /// By name; what each means stands in [`super::figures::FIGURES`].
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

/// How often a rule was broken.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RuleLine {
    pub rule: Rule,
    pub words: String,
    pub broken: u64,
}

/// Whether a bound held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoundLine {
    /// As the experiment states it.
    pub bound: String,
    pub value: f64,
    pub held: bool,
}

/// A trouble, and from when until when it lasted, in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TroubleLine {
    pub what: String,
    pub from_s: f64,
    pub until_s: f64,
}

/// One line of a picture over time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// Which picture it belongs to: credit, dispatches, refusals, held or slots.
    pub picture: String,
    pub name: String,
    /// One a second.
    pub values: Vec<f64>,
}

/// What a process cost: seconds of processor time, and the most that it held.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cost {
    pub process: String,
    pub cpu_s: f64,
    pub memory_mb: f64,
    pub descriptors: usize,
}

impl Outcome {
    /// A figure by name; 0 for one that is not there.
    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or(0.0)
    }

    /// No rule was broken.
    pub fn rules_kept(&self) -> bool {
        self.rules.iter().all(|line| line.broken == 0)
    }

    /// No bound was missed.
    pub fn bounds_kept(&self) -> bool {
        self.bounds.iter().all(|line| line.held)
    }

    /// A line or two for a terminal.
    pub fn summary(&self) -> String {
        format!("{}\n{}{}", self.credit_words(), self.rules_words(), self.bounds_words())
    }

    fn credit_words(&self) -> String {
        format!(
            "{} ({}, {}, seed {}): credit {:.3}, worst 10 s {:.3}, {:.0} of {:.0} packets delivered",
            self.experiment,
            self.policy.word(),
            if self.mode == Mode::Virtual { "simulated" } else { "on sockets" },
            self.seed,
            self.figure("credit"),
            self.figure("credit_worst_10s"),
            self.figure("delivered"),
            self.figure("wanted")
        )
    }

    fn rules_words(&self) -> String {
        let broken = self.rules.iter().filter(|line| line.broken > 0);
        let broken: Vec<String> = broken.map(|line| format!("{:?} x{}", line.rule, line.broken)).collect();
        if broken.is_empty() {
            return "all rules kept".to_owned();
        }
        format!("BROKEN: {}", broken.join(", "))
    }

    fn bounds_words(&self) -> String {
        let missed = self.bounds.iter().filter(|line| !line.held);
        let missed: Vec<&str> = missed.map(|line| line.bound.as_str()).collect();
        match (self.bounds.len(), missed.len()) {
            (0, _) => String::new(),
            (all, 0) => format!("; {all} bounds held"),
            _ => format!("; MISSED: {}", missed.join(", ")),
        }
    }
}
