//! The sender's clock: real time since this process began, and where the moments that its journal tells lie on it.

use std::time::{Duration, Instant};

use crate::memory::moment::{BootId, Distance, Moment, Span, Uptime, boot_id};

/// Longer than any destination remembers a key.
const LONG_AGO: Duration = Duration::from_secs(24 * 3600);

/// The sender's time, which starts early enough for all that the journal tells.
pub(super) struct Clock {
    start: Instant,
    lead: Duration,
    boot: Option<BootId>,
}

impl Clock {
    /// From the moments at which dispatches of earlier lives were sent.
    pub(super) fn new(sent: impl Iterator<Item = Moment>) -> Self {
        let boot = boot_id();
        let now = Moment::now(boot);
        match now.uptime {
            Some(Uptime { boot, since }) => {
                log::info!("clock: boot={boot} uptime={since:?} unix={:?}", now.unix)
            }
            None => log::warn!("clock: code=no_boot_id unix={:?}; spans over processes are unsure", now.unix),
        }
        let lead = sent.map(|at| age(now, at)).max().unwrap_or_default();
        Clock { start: Instant::now(), lead, boot }
    }

    pub(super) fn now(&self) -> Duration {
        self.lead + self.start.elapsed()
    }

    /// A time of this clock as the journal keeps it.
    pub(super) fn moment(&self, at: Duration) -> Moment {
        let (now, moment) = (self.now(), Moment::now(self.boot));
        if at >= now { moment.later(at - now) } else { moment.earlier(now - at) }
    }

    /// When a dispatch of an earlier life was sent.
    pub(super) fn doubt(&self, sent: Moment) -> Duration {
        self.now().saturating_sub(age(Moment::now(self.boot), sent))
    }

    /// When a packet's time is over. Where only the wall clock tells, it is believed: whoever takes the packet back bounds it.
    pub(super) fn end(&self, ends: Moment) -> Duration {
        let (Distance::Sure(span) | Distance::Unsure(span)) = Moment::now(self.boot).distance(ends);
        match span {
            Span::Ahead(span) => self.now().saturating_add(span),
            Span::Ago(span) => self.now().saturating_sub(span),
        }
    }

    /// Whether a packet's time is over.
    pub(super) fn is_over(&self, ends: Moment) -> bool {
        self.end(ends) <= self.now()
    }
}

/// How long ago a dispatch was sent, or so long that its key is surely forgotten, where that cannot be told: the machine has been
/// started anew since, or its clock went back. A record of an earlier format has the wall clock alone.
fn age(now: Moment, sent: Moment) -> Duration {
    match now.distance(sent) {
        Distance::Sure(Span::Ago(span)) => span,
        Distance::Unsure(Span::Ago(span)) if sent.uptime.is_none() => span,
        _ => LONG_AGO,
    }
}
