//! A small experiment as the basis of test scenarios, and helpers to run it in the simulation.
#![allow(dead_code)]

use std::time::Duration;

use sailcart_lab::events::EventLog;
use sailcart_lab::experiment::{Experiment, read_text};
use sailcart_lab::plan::Plan;
use sailcart_lab::policies::{Policy, PolicyName};
use sailcart_lab::results::Outcome;
use sailcart_lab::simulated;
use sailcart_lab::watcher::Rule;

const TEMPLATE: &str = r#"
name = "scenario"
about = "a test scenario"
span = "20s"
[senders]
count = 2
slots = 40
hold = 400
retry_after = "2s"
[[categories]]
name = "c"
soft_limit = "2s"
patience = "12s"
CATEGORY
[[kinds]]
name = "k"
KIND
[[destinations]]
name = "d"
kind = "k"
endpoints = 2
pace = "100ms"
servers = 8
DESTINATION
[load]
rate = 20.0
LOAD
"#;

/// The template with replacements for its placeholders, such as `[("CATEGORY", "...")]`, and troubles at the
/// end. A category repeats idempotently unless replaced; the other placeholders are empty by default.
pub fn experiment_text(overrides: &[(&str, &str)], troubles: &str) -> String {
    let mut text = TEMPLATE.to_owned();
    for name in ["CATEGORY", "KIND", "DESTINATION", "LOAD"] {
        let replacement = overrides
            .iter()
            .find(|(placeholder, _)| *placeholder == name)
            .map(|(_, replacement)| *replacement);
        let default = if name == "CATEGORY" { "repeat = \"idempotent\"" } else { "" };
        text = text.replace(name, replacement.unwrap_or(default));
    }
    text + troubles
}

/// The experiment that the text describes; panics if it is invalid.
pub fn experiment(overrides: &[(&str, &str)], troubles: &str) -> Experiment {
    read_text(&experiment_text(overrides, troubles), &[]).expect("a valid experiment")
}

/// The plan of that experiment with seed 1.
pub fn plan(overrides: &[(&str, &str)], troubles: &str) -> Plan {
    Plan::new(experiment(overrides, troubles), 1).expect("a valid experiment")
}

/// Runs a plan in the simulation with a built-in policy.
pub fn run(plan: &Plan, policy: PolicyName) -> Outcome {
    simulated::run(plan, policy, EventLog::default(), &mut |_| {})
}

/// Runs a plan in the simulation; each sender uses a policy created from its seed.
pub fn run_with_policy(plan: &Plan, new_policy: &dyn Fn(u64) -> Box<dyn Policy>) -> Outcome {
    simulated::run_with(plan, PolicyName::OneTry, EventLog::default(), &mut |_: Duration| {}, new_policy)
}

/// The rules that were violated in a run.
pub fn violated_rules(outcome: &Outcome) -> Vec<Rule> {
    outcome.rules.iter().filter(|line| line.violations > 0).map(|line| line.rule).collect()
}
