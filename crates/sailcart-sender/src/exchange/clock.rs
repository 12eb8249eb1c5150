//! The sender's clock: real time on an axis that also covers the times restored from the journal.

use std::time::Duration;

use tokio::time::Instant;

use crate::memory::moment::{BootId, Distance, Moment, Span, Uptime, boot_id};

/// Assumed age of a dispatch whose real age is unknown: longer than any destination remembers an idempotency
/// key.
const UNKNOWN_AGE: Duration = Duration::from_secs(24 * 3600);

/// Gives the time as the span since an origin that lies before the oldest dispatch in the journal.
pub(super) struct Clock {
    started_at: Instant,
    /// Age of the oldest restored dispatch when this process started.
    offset: Duration,
    boot_id: Option<BootId>,
}

impl Clock {
    /// Starts the clock. `dispatched_at` are the times at which previous processes sent their dispatches.
    pub(super) fn new(dispatched_at: impl Iterator<Item = Moment>) -> Self {
        let boot_id = boot_id();
        let now = Moment::now(boot_id);
        match now.uptime {
            Some(Uptime { boot, since_boot }) => {
                log::info!("clock: boot={boot} uptime={since_boot:?} unix={:?}", now.unix)
            }
            None => log::warn!(
                "clock: code=no_boot_id unix={:?}; durations across restarts rely on the wall clock",
                now.unix
            ),
        }
        let offset = dispatched_at.map(|at| dispatch_age(now, at)).max().unwrap_or_default();
        Clock { started_at: Instant::now(), offset, boot_id }
    }

    pub(super) fn now(&self) -> Duration {
        self.offset + self.started_at.elapsed()
    }

    /// Converts a time of this clock to the form that the journal stores.
    pub(super) fn to_moment(&self, at: Duration) -> Moment {
        let (now, moment) = (self.now(), Moment::now(self.boot_id));
        if at >= now { moment.later(at - now) } else { moment.earlier(now - at) }
    }

    /// Converts the time at which a previous process sent a dispatch to this clock.
    pub(super) fn dispatch_time(&self, sent: Moment) -> Duration {
        self.now().saturating_sub(dispatch_age(Moment::now(self.boot_id), sent))
    }

    /// Converts a packet's deadline to this clock. A deadline known only by the wall clock is trusted here;
    /// the code that restores the packet bounds it.
    pub(super) fn deadline(&self, deadline: Moment) -> Duration {
        let (Distance::Monotonic(span) | Distance::WallClock(span)) =
            Moment::now(self.boot_id).distance(deadline);
        match span {
            Span::Ahead(span) => self.now().saturating_add(span),
            Span::Ago(span) => self.now().saturating_sub(span),
        }
    }

    /// Whether a deadline has passed.
    pub(super) fn is_past(&self, deadline: Moment) -> bool {
        self.deadline(deadline) <= self.now()
    }
}

/// Time since a dispatch was sent. If the machine has rebooted or its wall clock was set back, that time is
/// unknown, and [`UNKNOWN_AGE`] is returned, after which the idempotency key is certainly forgotten. Records
/// of earlier formats hold only wall clock time, which is used as it is.
fn dispatch_age(now: Moment, sent: Moment) -> Duration {
    match now.distance(sent) {
        Distance::Monotonic(Span::Ago(span)) => span,
        Distance::WallClock(Span::Ago(span)) if sent.uptime.is_none() => span,
        _ => UNKNOWN_AGE,
    }
}
