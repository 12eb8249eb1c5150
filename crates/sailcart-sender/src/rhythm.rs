//! When discovery is asked, and how long it is waited for. Pure: it neither sleeps nor reads a clock.
//!
//! Whatever discovery has to tell counts as told [`TOLD`] after it had it and could be reached, also after calls that failed,
//! were refused or were given up. So the longest way from there to a list in hand has to be shorter. `docs/notes/told.md` has
//! the sums, and what they cost discovery.

use std::time::Duration;

use crate::pauses::Pauses;

/// The protocol's own term.
pub const TOLD: Duration = Duration::from_secs(6);
/// The least pause before a call is made again.
pub const LEAST: Duration = Duration::from_millis(50);
/// A notice that is owed at the end of a packet's time is late 300 ms after it: its call is made again before that.
const NOTICE: Duration = Duration::from_millis(250);
/// The least pause before a list that was too large is asked for again; the row begins with a span of twice as much.
const LEAST_REFUSED: Duration = Duration::from_secs(1);
/// The longest pause before a list that was too large is asked for again.
const MOST_REFUSED: Duration = Duration::from_secs(60);
/// How long the answer to a wait that is over may take.
const OVERDUE: Duration = Duration::from_secs(1);

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Refused, cut, spoilt, or given up.
    Lost,
    /// Answered, but without a list: discovery has too much to do.
    TurnedAway,
}

/// Of calls for the list, in one sender.
pub struct Rhythm {
    /// How long a watch waits at discovery.
    hold: Duration,
    /// How long a call that need not wait may take, its connection included.
    call: Duration,
    /// How long the answer to a watch whose wait is over may take.
    overdue: Duration,
    /// The longest pause after a call that was lost, and after one that was turned away.
    most: (Duration, Duration),
    pauses: Pauses,
    /// Of lists that were too large: a row of its own, as it goes on beside calls that bring changes.
    refusals: Pauses,
    /// The next call is to be answered at once.
    at_once: bool,
}

impl Rhythm {
    /// `asked`: where lists come only when asked for, a sender is held to know what was listed so long ago, and all senders
    /// share one discovery, which may need two seconds for an answer. Elsewhere each has an agent beside it that answers at
    /// once and at no cost, and a silent watch is given up as soon as its short wait is over.
    pub fn new(asked: Option<Duration>, seed: u64) -> Self {
        let (hold, call, overdue, most) = match asked {
            Some(within) => (within * 2, TOLD * 3 / 8, OVERDUE, (TOLD / 6, TOLD * 7 / 8)),
            None => (TOLD * 5 / 12, TOLD / 8, TOLD / 8, (TOLD / 16, TOLD / 2)),
        };
        let pauses = Pauses::new(seed, LEAST);
        // Other draws than those of the pauses.
        let refusals = Pauses::new(!seed, LEAST_REFUSED);
        Rhythm { hold, call, overdue, most, pauses, refusals, at_once: asked.is_none() }
    }

    /// How long the next call for the list is to wait at discovery, and how long it is waited for: one after a failure, and the
    /// first where an agent answers, asks for what there is.
    pub fn watch(&self) -> (Duration, Duration) {
        if self.at_once { (LEAST, LEAST + self.call) } else { (self.hold, self.hold + self.overdue) }
    }

    pub fn call(&self) -> Duration {
        self.call
    }

    /// The pause after a failure.
    pub fn pause(&mut self, failure: Failure) -> Duration {
        self.at_once = true;
        match failure {
            Failure::Lost => self.pauses.next(LEAST, self.most.0),
            // Whoever comes sooner keeps the queue of such a discovery full: from the first on, a pause of its whole span.
            Failure::TurnedAway => self.pauses.next(self.most.1, self.most.1),
        }
    }

    /// The pause before a list that was too large is asked for again. Nothing is promised of such a list, and to read it costs
    /// time: so this is the one pause that may outlast [`TOLD`].
    pub fn refused(&mut self) -> Duration {
        self.refusals.next(LEAST_REFUSED * 2, MOST_REFUSED)
    }

    /// What was too large is no longer: the next such list is the first of its row.
    pub fn fits(&mut self) {
        self.refusals.over();
    }

    /// A list is in force.
    pub fn over(&mut self) {
        self.at_once = false;
        self.pauses.over();
    }
}

/// How long the answer to a notice may take, after so many calls in a row that had none.
pub fn notice(lost: u32) -> Duration {
    NOTICE.saturating_mul(1 << lost.min(2))
}
