//! Checks the two safety-critical steps: sending the first byte of a call and completing a packet.
//! Every code path that takes such a step passes through here. A step that breaks an invariant is refused,
//! counted and logged (`invariant=... count=...`).

use std::fmt::{self, Display};

use crate::memory::ledger::RecordedDispatch;

/// A condition that always holds within a sender. A violation is a bug in this program even if it had no
/// visible effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// No call is sent for a completed packet.
    CallAfterCompletion,
    /// No packet completes twice.
    SecondCompletion,
    /// No packet has two calls in flight.
    SecondCallInFlight,
    /// No outcome arrives for a packet that has no call in flight.
    OutcomeWithoutCall,
}

const ALL_INVARIANTS: [Invariant; 4] = [
    Invariant::CallAfterCompletion,
    Invariant::SecondCompletion,
    Invariant::SecondCallInFlight,
    Invariant::OutcomeWithoutCall,
];

impl Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Invariant::CallAfterCompletion => "call_after_end",
            Invariant::SecondCompletion => "second_end",
            Invariant::SecondCallInFlight => "second_call_out",
            Invariant::OutcomeWithoutCall => "outcome_of_nothing",
        })
    }
}

/// Number of violations of each invariant in this process.
#[derive(Debug, Default)]
pub struct Violations([u64; ALL_INVARIANTS.len()]);

impl Violations {
    /// Counts a violation. Logs the first of each invariant and every one that doubles its count.
    pub fn count(&mut self, invariant: Invariant, packet: &dyn Display) {
        let count = &mut self.0[invariant as usize];
        *count += 1;
        if count.is_power_of_two() {
            log::error!("invariant={invariant} count={count} packet {packet}");
        }
    }

    /// Number of violations of all invariants together.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

/// Permission to send the first byte of a call. Issued only by `SendPreconditions::permit`, once the call is
/// in the journal.
#[derive(Debug)]
pub struct Permit(RecordedDispatch);

impl Permit {
    /// The journal's record of the call.
    pub fn dispatch(&self) -> RecordedDispatch {
        self.0
    }
}

/// Why a call must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its endpoint has left the list, its destination requested a wait, its deadline has passed, the
    /// destination may have forgotten its idempotency key, or another packet comes first in the order of its
    /// key.
    NotNow,
    /// The journal cannot record it: a local error.
    Unrecorded,
}

/// What must hold before the first byte of a call is sent.
pub(super) struct SendPreconditions {
    /// All its packets are tracked and not completed.
    pub all_tracked: bool,
    /// The decision module allows all of them, and no notice is pending for a packet before them in the order
    /// of their keys.
    pub allowed: bool,
}

impl SendPreconditions {
    /// Records the call with `record` if the preconditions hold, and permits it if that succeeds.
    pub(super) fn permit<Error>(
        self,
        record: impl FnOnce() -> Result<RecordedDispatch, Error>,
    ) -> Result<Permit, Refusal> {
        if !self.all_tracked || !self.allowed {
            return Err(Refusal::NotNow);
        }
        record().map(Permit).map_err(|_| Refusal::Unrecorded)
    }
}
