//! The one guard of each step that must not happen wrongly: a call's first byte, a packet's end. Every path passes here, and what should
//! never have come this far is refused, counted and told (`invariant=... count=...`).

use std::fmt::{self, Display};

/// What must always hold within a sender. A count other than zero is a fault of the program, also where no rule was broken by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// No call goes out for a packet that is over.
    CallAfterEnd,
    /// No packet ends twice.
    SecondEnd,
    /// No packet has two calls out at once.
    SecondCallOut,
    /// No outcome comes for a call that is not out.
    OutcomeOfNothing,
}

const ALL: [Invariant; 4] =
    [Invariant::CallAfterEnd, Invariant::SecondEnd, Invariant::SecondCallOut, Invariant::OutcomeOfNothing];

impl Display for Invariant {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Invariant::CallAfterEnd => "call_after_end",
            Invariant::SecondEnd => "second_end",
            Invariant::SecondCallOut => "second_call_out",
            Invariant::OutcomeOfNothing => "outcome_of_nothing",
        })
    }
}

/// How often each invariant did not hold, in this process.
#[derive(Debug, Default)]
pub struct Violations([u64; ALL.len()]);

impl Violations {
    /// Counts one. The log has a line for the first of a kind, and for each that doubles their number.
    pub fn count(&mut self, invariant: Invariant, about: &dyn Display) {
        let count = &mut self.0[invariant as usize];
        *count += 1;
        if count.is_power_of_two() {
            log::error!("invariant={invariant} count={count} packet {about}");
        }
    }

    /// All kinds together.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

/// That a call may send its first byte: given by the guard alone, once the call is in the journal.
#[derive(Debug)]
pub struct Permit(());

/// Why a call may not go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its endpoint left, a wait was told, its time or the memory of its key is over, its key's turn has not come.
    NotNow,
    /// The journal cannot have it: this machine's fault.
    Unrecorded,
}

/// What the guard asks before a call's first byte.
pub(super) struct Questions {
    /// All its packets are kept, and not over.
    pub kept: bool,
    /// The module lets all of them go, and nothing before them in the order of their keys is untold.
    pub may_go: bool,
}

impl Questions {
    /// Records the call by `record` if all is well, and permits it then.
    pub(super) fn permit<Fault>(self, record: impl FnOnce() -> Result<(), Fault>) -> Result<Permit, Refusal> {
        if !self.kept || !self.may_go {
            return Err(Refusal::NotNow);
        }
        record().map(|()| Permit(())).map_err(|_| Refusal::Unrecorded)
    }
}
