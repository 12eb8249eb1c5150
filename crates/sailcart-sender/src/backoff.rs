//! Backoff delays before a failed operation is retried. Pure: this module neither sleeps nor reads a clock.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Exponential backoff with full jitter: each delay is drawn at random from a range whose upper bound
/// doubles with every consecutive failure, up to a maximum.
///
/// Hundreds of senders that were rejected at the same time must not retry at the same time: discovery would
/// then reject even those that it has capacity for. Backoff libraries add jitter on top of a fixed delay,
/// which spreads such a group too little at first.
pub struct Backoff {
    rng: ChaCha8Rng,
    min_delay: Duration,
    /// Upper bound of the last draw; zero after a success.
    upper_bound: Duration,
}

impl Backoff {
    /// A backoff whose delays are at least `min_delay`.
    pub fn new(seed: u64, min_delay: Duration) -> Self {
        Backoff { rng: ChaCha8Rng::seed_from_u64(seed), min_delay, upper_bound: Duration::ZERO }
    }

    /// The delay after a failure. After a success the upper bound starts at `first` (at least at the minimum
    /// delay); it never exceeds `max`.
    pub fn next_delay(&mut self, first: Duration, max: Duration) -> Duration {
        self.upper_bound = (self.upper_bound * 2).max(first).max(self.min_delay).min(max);
        self.min_delay + self.upper_bound.saturating_sub(self.min_delay).mul_f64(self.rng.random())
    }

    /// Records a success: the next delay counts as the first after a success.
    pub fn reset(&mut self) {
        self.upper_bound = Duration::ZERO;
    }
}
