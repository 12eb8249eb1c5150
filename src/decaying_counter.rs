//! An exponentially decaying counter. State, no decision: the span is the caller's.

use std::time::Duration;

/// Counts events and forgets them exponentially, over the span given on read.
#[derive(Default)]
pub struct DecayingCounter {
    sum: f64,
    at: Duration,
}

impl DecayingCounter {
    /// The events of about the last `span`.
    pub fn read(&self, now: Duration, span: Duration) -> f64 {
        self.sum * (-now.saturating_sub(self.at).as_secs_f64() / span.as_secs_f64()).exp()
    }

    /// Counts one event.
    pub fn add(&mut self, now: Duration, span: Duration) {
        (self.sum, self.at) = (self.read(now, span) + 1.0, now);
    }
}
