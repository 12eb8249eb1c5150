//! How long to wait before something that failed is tried again. Pure: it neither sleeps nor reads a clock.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Each pause is drawn from the whole of a span that doubles with every failure in a row, up to a most. Guards against hundreds of
/// senders that were turned away together and come again together: they would keep out even those that are let in. Libraries
/// for this add chance on top of a sure pause, which keeps such a crowd together at first.
pub struct Pauses {
    rng: ChaCha8Rng,
    least: Duration,
    span: Duration,
}

impl Pauses {
    pub fn new(seed: u64, least: Duration) -> Self {
        Pauses { rng: ChaCha8Rng::seed_from_u64(seed), least, span: Duration::ZERO }
    }

    /// The next pause; a row begins with a span of `first`, or of the least, and none is drawn from more than `most`.
    pub fn next(&mut self, first: Duration, most: Duration) -> Duration {
        self.span = (self.span * 2).max(first).max(self.least).min(most);
        self.least + self.span.saturating_sub(self.least).mul_f64(self.rng.random())
    }

    /// It went well: the next failure is the first of its row.
    pub fn over(&mut self) {
        self.span = Duration::ZERO;
    }
}
