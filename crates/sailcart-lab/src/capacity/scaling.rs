//! Checks how a sender's work grows with its list, in table entries visited and bytes, never in seconds.
//!
//! A change and a round must cost the same however many destinations are listed, and a listed destination
//! must stay within a fixed number of bytes. The check is generic over [`CountsVisits`], so that tests can
//! show that it detects deliberately faulty subjects.

use std::fmt;

/// Index of a destination in the list, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DestinationIndex(pub u64);

/// The subject of a check: a sender's decisions with a list, changes of the list, and rounds.
pub trait ScalingSubject {
    /// Applies a full list of this many destinations, with one endpoint each.
    fn apply_full_list(&mut self, destinations: u64);
    /// Applies an incremental update of one listed destination.
    fn apply_change(&mut self, destination: DestinationIndex, live: bool);
    /// Accepts one packet for each of these destinations and runs the next round. All packets are completed
    /// when this returns.
    fn run_round(&mut self, busy: &[DestinationIndex]);
}

/// A subject that counts the entries of its tables that it has visited since it was created.
pub trait CountsVisits: ScalingSubject {
    /// Table entries visited so far.
    fn entries_visited(&self) -> u64;
}

/// Mean number of table entries visited, by operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Destinations in the list at which the work was measured.
    pub destinations: u64,
    /// Entries visited for a change of one destination.
    pub change: u64,
    /// Entries visited in a round without packets.
    pub empty_round: u64,
    /// Entries visited in a round with packets for ten destinations.
    pub busy_round: u64,
}

/// Destinations with a packet in a busy round.
const BUSY_DESTINATIONS: u64 = 10;
/// Number of changes and of rounds over which work is averaged.
const REPETITIONS: u64 = 16;
/// Maximum ratio of the work at the larger size to that at the smaller one.
const MAX_GROWTH_FACTOR: u64 = 2;
/// Work below this many entries counts as this many, because growth of so little work is random.
const MIN_COMPARED_ENTRIES: u64 = 8;

/// A cost that grows with the list more than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScalingViolation {
    /// The work of a change.
    Change,
    /// The work of a round without packets.
    EmptyRound,
    /// The work of a round with packets.
    BusyRound,
    /// The bytes of a listed destination exceed their bound.
    Bytes,
}

impl fmt::Display for ScalingViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            ScalingViolation::Change => "the work of a change grows with the list",
            ScalingViolation::EmptyRound => "the work of a round without packets grows with the list",
            ScalingViolation::BusyRound => "the work of a round with ten packets grows with the list",
            ScalingViolation::Bytes => "a listed destination uses more bytes than its bound",
        })
    }
}

/// Applies a list of this many destinations to the subject and measures the work of each operation.
pub fn measure_work(subject: &mut impl CountsVisits, destinations: u64) -> Work {
    subject.apply_full_list(destinations);
    let step = (destinations / BUSY_DESTINATIONS).max(1);
    let busy: Vec<DestinationIndex> =
        (0..BUSY_DESTINATIONS).map(|index| DestinationIndex(index * step % destinations)).collect();
    subject.run_round(&busy); // not measured: in the first round the tables are still empty
    let change = mean_visits(subject, |subject, index| {
        subject.apply_change(DestinationIndex(index / 2 * step % destinations), index % 2 == 1);
    });
    subject.run_round(&[]);
    let empty_round = mean_visits(subject, |subject, _| subject.run_round(&[]));
    let busy_round = mean_visits(subject, |subject, _| subject.run_round(&busy));
    Work { destinations, change, empty_round, busy_round }
}

fn mean_visits<Subject: CountsVisits>(
    subject: &mut Subject,
    mut operation: impl FnMut(&mut Subject, u64),
) -> u64 {
    let before = subject.entries_visited();
    (0..REPETITIONS).for_each(|index| operation(subject, index));
    (subject.entries_visited() - before).div_ceil(REPETITIONS)
}

/// The operations whose work at the larger list exceeds the allowed growth.
pub fn work_violations(small: &Work, large: &Work) -> Vec<ScalingViolation> {
    let exceeds = |small: u64, large: u64| large > small.max(MIN_COMPARED_ENTRIES) * MAX_GROWTH_FACTOR;
    let checks = [
        (ScalingViolation::Change, exceeds(small.change, large.change)),
        (ScalingViolation::EmptyRound, exceeds(small.empty_round, large.empty_round)),
        (ScalingViolation::BusyRound, exceeds(small.busy_round, large.busy_round)),
    ];
    checks.into_iter().filter(|(_, exceeded)| *exceeded).map(|(violation, _)| violation).collect()
}

/// Maximum bytes of a listed destination in the module's tables.
#[derive(Clone, Copy, Debug)]
pub struct MaxBytesPerDestination(pub u64);

/// Checks the bytes of a list of this many destinations, as counted by the allocator, against the bound.
pub fn byte_violation(
    allocated_bytes: u64,
    destinations: u64,
    bound: MaxBytesPerDestination,
) -> Option<ScalingViolation> {
    (allocated_bytes / destinations.max(1) > bound.0).then_some(ScalingViolation::Bytes)
}
