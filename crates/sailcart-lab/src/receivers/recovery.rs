//! What an outage leaves behind: a destination comes back cold, warms, and falls over when it is pushed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::experiment::Rules;

/// Whether a destination that returns from an outage is still cold, and whether calls pushed it over.
pub struct Recovery {
    rules: Rules,
    /// Calls a second once warm.
    capacity: f64,
    /// From when until when it was, and will be, out.
    outages: Vec<(Duration, Duration)>,
    /// When calls came within the last span.
    came: VecDeque<Duration>,
    fallen: bool,
}

impl Recovery {
    pub fn new(rules: &Rules, capacity: f64, outages: Vec<(Duration, Duration)>) -> Self {
        Recovery { rules: rules.clone(), capacity, outages, came: VecDeque::new(), fallen: false }
    }

    /// How long it has been back, if it is not warm yet.
    fn back_for(&self, now: Duration) -> Option<Duration> {
        let ended = self.outages.iter().map(|(_, until)| *until).filter(|until| *until <= now).max()?;
        let out = self.outages.iter().any(|(from, until)| *from <= now && now < *until);
        Some(now - ended).filter(|back| !out && *back < self.rules.cold)
    }

    /// Share of its capacity that it has.
    pub fn present(&self, now: Duration) -> f64 {
        self.back_for(now).map_or(1.0, |back| {
            let warm = back.as_secs_f64() / self.rules.cold.as_secs_f64();
            self.rules.cold_from + (1.0 - self.rules.cold_from) * warm
        })
    }

    fn budget(&self, now: Duration) -> f64 {
        let whole =
            self.rules.fall_multiple * self.present(now) * self.capacity * self.rules.fall.as_secs_f64();
        whole.max(2.0) // chance alone brings two
    }

    /// A call reaches it, taken or not. True if that pushes it over.
    pub fn push(&mut self, now: Duration) -> bool {
        if self.back_for(now).is_none() {
            self.came.clear();
            return false;
        }
        while self.came.front().is_some_and(|at| *at + self.rules.fall <= now) {
            self.came.pop_front();
        }
        self.came.push_back(now);
        self.fallen = self.came.len() as f64 > self.budget(now) + 1e-9;
        self.fallen
    }

    /// Whether one more call, behind so many others, stays well below what would push it over.
    pub fn has_room(&self, now: Duration, behind: usize) -> bool {
        let recent = self.came.iter().filter(|at| **at + self.rules.fall > now).count();
        self.back_for(now).is_none() || (recent + behind) as f64 + 1.0 <= self.budget(now) * 0.8
    }

    /// It was pushed over, and stays down.
    pub fn fallen(&self) -> bool {
        self.fallen
    }
}
