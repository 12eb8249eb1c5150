//! The destinations that compete for the free slots of a round, in the order in which they get them.

use std::cmp::{Ordering, Reverse};
use std::collections::BTreeSet;
use std::time::Duration;

use crate::host::DestinationId;

/// A destination that could use a slot.
pub struct SlotCandidate {
    pub destination: DestinationId,
    /// Its max-min fair share, less its calls in flight.
    pub below_share: f64,
    /// The shortest expected time to an answer.
    pub answer_time: Option<Duration>,
}

/// The rank of a candidate; the greatest comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    below_share: TotalOrder,
    answer_time: Reverse<Option<Duration>>,
    /// Index into the candidates, which decides among equals.
    position: usize,
}

/// A float in its total order.
#[derive(Clone, Copy)]
struct TotalOrder(f64);

impl Ord for TotalOrder {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for TotalOrder {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for TotalOrder {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for TotalOrder {}

/// The candidates of one round. Each change costs the logarithm of their number.
pub struct SlotCandidates {
    candidates: Vec<SlotCandidate>,
    ranks: BTreeSet<Rank>,
}

impl SlotCandidates {
    pub fn new(candidates: impl Iterator<Item = SlotCandidate>) -> Self {
        let mut new = SlotCandidates { candidates: candidates.collect(), ranks: BTreeSet::new() };
        new.ranks = (0..new.candidates.len()).map(|position| new.rank(position)).collect();
        new
    }

    /// The candidate that is furthest below its share and, among equals, has the shortest answer time.
    pub fn first(&self) -> Option<DestinationId> {
        self.ranks.last().map(|rank| self.candidates[rank.position].destination)
    }

    /// Ranks the first candidate anew, after it got a slot.
    pub fn update_first(&mut self, below_share: f64) {
        if let Some(rank) = self.ranks.pop_last() {
            self.candidates[rank.position].below_share = below_share;
            self.ranks.insert(self.rank(rank.position));
        }
    }

    /// Removes the first candidate; the last one takes its position.
    pub fn remove_first(&mut self) {
        let Some(Rank { position, .. }) = self.ranks.pop_last() else { return };
        let last = self.candidates.len() - 1;
        if position != last {
            self.ranks.remove(&self.rank(last));
        }
        self.candidates.swap_remove(position);
        if position != last {
            self.ranks.insert(self.rank(position));
        }
    }

    fn rank(&self, position: usize) -> Rank {
        let SlotCandidate { below_share, answer_time, .. } = self.candidates[position];
        Rank { below_share: TotalOrder(below_share), answer_time: Reverse(answer_time), position }
    }
}
