//! The experiments that come with the program, and words for what one does.

use std::fmt::Write;

use crate::experiment::{Experiment, Fault, LimitBy, begins};

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
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

pub fn explain(experiment: &Experiment) -> Result<String, Fault> {
    let mut text = String::new();
    let senders = &experiment.senders;
    let _ = writeln!(text, "{}: {}", experiment.name, experiment.about);
    let _ = writeln!(
        text,
        "\n{} senders with {} slots each, holding {} packets; {:.0} packets a second for {:?}.",
        senders.count, senders.slots, senders.hold, experiment.load.rate, experiment.span
    );
    for category in &experiment.categories {
        let order = if category.in_order { ", in order by key" } else { "" };
        let _ = writeln!(
            text,
            "Category {}: {:?}{order}, wanted within {:?}, given up after {:?}.",
            category.name, category.repeat, category.soft_limit, category.patience
        );
    }
    for group in &experiment.destinations {
        let limit = match group.limit.by {
            LimitBy::None => "no limit but its capacity".to_owned(),
            LimitBy::Rate => format!("{} calls a second", group.limit.rate),
            LimitBy::Span => {
                format!("{} calls a second, counted in each {:?}", group.limit.rate, group.limit.span)
            }
        };
        let _ = writeln!(
            text,
            "{} x {}: {} endpoints, answers in about {:?}, {limit}.",
            group.count, group.name, group.endpoints, group.pace
        );
    }
    for (trouble, at) in experiment.troubles.iter().zip(begins(experiment)?) {
        let whom = trouble.destinations.as_deref().unwrap_or("all");
        let _ = writeln!(text, "At {at:?} for {:?}: {:?} ({whom}).", trouble.lasts, trouble.kind);
    }
    if !experiment.bounds.is_empty() {
        let _ = writeln!(text, "It must hold that {}.", experiment.bounds.join(" and "));
    }
    Ok(text)
}
