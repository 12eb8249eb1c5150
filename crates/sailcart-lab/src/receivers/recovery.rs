//! Recovery of a destination after an outage: it starts with a share of its capacity, warms up, and fails
//! again if it is overloaded in the meantime.

use std::collections::VecDeque;
use std::time::Duration;

use crate::experiment::Rules;

/// State of a destination with regard to its outages: whether it is warming up, and whether an overload has
/// made it fail again.
pub struct Recovery {
    rules: Rules,
    /// Calls per second when warm.
    capacity: f64,
    /// Start and end of each past and future outage.
    outages: Vec<(Duration, Duration)>,
    /// Arrival times of the calls within the last `rules.fall`.
    recent_calls: VecDeque<Duration>,
    has_failed: bool,
}

impl Recovery {
    /// Creates the state of a destination with this capacity in calls per second and these outages.
    pub fn new(rules: &Rules, capacity: f64, outages: Vec<(Duration, Duration)>) -> Self {
        Recovery { rules: rules.clone(), capacity, outages, recent_calls: VecDeque::new(), has_failed: false }
    }

    /// Time since the end of the last outage, if the destination is still warming up.
    fn warming_up_for(&self, now: Duration) -> Option<Duration> {
        let ended = self.outages.iter().map(|(_, until)| *until).filter(|until| *until <= now).max()?;
        let is_out = self.outages.iter().any(|(from, until)| *from <= now && now < *until);
        Some(now - ended).filter(|elapsed| !is_out && *elapsed < self.rules.cold)
    }

    /// The share of its capacity that the destination has at present, 1 when warm.
    pub fn capacity_share(&self, now: Duration) -> f64 {
        self.warming_up_for(now).map_or(1.0, |elapsed| {
            let warmed_up_share = elapsed.as_secs_f64() / self.rules.cold.as_secs_f64();
            self.rules.cold_from + (1.0 - self.rules.cold_from) * warmed_up_share
        })
    }

    /// Maximum number of calls within `rules.fall` that the destination withstands while it warms up.
    fn max_recent_calls(&self, now: Duration) -> f64 {
        let calls = self.rules.fall_multiple
            * self.capacity_share(now)
            * self.capacity
            * self.rules.fall.as_secs_f64();
        calls.max(2.0) // two calls may coincide at random
    }

    /// Registers a call, accepted or not. Returns true if it makes the destination fail.
    pub fn record_call(&mut self, now: Duration) -> bool {
        if self.warming_up_for(now).is_none() {
            self.recent_calls.clear();
            return false;
        }
        while self.recent_calls.front().is_some_and(|at| *at + self.rules.fall <= now) {
            self.recent_calls.pop_front();
        }
        self.recent_calls.push_back(now);
        self.has_failed = self.recent_calls.len() as f64 > self.max_recent_calls(now) + 1e-9;
        self.has_failed
    }

    /// Whether one more call after `ahead` others stays below 80 % of the calls that would make the
    /// destination fail.
    pub fn has_capacity(&self, now: Duration, ahead: usize) -> bool {
        let recent_count = self.recent_calls.iter().filter(|at| **at + self.rules.fall > now).count();
        self.warming_up_for(now).is_none()
            || (recent_count + ahead) as f64 + 1.0 <= self.max_recent_calls(now) * 0.8
    }

    /// Whether the destination failed under overload. It then stays down.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }
}
