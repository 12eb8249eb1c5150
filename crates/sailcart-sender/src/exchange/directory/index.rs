//! A hash index that grows in small parts.

use std::mem::size_of;

use hashbrown::HashTable;

/// A table that grows looks at all that it holds: one of this many parts of the index at a time.
const PARTS: usize = 64;
/// From this bit on, a hash tells the part; its ends tell the place within.
const PART_BITS: u32 = 40;

/// Entries by their hash. What an entry stands for, and so its hash, only the caller knows.
pub(in crate::exchange) struct Index<T> {
    parts: Vec<HashTable<T>>,
    len: usize,
}

impl<T> Default for Index<T> {
    fn default() -> Self {
        Index { parts: Vec::new(), len: 0 }
    }
}

impl<T> Index<T> {
    pub(in crate::exchange) fn find(&self, hash: u64, is: impl FnMut(&T) -> bool) -> Option<&T> {
        self.parts.get(part(hash))?.find(hash, is)
    }

    /// Enters what is not in it yet.
    pub(in crate::exchange) fn insert(&mut self, hash: u64, entry: T, rehash: impl Fn(&T) -> u64) {
        if self.parts.is_empty() {
            self.parts.resize_with(PARTS, HashTable::new);
        }
        if let Some(part) = self.parts.get_mut(part(hash)) {
            part.insert_unique(hash, entry, rehash);
            self.len += 1;
        }
    }

    /// Whether there was one.
    pub(in crate::exchange) fn remove(&mut self, hash: u64, is: impl FnMut(&T) -> bool) -> bool {
        let found = self.parts.get_mut(part(hash)).and_then(|part| part.find_entry(hash, is).ok());
        let removed = found.map(|entry| entry.remove()).is_some();
        self.len -= usize::from(removed);
        removed
    }

    pub(in crate::exchange) fn len(&self) -> usize {
        self.len
    }

    pub(in crate::exchange) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(in crate::exchange) fn into_entries(self) -> impl Iterator<Item = T> {
        self.parts.into_iter().flatten()
    }

    /// Bytes allocated.
    pub(in crate::exchange) fn bytes(&self) -> usize {
        let parts = self.parts.capacity() * size_of::<HashTable<T>>();
        parts + self.parts.iter().map(HashTable::allocation_size).sum::<usize>()
    }
}

fn part(hash: u64) -> usize {
    (hash >> PART_BITS) as usize % PARTS
}
