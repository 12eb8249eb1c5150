//! A hash index that is partitioned, so that no single insertion has to rehash all of it.

use std::mem::size_of;

use hashbrown::HashTable;

/// Number of partitions. A table rehashes all its entries when it grows; here only one partition grows at a
/// time.
const PARTITIONS: usize = 64;
/// Lowest bit of a hash that selects the partition. The hash table uses the bits at both ends to locate an
/// entry.
const PARTITION_SHIFT: u32 = 40;

/// A hash index of entries whose keys only the caller knows: it passes their hashes and compares them.
pub(in crate::exchange) struct Index<T> {
    /// Empty until the first insertion.
    partitions: Vec<HashTable<T>>,
    len: usize,
}

impl<T> Default for Index<T> {
    fn default() -> Self {
        Index { partitions: Vec::new(), len: 0 }
    }
}

impl<T> Index<T> {
    pub(in crate::exchange) fn find(&self, hash: u64, matches: impl FnMut(&T) -> bool) -> Option<&T> {
        self.partitions.get(partition(hash))?.find(hash, matches)
    }

    /// Inserts an entry. The index must not contain an equal one.
    pub(in crate::exchange) fn insert(&mut self, hash: u64, entry: T, rehash: impl Fn(&T) -> u64) {
        if self.partitions.is_empty() {
            self.partitions.resize_with(PARTITIONS, HashTable::new);
        }
        if let Some(table) = self.partitions.get_mut(partition(hash)) {
            table.insert_unique(hash, entry, rehash);
            self.len += 1;
        }
    }

    /// Removes an entry; returns whether there was one.
    pub(in crate::exchange) fn remove(&mut self, hash: u64, matches: impl FnMut(&T) -> bool) -> bool {
        let found =
            self.partitions.get_mut(partition(hash)).and_then(|table| table.find_entry(hash, matches).ok());
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
        self.partitions.into_iter().flatten()
    }

    /// Number of bytes allocated.
    pub(in crate::exchange) fn bytes(&self) -> usize {
        let partitions = self.partitions.capacity() * size_of::<HashTable<T>>();
        partitions + self.partitions.iter().map(HashTable::allocation_size).sum::<usize>()
    }
}

fn partition(hash: u64) -> usize {
    (hash >> PARTITION_SHIFT) as usize % PARTITIONS
}
