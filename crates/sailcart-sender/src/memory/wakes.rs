//! The rounds that the sender has asked for.

use std::collections::BTreeSet;
use std::time::Instant;

/// Each stands until its time has come, also where an earlier one was asked for: the sender asks once only.
#[derive(Debug, Default)]
pub struct Wakes(BTreeSet<Instant>);

impl Wakes {
    /// Those after it are asked for anew once it has passed, so they go: else each round could leave one more.
    pub fn ask(&mut self, at: Instant) {
        self.0.retain(|other| *other < at);
        self.0.insert(at);
    }

    /// When the next round is due.
    pub fn next(&self) -> Option<Instant> {
        self.0.first().copied()
    }

    /// A round begins: those that are due by now are met by it.
    pub fn meet(&mut self, now: Instant) {
        self.0.retain(|at| *at > now);
    }
}
