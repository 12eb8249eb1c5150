//! An exponentially decaying event counter. The caller passes the time constant with each call.

use std::time::Duration;

/// Counts events, with weights that decay exponentially with their age.
#[derive(Default)]
pub struct DecayingCounter {
    count: f64,
    updated_at: Duration,
}

impl DecayingCounter {
    /// The approximate number of events within the last `window`, which is the time constant of the decay.
    pub fn read(&self, now: Duration, window: Duration) -> f64 {
        self.count * (-now.saturating_sub(self.updated_at).as_secs_f64() / window.as_secs_f64()).exp()
    }

    /// Counts one event at `now`.
    pub fn add(&mut self, now: Duration, window: Duration) {
        (self.count, self.updated_at) = (self.read(now, window) + 1.0, now);
    }
}
