//! The phases of a round, and the table entries that each of them accesses. This module decides nothing.

use std::fmt::{self, Display};

/// A phase of a round, in the order in which they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundPhase {
    /// Packets fail whose deadline has passed or that cannot be delivered in time.
    FailDuePackets,
    /// Idle connections are closed.
    CloseIdle,
    /// Upstreams are found whose calls are stalled.
    DetectStalls,
    /// Packets fail that the hold has no room for.
    ShedLoad,
    /// Stalled calls are cancelled.
    CancelStalledCalls,
    /// Packets are dispatched.
    AssignSlots,
    /// The next round is requested.
    ScheduleWake,
}

impl RoundPhase {
    /// All phases, in the order in which they run.
    pub const ALL: [RoundPhase; 7] = [
        RoundPhase::FailDuePackets,
        RoundPhase::CloseIdle,
        RoundPhase::DetectStalls,
        RoundPhase::ShedLoad,
        RoundPhase::CancelStalledCalls,
        RoundPhase::AssignSlots,
        RoundPhase::ScheduleWake,
    ];
}

/// Number of table entries accessed in each phase. It shows on any machine, without a clock, how the work of a
/// phase grows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PhaseVisits([u64; RoundPhase::ALL.len()]);

impl PhaseVisits {
    /// Number of table entries accessed in a phase.
    pub fn get(&self, phase: RoundPhase) -> u64 {
        self.0[phase as usize]
    }

    pub(crate) fn add(&mut self, phase: RoundPhase, visits: u64) {
        self.0[phase as usize] += visits;
    }
}

impl Display for PhaseVisits {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("visits:")?;
        RoundPhase::ALL.iter().try_for_each(|phase| write!(formatter, " {phase:?}={}", self.get(*phase)))
    }
}
