//! The sender's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::memory::Unix;

/// Longer than any destination remembers a key.
const LONG_AGO: Duration = Duration::from_secs(24 * 3600);

/// The sender's time, which starts early enough for all that the journal tells.
pub(super) struct Clock {
    start: Instant,
    lead: Duration,
    zero: Duration,
}

impl Clock {
    /// From the times at which dispatches of earlier lives were sent. Guards against a machine's clock that went
    /// back since: one that lies ahead was sent at a time unknown, so its key counts as long forgotten.
    pub(super) fn new(sent: impl Iterator<Item = Unix>) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let known = |at: Unix| if at.0 > unix { unix.saturating_sub(LONG_AGO) } else { at.0 };
        let zero = sent.map(known).min().unwrap_or(unix);
        Clock { start: Instant::now(), lead: unix - zero, zero }
    }

    pub(super) fn now(&self) -> Duration {
        self.lead + self.start.elapsed()
    }

    pub(super) fn unix(&self, at: Duration) -> Unix {
        Unix(self.zero.saturating_add(at))
    }

    /// When a dispatch of an earlier life was sent.
    pub(super) fn doubt(&self, unix: Unix) -> Duration {
        let at = self.since(unix);
        if at > self.now() { Duration::ZERO } else { at }
    }

    pub(super) fn since(&self, unix: Unix) -> Duration {
        unix.0.saturating_sub(self.zero)
    }
}
