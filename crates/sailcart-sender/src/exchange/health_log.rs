//! Logs changes of health, at a bounded rate.

use std::time::{Duration, Instant};

use sailcart::{HealthChange, HealthState};

/// Number of lines within [`WINDOW`] at most. The number of lines left out is logged with the next one.
const MAX_LINES: u32 = 20;
const WINDOW: Duration = Duration::from_secs(1);

/// Logs changes of health.
#[derive(Debug, Default)]
pub(super) struct HealthLog {
    window_started_at: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl HealthLog {
    /// Logs a change, unless too many were logged shortly before.
    pub(super) fn log(&mut self, change: &HealthChange) {
        if self.window_started_at.is_none_or(|at| at.elapsed() >= WINDOW) {
            (self.window_started_at, self.lines) = (Some(Instant::now()), 0);
        }
        self.lines += 1;
        if self.lines > MAX_LINES {
            self.left_out += 1;
            return;
        }
        let route = change.endpoint.map(|endpoint| format!(" route {}", endpoint.0)).unwrap_or_default();
        let (before, after) = (name(change.before), name(change.after));
        let left_out = std::mem::take(&mut self.left_out);
        log::info!(
            "destination {}{route}: health={after} before={before} left_out={left_out}",
            change.destination.0
        );
    }
}

fn name(state: HealthState) -> &'static str {
    match state {
        HealthState::Healthy => "healthy",
        HealthState::Unresponsive => "unresponsive",
        HealthState::Ejected => "ejected",
        HealthState::Recovering => "recovering",
    }
}
