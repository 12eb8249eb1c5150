//! The rounds that the sender has scheduled.

use std::collections::BTreeSet;
use std::time::Instant;

/// Times at which a round is due. The sender asks for each round once only, so a time stays scheduled until
/// it has passed, even if an earlier round is scheduled too.
#[derive(Debug, Default)]
pub struct ScheduledRounds(BTreeSet<Instant>);

impl ScheduledRounds {
    /// Schedules a round and drops all later ones. The sender asks for those again once this one has passed;
    /// if they were retained, each round could add one more.
    pub fn schedule(&mut self, at: Instant) {
        self.0.retain(|other| *other < at);
        self.0.insert(at);
    }

    /// When the next round is due.
    pub fn next(&self) -> Option<Instant> {
        self.0.first().copied()
    }

    /// Removes the rounds that are due by `now`, as a round begins.
    pub fn remove_due(&mut self, now: Instant) {
        self.0.retain(|at| *at > now);
    }
}
