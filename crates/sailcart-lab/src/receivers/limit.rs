//! A rate limit that all senders share: calls at an even rate, or a number of calls per span.

use std::time::Duration;

use sailcart::LimitReport;

use crate::experiment::{Limit, LimitBy};

/// Burst of an even limit, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// A limit on calls and its current use.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    limit: Limit,
    /// The rate without any reduction, in calls per second.
    usual_rate: f64,
    /// Calls left at `updated_at` if the rate is even, otherwise calls used in the span of `updated_at`.
    level: f64,
    updated_at: Duration,
}

impl RateLimiter {
    /// Creates a limit of which nothing is used yet.
    pub fn new(limit: &Limit) -> Self {
        let level = if limit.by == LimitBy::Rate { (limit.rate * BURST_SECONDS).max(1.0) } else { 0.0 };
        RateLimiter { limit: limit.clone(), usual_rate: limit.rate, level, updated_at: Duration::ZERO }
    }

    /// Sets the limit to this share of the usual one from now on. What is left (even rate) or used (count per
    /// span) stays as it is.
    pub fn set_share(&mut self, now: Duration, share: f64) {
        if self.limit.rate != self.usual_rate * share {
            let remaining = self.calls_left(now);
            self.level =
                if self.limit.by == LimitBy::Rate { remaining } else { self.max_calls() - remaining };
            (self.limit.rate, self.updated_at) = (self.usual_rate * share, now);
        }
    }

    /// Maximum number of calls in a burst (even rate) or in a span (count per span).
    fn max_calls(&self) -> f64 {
        match self.limit.by {
            LimitBy::Rate => (self.limit.rate * BURST_SECONDS).max(1.0),
            _ => (self.limit.rate * self.limit.span.as_secs_f64()).max(1.0).floor(),
        }
    }

    /// Number of the span that contains `now`.
    fn span_index(&self, now: Duration) -> u128 {
        now.as_micros() / self.limit.span.as_micros().max(1)
    }

    /// Calls left now; below zero while counted rejections have used more than the burst.
    fn calls_left(&self, now: Duration) -> f64 {
        match self.limit.by {
            LimitBy::Rate => {
                let accrued = now.saturating_sub(self.updated_at).as_secs_f64() * self.limit.rate;
                (self.level + accrued).min(self.max_calls())
            }
            _ if self.span_index(now) == self.span_index(self.updated_at) => self.max_calls() - self.level,
            _ => self.max_calls(),
        }
    }

    /// Whether one more call would be accepted after `ahead` others.
    pub fn has_capacity(&self, now: Duration, ahead: usize) -> bool {
        self.limit.by == LimitBy::None || self.calls_left(now) >= 1.0 + ahead as f64
    }

    /// Registers a call. If it exceeds the limit, returns the time until a call would be accepted.
    pub fn try_acquire(&mut self, now: Duration) -> Result<(), Duration> {
        if self.limit.by == LimitBy::None {
            return Ok(());
        }
        let remaining = self.calls_left(now);
        let accepted = remaining >= 1.0;
        // Counted rejections reduce the calls left by at most one burst below zero.
        let min_remaining = if self.limit.by == LimitBy::Rate { -self.max_calls() } else { 0.0 };
        let used = if accepted || self.limit.refused_count { 1.0 } else { 0.0 };
        let remaining = (remaining - used).max(min_remaining);
        self.level = if self.limit.by == LimitBy::Rate { remaining } else { self.max_calls() - remaining };
        self.updated_at = now;
        if accepted { Ok(()) } else { Err(self.time_until_available(now)) }
    }

    fn time_until_available(&self, now: Duration) -> Duration {
        match self.limit.by {
            LimitBy::Rate => {
                Duration::from_secs_f64(((1.0 - self.calls_left(now)) / self.limit.rate).max(0.0))
            }
            _ => {
                let next_span_at = (self.span_index(now) + 1) * self.limit.span.as_micros();
                Duration::from_micros(next_span_at as u64).saturating_sub(now)
            }
        }
    }

    /// The unused share of the limit, and the limit in calls per second; `None` without a limit.
    pub fn report(&self, now: Duration) -> Option<LimitReport> {
        let unused_share = (self.calls_left(now) / self.max_calls()).clamp(0.0, 1.0);
        (self.limit.by != LimitBy::None).then_some(LimitReport { unused_share, limit: self.limit.rate })
    }
}
