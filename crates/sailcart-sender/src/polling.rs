//! The polling schedule of discovery: when the sender calls it, and how long it waits for the response.
//! Pure: this module neither sleeps nor reads a clock.
//!
//! The protocol expects a sender to know of an update [`MAX_UPDATE_DELAY`] after discovery had it and could
//! be reached, even if calls in between failed, were refused or were abandoned. So the longest sequence of
//! delays and timeouts until the sender has the update must be shorter than that. `docs/notes/told.md` has
//! the calculation, and what it costs discovery.

use std::time::Duration;

use crate::backoff::Backoff;

/// The time, set by the protocol, within which a sender must know of an update.
pub const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// The shortest delay before a call is repeated.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long the first call with a notice waits for its response. A notice that becomes pending at its
/// packet's deadline counts as late 300 ms after the deadline, so its call is repeated before that.
const FIRST_NOTICE_TIMEOUT: Duration = Duration::from_millis(250);
/// The shortest delay before a list that was too large is requested again. The first delay is drawn from up
/// to twice as much.
const MIN_TOO_LARGE_DELAY: Duration = Duration::from_secs(1);
/// The longest delay before a list that was too large is requested again.
const MAX_TOO_LARGE_DELAY: Duration = Duration::from_secs(60);
/// How late the response to a watch may be, counted from the end of its hold, where all senders share one
/// discovery.
const MAX_WATCH_OVERDUE: Duration = Duration::from_secs(1);

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call was refused, broke off, was abandoned, or brought a malformed response.
    CallFailed,
    /// A response without a list: discovery is overloaded.
    Overloaded,
}

/// The schedule of one sender's calls to discovery.
pub struct PollingSchedule {
    /// How long discovery may hold a watch while there is no update.
    hold: Duration,
    /// How long a call with an immediate response may take, connecting included.
    call_timeout: Duration,
    /// How late the response to a watch may be, counted from the end of its hold.
    max_watch_overdue: Duration,
    /// The longest delays after [`Failure::CallFailed`] and after [`Failure::Overloaded`], in this order.
    max_delays: (Duration, Duration),
    failure_delays: Backoff,
    /// For lists that are too large. Separate from `failure_delays`, since calls that bring updates succeed
    /// meanwhile.
    too_large_delays: Backoff,
    /// Whether the next watch has only the shortest hold, so that the response is immediate.
    skip_hold: bool,
}

impl PollingSchedule {
    /// `max_list_staleness` is set where discovery sends lists only on request: the sender must know what was
    /// listed that long ago. There all senders share one discovery, which may need two seconds to respond.
    ///
    /// Without it, each sender has a local agent that responds at once and at no cost, and a watch without a
    /// response is abandoned soon after its short hold.
    pub fn new(max_list_staleness: Option<Duration>, seed: u64) -> Self {
        let (hold, call_timeout, max_watch_overdue, max_delays) = match max_list_staleness {
            Some(staleness) => (
                staleness * 2,
                MAX_UPDATE_DELAY * 3 / 8,
                MAX_WATCH_OVERDUE,
                (MAX_UPDATE_DELAY / 6, MAX_UPDATE_DELAY * 7 / 8),
            ),
            None => (
                MAX_UPDATE_DELAY * 5 / 12,
                MAX_UPDATE_DELAY / 8,
                MAX_UPDATE_DELAY / 8,
                (MAX_UPDATE_DELAY / 16, MAX_UPDATE_DELAY / 2),
            ),
        };
        let failure_delays = Backoff::new(seed, MIN_RETRY_DELAY);
        // Another seed, so that the two sequences are independent.
        let too_large_delays = Backoff::new(!seed, MIN_TOO_LARGE_DELAY);
        PollingSchedule {
            hold,
            call_timeout,
            max_watch_overdue,
            max_delays,
            failure_delays,
            too_large_delays,
            skip_hold: max_list_staleness.is_none(),
        }
    }

    /// How long discovery may hold the next watch, and the time within which its response must arrive. The
    /// first watch of a local agent, and each one after a failure, has only the shortest hold, so that it
    /// returns what discovery has now.
    pub fn watch_timing(&self) -> (Duration, Duration) {
        if self.skip_hold {
            (MIN_RETRY_DELAY, MIN_RETRY_DELAY + self.call_timeout)
        } else {
            (self.hold, self.hold + self.max_watch_overdue)
        }
    }

    /// The time within which the response to a call for the full list must arrive, connecting included.
    pub fn call_timeout(&self) -> Duration {
        self.call_timeout
    }

    /// The delay after a failure.
    pub fn delay_after(&mut self, failure: Failure) -> Duration {
        self.skip_hold = true;
        match failure {
            Failure::CallFailed => self.failure_delays.next_delay(MIN_RETRY_DELAY, self.max_delays.0),
            // Senders that retry sooner keep the queue of an overloaded discovery full, so even the first
            // delay is drawn from the full range.
            Failure::Overloaded => self.failure_delays.next_delay(self.max_delays.1, self.max_delays.1),
        }
    }

    /// The delay before a list that was too large is requested again. This delay alone may exceed
    /// [`MAX_UPDATE_DELAY`]: nothing is promised about such a list, and reading it takes time.
    pub fn too_large_delay(&mut self) -> Duration {
        self.too_large_delays.next_delay(MIN_TOO_LARGE_DELAY * 2, MAX_TOO_LARGE_DELAY)
    }

    /// Records that the list fits again: the delays of [`too_large_delay`](Self::too_large_delay) start again
    /// at the shortest.
    pub fn list_fits(&mut self) {
        self.too_large_delays.reset();
    }

    /// Records that a list or update was put in force.
    pub fn list_in_force(&mut self) {
        self.skip_hold = false;
        self.failure_delays.reset();
    }
}

/// How long a call with notices waits for its response, after `consecutive_losses` calls without one.
/// Doubles with the first two losses.
pub fn notice_timeout(consecutive_losses: u32) -> Duration {
    FIRST_NOTICE_TIMEOUT.saturating_mul(1 << consecutive_losses.min(2))
}
