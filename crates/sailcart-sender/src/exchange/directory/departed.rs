//! Destinations that have left the list, with the time at which each was last listed.

use std::cell::Cell;
use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::mem::size_of;
use std::time::Duration;

use sailcart::DestinationId;

use super::index::Index;

/// Number of stale entries that the queue may hold beyond as many as it has current ones.
const STALE_SLACK: usize = 64;

struct Departure {
    destination: DestinationId,
    last_listed: Duration,
}

/// Departed destinations, the earliest first. The entry of a destination that is listed again stays in the
/// queue as a stale one: the index no longer refers to it.
#[derive(Default)]
pub(super) struct Departed {
    queue: VecDeque<Departure>,
    /// Sequence number of the first entry in the queue. Sequence numbers wrap around.
    front: u32,
    /// Sequence numbers of the current entries, by destination.
    index: Index<u32>,
    hasher: RandomState,
    /// Number of entries examined so far.
    visited: Cell<u64>,
}

impl Departed {
    pub(super) fn contains(&self, destination: DestinationId) -> bool {
        self.index.find(self.hasher.hash_one(destination), |at| self.is_for(*at, destination)).is_some()
    }

    /// Adds a destination that has left. `last_listed` must not be earlier than that of the entries before
    /// it.
    pub(super) fn push(&mut self, destination: DestinationId, last_listed: Duration) {
        self.remove(destination);
        if self.queue.len() > 2 * self.index.len() + STALE_SLACK {
            self.compact();
        }
        let sequence = self.front.wrapping_add(self.queue.len() as u32);
        self.queue.push_back(Departure { destination, last_listed });
        self.insert(sequence, destination);
    }

    /// Removes a destination that is listed again.
    pub(super) fn remove(&mut self, destination: DestinationId) {
        let hash = self.hasher.hash_one(destination);
        let Departed { queue, front, index, visited, .. } = self;
        let is = |at: &u32| entry(queue, *front, *at, visited).is_some_and(|e| e.destination == destination);
        index.remove(hash, is);
    }

    /// Removes the destinations that were last listed `retention` or longer ago, and the oldest ones beyond
    /// `max`.
    pub(super) fn expire(&mut self, now: Duration, retention: Duration, max: usize) {
        while let Some(first) = self.queue.front() {
            self.visited.set(self.visited.get() + 1);
            let expired = now.saturating_sub(first.last_listed) >= retention;
            if !expired && self.index.len() <= max && self.is_current(self.front, first.destination) {
                break;
            }
            self.pop();
        }
        if self.queue.capacity() > 4 * self.queue.len() + 4 * STALE_SLACK {
            self.compact();
        }
    }

    /// Number of entries examined so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Number of bytes allocated.
    pub(super) fn bytes(&self) -> usize {
        self.queue.capacity() * size_of::<Departure>() + self.index.bytes()
    }

    fn is_for(&self, sequence: u32, destination: DestinationId) -> bool {
        entry(&self.queue, self.front, sequence, &self.visited)
            .is_some_and(|entry| entry.destination == destination)
    }

    /// Whether the entry with this sequence number is the current one of its destination.
    fn is_current(&self, sequence: u32, destination: DestinationId) -> bool {
        self.index.find(self.hasher.hash_one(destination), |other| *other == sequence).is_some()
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
        self.index.remove(hash, |other| *other == sequence);
        self.queue.pop_front();
        self.front = self.front.wrapping_add(1);
    }

    /// Frees the memory of the stale entries.
    fn compact(&mut self) {
        let old_queue = std::mem::take(&mut self.queue);
        let index = std::mem::take(&mut self.index);
        let current_positions: Vec<u32> =
            index.into_entries().map(|sequence| sequence.wrapping_sub(self.front)).collect();
        self.visited.set(self.visited.get() + old_queue.len() as u64);
        let mut current_flags = vec![false; old_queue.len()];
        for position in current_positions {
            if let Some(is_current) = current_flags.get_mut(position as usize) {
                *is_current = true;
            }
        }
        self.front = 0;
        for (departure, is_current) in old_queue.into_iter().zip(current_flags) {
            if is_current {
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
