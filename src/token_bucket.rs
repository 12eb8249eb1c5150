//! A token bucket. It does the arithmetic only: the caller passes the rate and the burst with each call.

use std::time::Duration;

/// Tokens that refill with time: `min(burst, tokens + rate * elapsed)`, computed on access. Full at the
/// start.
#[derive(Default)]
pub struct TokenBucket {
    /// Tokens at `updated_at`; `None` until the first one is taken.
    pub tokens: Option<f64>,
    /// When `tokens` was computed. If it lies in the future, the refill until then is subtracted.
    pub updated_at: Duration,
}

impl TokenBucket {
    /// The tokens available at `now`, with `rate` in tokens per second. A burst below one counts as one.
    pub fn available(&self, now: Duration, rate: f64, burst: f64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64()
            - self.updated_at.saturating_sub(now).as_secs_f64();
        self.tokens.map_or(burst.max(1.0), |tokens| (tokens + elapsed * rate).min(burst.max(1.0)))
    }

    /// Takes one token. Returns `false`, and takes nothing, if less than one is available.
    pub fn try_take(&mut self, now: Duration, rate: f64, burst: f64) -> bool {
        let tokens = self.available(now, rate, burst);
        if tokens >= 1.0 {
            (self.tokens, self.updated_at) = (Some(tokens - 1.0), now);
        }
        tokens >= 1.0
    }
}
