//! An ordered map that counts the entries it accesses. With that count a test can tell work proportional to
//! what changed from work proportional to the whole destination list, on any machine and without a clock.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::ops::Index;

/// A `BTreeMap` that counts the entries that are looked up or iterated over.
pub struct CountingMap<K, V> {
    entries: BTreeMap<K, V>,
    visited: Cell<u64>,
}

impl<K, V> Default for CountingMap<K, V> {
    fn default() -> Self {
        CountingMap { entries: BTreeMap::new(), visited: Cell::new(0) }
    }
}

impl<K: Ord, V> CountingMap<K, V> {
    /// Number of entries accessed since the map was created.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn count_visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        self.count_visit();
        self.entries.get(key)
    }

    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.count_visit();
        self.entries.get_mut(key)
    }

    pub fn contains_key(&self, key: &K) -> bool {
        self.get(key).is_some()
    }

    pub fn entry(&mut self, key: K) -> btree_map::Entry<'_, K, V> {
        self.count_visit();
        self.entries.entry(key)
    }

    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        self.count_visit();
        self.entries.insert(key, value)
    }

    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.count_visit();
        self.entries.remove(key)
    }

    /// Removes an entry unless `keep` holds for it. Returns whether the map contains the key afterwards.
    pub fn retain_one(&mut self, key: &K, keep: impl FnOnce(&V) -> bool) -> bool {
        let retained = self.get(key).is_some_and(keep);
        if !retained {
            self.entries.remove(key);
        }
        retained
    }

    pub fn remove_all(&mut self, keys: &BTreeSet<K>) {
        for key in keys {
            self.remove(key);
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().inspect(|_| self.count_visit())
    }

    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.iter().map(|(key, _)| key)
    }

    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.iter().map(|(_, value)| value)
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        let visited = &self.visited;
        self.entries.values_mut().inspect(|_| visited.set(visited.get() + 1))
    }
}

impl<K: Ord, V> Index<&K> for CountingMap<K, V> {
    type Output = V;

    fn index(&self, key: &K) -> &V {
        self.count_visit();
        &self.entries[key]
    }
}
