//! A queue of events ordered by time; events of the same time keep the order in which they were added.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

struct Entry<E> {
    key: Reverse<(Duration, u64)>,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key.cmp(&other.key)
    }
}

/// The events that have not happened yet.
pub struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    next_sequence: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), next_sequence: 0 }
    }
}

impl<E> Queue<E> {
    /// Adds an event that happens at `at`.
    pub fn push(&mut self, at: Duration, event: E) {
        self.heap.push(Entry { key: Reverse((at, self.next_sequence)), event });
        self.next_sequence += 1;
    }

    /// Removes the earliest event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.heap.pop().map(|entry| (entry.key.0.0, entry.event))
    }
}
