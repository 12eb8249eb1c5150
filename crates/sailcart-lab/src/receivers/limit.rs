//! A limit that all senders share: an even rate, or a count in each span.

use std::time::Duration;

use sailcart::LimitReport;

use crate::experiment::{Limit, LimitBy};

/// Seconds of its rate that an even limit grants at once.
const BURST: f64 = 1.0;

/// A limit on calls, and how much of it is used.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    limit: Limit,
    /// The rate that is usual.
    rate: f64,
    /// Calls left, where the rate is even; calls so far in this span otherwise.
    level: f64,
    at: Duration,
}

impl RateLimiter {
    /// A limit of which nothing is used yet.
    pub fn new(limit: &Limit) -> Self {
        let level = if limit.by == LimitBy::Rate { (limit.rate * BURST).max(1.0) } else { 0.0 };
        RateLimiter { limit: limit.clone(), rate: limit.rate, level, at: Duration::ZERO }
    }

    /// From now on its limit is this share of the usual. What is left by now stays, or what is used.
    pub fn lower(&mut self, now: Duration, share: f64) {
        if self.limit.rate != self.rate * share {
            let left = self.read(now);
            self.level = if self.limit.by == LimitBy::Rate { left } else { self.most() - left };
            (self.limit.rate, self.at) = (self.rate * share, now);
        }
    }

    fn most(&self) -> f64 {
        match self.limit.by {
            LimitBy::Rate => (self.limit.rate * BURST).max(1.0),
            _ => (self.limit.rate * self.limit.span.as_secs_f64()).max(1.0).floor(),
        }
    }

    fn span(&self, now: Duration) -> u128 {
        now.as_micros() / self.limit.span.as_micros().max(1)
    }

    fn read(&self, now: Duration) -> f64 {
        match self.limit.by {
            LimitBy::Rate => {
                let accrued = now.saturating_sub(self.at).as_secs_f64() * self.limit.rate;
                (self.level + accrued).min(self.most())
            }
            _ if self.span(now) == self.span(self.at) => self.most() - self.level,
            _ => self.most(),
        }
    }

    /// Whether one more call would be taken behind so many others.
    pub fn has_room(&self, now: Duration, behind: usize) -> bool {
        self.limit.by == LimitBy::None || self.read(now) >= 1.0 + behind as f64
    }

    /// A call comes. If it is above the limit: how long until there is room.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        if self.limit.by == LimitBy::None {
            return Ok(());
        }
        let left = self.read(now);
        let taken = left >= 1.0;
        // Refused calls that count dig no deeper than one burst.
        let least = if self.limit.by == LimitBy::Rate { -self.most() } else { 0.0 };
        let used = if taken || self.limit.refused_count { 1.0 } else { 0.0 };
        let left = (left - used).max(least);
        self.level = if self.limit.by == LimitBy::Rate { left } else { self.most() - left };
        self.at = now;
        if taken { Ok(()) } else { Err(self.room_in(now)) }
    }

    fn room_in(&self, now: Duration) -> Duration {
        match self.limit.by {
            LimitBy::Rate => Duration::from_secs_f64(((1.0 - self.read(now)) / self.limit.rate).max(0.0)),
            _ => {
                let next = (self.span(now) + 1) * self.limit.span.as_micros();
                Duration::from_micros(next as u64).saturating_sub(now)
            }
        }
    }

    /// Share of the limit that is left, and the limit in calls a second.
    pub fn report(&self, now: Duration) -> Option<LimitReport> {
        let left = (self.read(now) / self.most()).clamp(0.0, 1.0);
        (self.limit.by != LimitBy::None).then_some(LimitReport { unused_share: left, limit: self.limit.rate })
    }
}
