//! The experiments that are built into the program, and a description of an experiment in words.

use std::fmt::Write;

use crate::experiment::{Experiment, LabError, LimitBy, start_times};

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        /// All built-in experiments: name and file text.
        pub const ALL: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../experiments/", $name, ".toml")))),*];
    };
}

shipped!(
    "calm",
    "hang",
    "answer-lost",
    "rolling-restarts",
    "drains",
    "hot-destination",
    "limits-overload",
    "limits-lowered",
    "herd",
    "cold-return",
    "spoilt",
    "bad-clients",
    "grown",
    "tenfold",
    "kills",
    "first-try",
    "steady",
);

/// Describes an experiment in words, one line per part.
///
/// # Errors
///
/// Troubles that refer to unknown ones, or to each other in a cycle.
pub fn explain(experiment: &Experiment) -> Result<String, LabError> {
    let mut text = String::new();
    let senders = &experiment.senders;
    let _ = writeln!(text, "{}: {}", experiment.name, experiment.about);
    let _ = writeln!(
        text,
        "\n{} senders, each with {} slots and up to {} held packets; {:.0} packets per second for {:?}.",
        senders.count, senders.slots, senders.hold, experiment.load.rate, experiment.span
    );
    for category in &experiment.categories {
        let order = if category.in_order { ", in order per key" } else { "" };
        let _ = writeln!(
            text,
            "Category {}: {:?}{order}, soft limit {:?}, patience {:?}.",
            category.name, category.repeat, category.soft_limit, category.patience
        );
    }
    for group in &experiment.destinations {
        let limit = match group.limit.by {
            LimitBy::None => "no limit other than its capacity".to_owned(),
            LimitBy::Rate => format!("at most {} calls per second", group.limit.rate),
            LimitBy::Span => {
                format!("at most {} calls per second, counted per {:?}", group.limit.rate, group.limit.span)
            }
        };
        let _ = writeln!(
            text,
            "{} x {}: {} endpoints each, median service time {:?}, {limit}.",
            group.count, group.name, group.endpoints, group.pace
        );
    }
    for (trouble, starts_at) in experiment.troubles.iter().zip(start_times(experiment)?) {
        let target = trouble.destinations.as_deref().unwrap_or("all");
        let _ = writeln!(text, "At {starts_at:?} for {:?}: {:?} ({target}).", trouble.lasts, trouble.kind);
    }
    if !experiment.bounds.is_empty() {
        let _ = writeln!(text, "Required: {}.", experiment.bounds.join(" and "));
    }
    Ok(text)
}
