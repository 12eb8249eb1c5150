//! The design's token bucket: arithmetic alone, the rate and the burst are the caller's. State, no decision.

use std::time::Duration;

/// Tokens that fill with time: tokens = min(burst, tokens + rate x elapsed), worked out on read, full at the start.
#[derive(Default)]
pub struct TokenBucket {
    /// `None` while it was never drawn on.
    pub tokens: Option<f64>,
    /// When `tokens` was so many. What lies ahead counts as owed until then.
    pub at: Duration,
}

impl TokenBucket {
    /// The tokens now, at a rate a second; a burst is never less than one.
    pub fn read(&self, now: Duration, rate: f64, burst: f64) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64() - self.at.saturating_sub(now).as_secs_f64();
        self.tokens.map_or(burst.max(1.0), |tokens| (tokens + since * rate).min(burst.max(1.0)))
    }

    /// Takes a token, if there is one.
    pub fn take(&mut self, now: Duration, rate: f64, burst: f64) -> bool {
        let tokens = self.read(now, rate, burst);
        if tokens >= 1.0 {
            (self.tokens, self.at) = (Some(tokens - 1.0), now);
        }
        tokens >= 1.0
    }
}
