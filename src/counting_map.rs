//! An ordered map that counts the entries that are looked at. By that count a test tells work in step with what
//! changed from work in step with all that is listed, on any machine and without a clock. State, no decision.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::ops::Index;

pub struct Table<K, V> {
    entries: BTreeMap<K, V>,
    visited: Cell<u64>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Table { entries: BTreeMap::new(), visited: Cell::new(0) }
    }
}

impl<K: Ord, V> Table<K, V> {
    /// Entries looked at since the table was made.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn count(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        self.count();
        self.entries.get(key)
    }

    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.count();
        self.entries.get_mut(key)
    }

    pub fn contains_key(&self, key: &K) -> bool {
        self.get(key).is_some()
    }

    pub fn entry(&mut self, key: K) -> btree_map::Entry<'_, K, V> {
        self.count();
        self.entries.entry(key)
    }

    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        self.count();
        self.entries.insert(key, value)
    }

    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.count();
        self.entries.remove(key)
    }

    /// Removes an entry that does not stay; tells whether it is there now.
    pub fn retain_one(&mut self, key: &K, stays: impl FnOnce(&V) -> bool) -> bool {
        let kept = self.get(key).is_some_and(stays);
        if !kept {
            self.entries.remove(key);
        }
        kept
    }

    pub fn remove_all(&mut self, keys: &BTreeSet<K>) {
        for key in keys {
            self.remove(key);
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().inspect(|_| self.count())
    }

    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.iter().map(|(key, _)| key)
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        let visited = &self.visited;
        self.entries.values_mut().inspect(|_| visited.set(visited.get() + 1))
    }
}

impl<K: Ord, V> Index<&K> for Table<K, V> {
    type Output = V;

    fn index(&self, key: &K) -> &V {
        self.count();
        &self.entries[key]
    }
}
