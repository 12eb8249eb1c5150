//! The figures of a result: their names, to which the bounds of experiments refer, and their meaning, which
//! reports print.

/// One figure of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figure {
    /// The name in `result.json` and in bounds.
    pub name: &'static str,
    /// What it counts or measures, as printed in reports.
    pub meaning: &'static str,
}

/// All figures of a result, in the order of reports.
pub const FIGURES: &[Figure] = &[
    figure("credit", "credit delivered over credit wanted"),
    figure("credit_worst_10s", "the same in the worst ten seconds"),
    figure("credit_worst_category", "the same for the worst category"),
    figure("wanted", "packets that clients wanted delivered"),
    figure("delivered", "of these, how many were"),
    figure("late", "delivered after the soft limit"),
    figure("handed_in", "packets handed in, again ones counted"),
    figure("dismissed", "ends as dismissed"),
    figure("scrapped", "ends as scrapped"),
    figure("dispatches", "calls' packets that reached a receiver"),
    figure("calls", "calls that reached a receiver"),
    figure("full", "calls turned away"),
    figure("errors", "calls answered with an error or broken"),
    figure("unanswered", "calls given up without an answer"),
    figure("not_connected", "calls without a connection"),
    figure("connections", "connections opened"),
    figure("doubles", "packets that took effect twice and must not"),
    figure("breaches", "rules broken, each time counted"),
    figure("jain", "Jain's index over delivered/wanted by destination"),
    figure("answer_p50_ms", "time to a client's answer, from the intended moment"),
    figure("answer_p99_ms", "the same, 99th percentile"),
    figure("answer_p999_ms", "the same, 99.9th percentile"),
    figure("delivery_p50_ms", "time to delivery, from the intended moment"),
    figure("delivery_p99_ms", "the same, 99th percentile"),
    figure("kills", "sender processes killed or stopped by the day"),
    figure("crashes", "sender processes that ended without being told"),
    figure("ignored", "clients whose command cannot be read, without a word for three seconds"),
    figure("strays", "calls that no client's packet explains"),
];

const fn figure(name: &'static str, meaning: &'static str) -> Figure {
    Figure { name, meaning }
}

/// Whether there is a figure of this name.
pub fn is_known(name: &str) -> bool {
    FIGURES.iter().any(|figure| figure.name == name)
}
