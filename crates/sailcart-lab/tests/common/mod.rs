//! Small experiments for stories.
#![allow(dead_code)]

use std::time::Duration;

use sailcart_lab::events::Log;
use sailcart_lab::experiment::{Experiment, read_text};
use sailcart_lab::plan::Plan;
use sailcart_lab::policies::{Policy, PolicyName};
use sailcart_lab::results::Outcome;
use sailcart_lab::simulated;
use sailcart_lab::watcher::Rule;

const FLEET: &str = r#"
name = "story"
about = "a story"
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

/// The small fleet, with some of its parts said otherwise: `[("CATEGORY", "...")]`, and troubles at the end.
pub fn text(parts: &[(&str, &str)], troubles: &str) -> String {
    let mut text = FLEET.to_owned();
    for name in ["CATEGORY", "KIND", "DESTINATION", "LOAD"] {
        let said = parts.iter().find(|(part, _)| *part == name).map(|(_, said)| *said);
        let usual = if name == "CATEGORY" { "repeat = \"idempotent\"" } else { "" };
        text = text.replace(name, said.unwrap_or(usual));
    }
    text + troubles
}

pub fn experiment(parts: &[(&str, &str)], troubles: &str) -> Experiment {
    read_text(&text(parts, troubles), &[]).expect("a sound experiment")
}

pub fn plan(parts: &[(&str, &str)], troubles: &str) -> Plan {
    Plan::new(experiment(parts, troubles), 1).expect("a sound experiment")
}

pub fn play(plan: &Plan, policy: PolicyName) -> Outcome {
    simulated::run(plan, policy, Log::default(), &mut |_| {})
}

pub fn play_with(plan: &Plan, make: &dyn Fn(u64) -> Box<dyn Policy>) -> Outcome {
    simulated::run_with(plan, PolicyName::OneTry, Log::default(), &mut |_: Duration| {}, make)
}

/// The rules that broke.
pub fn broken(outcome: &Outcome) -> Vec<Rule> {
    outcome.rules.iter().filter(|line| line.broken > 0).map(|line| line.rule).collect()
}
