//! The polling schedule of discovery: when the sender calls it, and how long it waits for the answer. Pure:
//! this module neither sleeps nor reads a clock.
//!
//! The protocol expects a sender to know of an update [`TOLD`] after discovery had it and could be reached,
//! even if calls in between failed, were refused or were abandoned. So the longest sequence of delays and
//! timeouts from there to the list in hand has to be shorter than that. `docs/notes/told.md` has the
//! calculation, and what it costs discovery.

use std::time::Duration;

use crate::pauses::Pauses;

/// The time, set by the protocol, within which a sender must know of an update.
pub const TOLD: Duration = Duration::from_secs(6);
/// The shortest delay before a call is repeated.
pub const MIN_DELAY: Duration = Duration::from_millis(50);
/// How long the first call with a notice waits for its answer. A notice that becomes pending at its
/// packet's deadline is late 300 ms after it, so its call is repeated before that.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(250);
/// The shortest delay before a list that was too large is requested again. The first delay is drawn from up
/// to twice as much.
const MIN_TOO_LARGE_DELAY: Duration = Duration::from_secs(1);
/// The longest delay before a list that was too large is requested again.
const MAX_TOO_LARGE_DELAY: Duration = Duration::from_secs(60);
/// How late the answer to a watch may be, counted from the end of its wait, where all senders share one
/// discovery.
const MAX_OVERDUE: Duration = Duration::from_secs(1);

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call was refused, broke off, was abandoned, or brought a malformed answer.
    Lost,
    /// An answer without a list: discovery is overloaded.
    TurnedAway,
}

/// The schedule of one sender's calls to discovery.
pub struct Rhythm {
    /// How long discovery may hold a watch while there is no update.
    hold: Duration,
    /// How long a call that is answered at once may take, connecting included.
    call_timeout: Duration,
    /// How late the answer to a watch may be, counted from the end of its hold.
    max_overdue: Duration,
    /// The longest delay after [`Failure::Lost`], and after [`Failure::TurnedAway`].
    max_delays: (Duration, Duration),
    failure_delays: Pauses,
    /// For lists that are too large. Separate from `failure_delays`, since calls that bring updates succeed
    /// meanwhile.
    too_large_delays: Pauses,
    /// Whether the next watch asks for an answer at once.
    skip_hold: bool,
}

impl Rhythm {
    /// `asked` is set where lists come only when requested: the sender must know what was listed that long
    /// ago. There all senders share one discovery, which may need two seconds for an answer.
    ///
    /// Without it each sender has an agent beside it that answers at once and at no cost, and a watch
    /// without an answer is abandoned soon after its short hold.
    pub fn new(asked: Option<Duration>, seed: u64) -> Self {
        let (hold, call_timeout, max_overdue, max_delays) = match asked {
            Some(within) => (within * 2, TOLD * 3 / 8, MAX_OVERDUE, (TOLD / 6, TOLD * 7 / 8)),
            None => (TOLD * 5 / 12, TOLD / 8, TOLD / 8, (TOLD / 16, TOLD / 2)),
        };
        let failure_delays = Pauses::new(seed, MIN_DELAY);
        // Another seed, so that the two sequences are independent.
        let too_large_delays = Pauses::new(!seed, MIN_TOO_LARGE_DELAY);
        Rhythm {
            hold,
            call_timeout,
            max_overdue,
            max_delays,
            failure_delays,
            too_large_delays,
            skip_hold: asked.is_none(),
        }
    }

    /// How long discovery may hold the next watch, and the time within which its answer must arrive. The
    /// first watch where an agent answers, and each one after a failure, asks for what there is now.
    pub fn watch(&self) -> (Duration, Duration) {
        if self.skip_hold {
            (MIN_DELAY, MIN_DELAY + self.call_timeout)
        } else {
            (self.hold, self.hold + self.max_overdue)
        }
    }

    /// The time within which the answer to a call for the full list must arrive, connecting included.
    pub fn call(&self) -> Duration {
        self.call_timeout
    }

    /// The delay after a failure.
    pub fn pause(&mut self, failure: Failure) -> Duration {
        self.skip_hold = true;
        match failure {
            Failure::Lost => self.failure_delays.next(MIN_DELAY, self.max_delays.0),
            // Senders that return sooner keep the queue of an overloaded discovery full, so even the first
            // delay is drawn from the full range.
            Failure::TurnedAway => self.failure_delays.next(self.max_delays.1, self.max_delays.1),
        }
    }

    /// The delay before a list that was too large is requested again. This delay alone may exceed [`TOLD`]:
    /// nothing is promised about such a list, and reading it takes time.
    pub fn refused(&mut self) -> Duration {
        self.too_large_delays.next(MIN_TOO_LARGE_DELAY * 2, MAX_TOO_LARGE_DELAY)
    }

    /// Records that the list fits again: the next delay of [`refused`](Self::refused) starts anew.
    pub fn fits(&mut self) {
        self.too_large_delays.over();
    }

    /// Records that a list or update was put in force.
    pub fn over(&mut self) {
        self.skip_hold = false;
        self.failure_delays.over();
    }
}

/// How long a call with notices waits for its answer, after `consecutive_losses` calls without an answer.
pub fn notice(consecutive_losses: u32) -> Duration {
    NOTICE_TIMEOUT.saturating_mul(1 << consecutive_losses.min(2))
}
