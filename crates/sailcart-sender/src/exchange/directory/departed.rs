//! Destinations that left the list, with the time at which each was last listed.

use std::cell::Cell;
use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::mem::size_of;
use std::time::Duration;

use sailcart::DestinationId;

use super::index::Index;

/// So many entries that no longer count stay in the queue, beside as many as count.
const SLACK: usize = 64;

struct Departure {
    destination: DestinationId,
    last_listed: Duration,
}

/// In order of time. An entry whose destination is listed again stays in the queue, and counts no longer: the index does not
/// name it.
#[derive(Default)]
pub(super) struct Departed {
    queue: VecDeque<Departure>,
    /// Sequence number of the queue's front; they go round.
    front: u32,
    /// Sequence numbers of the entries that count, by destination.
    index: Index<u32>,
    hasher: RandomState,
    visited: Cell<u64>,
}

impl Departed {
    pub(super) fn contains(&self, destination: DestinationId) -> bool {
        self.index.find(self.hasher.hash_one(destination), |at| self.is(*at, destination)).is_some()
    }

    /// A destination left; no earlier than those that are held.
    pub(super) fn push(&mut self, destination: DestinationId, last_listed: Duration) {
        self.remove(destination);
        if self.queue.len() > 2 * self.index.len() + SLACK {
            self.compact();
        }
        let sequence = self.front.wrapping_add(self.queue.len() as u32);
        self.queue.push_back(Departure { destination, last_listed });
        self.insert(sequence, destination);
    }

    /// A destination is listed again.
    pub(super) fn remove(&mut self, destination: DestinationId) {
        let hash = self.hasher.hash_one(destination);
        let Departed { queue, front, index, visited, .. } = self;
        let is = |at: &u32| entry(queue, *front, *at, visited).is_some_and(|e| e.destination == destination);
        index.remove(hash, is);
    }

    /// Forgets those last listed `span` or longer ago, and the oldest beyond so many.
    pub(super) fn expire(&mut self, now: Duration, span: Duration, most: usize) {
        while let Some(first) = self.queue.front() {
            self.visited.set(self.visited.get() + 1);
            let over = now.saturating_sub(first.last_listed) >= span;
            if !over && self.index.len() <= most && self.counts(self.front, first.destination) {
                break;
            }
            self.pop();
        }
        if self.queue.capacity() > 4 * self.queue.len() + 4 * SLACK {
            self.compact();
        }
    }

    /// Entries looked at so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Bytes allocated.
    pub(super) fn bytes(&self) -> usize {
        self.queue.capacity() * size_of::<Departure>() + self.index.bytes()
    }

    fn is(&self, at: u32, destination: DestinationId) -> bool {
        entry(&self.queue, self.front, at, &self.visited).is_some_and(|e| e.destination == destination)
    }

    /// Whether the entry of this number is the one that counts for its destination.
    fn counts(&self, sequence: u32, destination: DestinationId) -> bool {
        self.index.find(self.hasher.hash_one(destination), |at| *at == sequence).is_some()
    }

    fn insert(&mut self, sequence: u32, destination: DestinationId) {
        let Departed { queue, front, index, hasher, visited } = self;
        let rehash = |at: &u32| {
            entry(queue, *front, *at, visited).map_or(0, |departure| hasher.hash_one(departure.destination))
        };
        index.insert(hasher.hash_one(destination), sequence, rehash);
    }

    fn pop(&mut self) {
        let Some(first) = self.queue.front() else { return };
        let (hash, sequence) = (self.hasher.hash_one(first.destination), self.front);
        self.index.remove(hash, |at| *at == sequence);
        self.queue.pop_front();
        self.front = self.front.wrapping_add(1);
    }

    /// Gives back what entries that no longer count take.
    fn compact(&mut self) {
        let old = std::mem::take(&mut self.queue);
        let index = std::mem::take(&mut self.index);
        let counting: Vec<u32> = index.into_entries().map(|at| at.wrapping_sub(self.front)).collect();
        self.visited.set(self.visited.get() + old.len() as u64);
        let mut counts = vec![false; old.len()];
        for position in counting {
            if let Some(count) = counts.get_mut(position as usize) {
                *count = true;
            }
        }
        self.front = 0;
        for (departure, counts) in old.into_iter().zip(counts) {
            if counts {
                let sequence = self.queue.len() as u32;
                let destination = departure.destination;
                self.queue.push_back(departure);
                self.insert(sequence, destination);
            }
        }
    }
}

fn entry<'a>(
    queue: &'a VecDeque<Departure>,
    front: u32,
    sequence: u32,
    visited: &Cell<u64>,
) -> Option<&'a Departure> {
    visited.set(visited.get() + 1);
    queue.get(sequence.wrapping_sub(front) as usize)
}
