//! Ends that were decided and that the platform has not heard of: what follows in the order of their keys waits for them.

use std::collections::{BTreeMap, BTreeSet};

use sailcart::{KeyId, PacketId};

#[derive(Debug, Default)]
pub struct Untold {
    /// Owed by an earlier life, which kept no keys: each may go before any.
    unknown: BTreeSet<PacketId>,
    keys: BTreeMap<PacketId, KeyId>,
}

impl Untold {
    pub fn new(earlier: impl Iterator<Item = PacketId>) -> Self {
        Untold { unknown: earlier.collect(), keys: BTreeMap::new() }
    }

    pub fn owe(&mut self, id: PacketId, key: KeyId) {
        self.keys.insert(id, key);
    }

    pub fn told(&mut self, ids: &[PacketId]) {
        for id in ids {
            self.unknown.remove(id);
            self.keys.remove(id);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.unknown.is_empty() && self.keys.is_empty()
    }

    /// Whether one is owed for what was taken before a packet and may have its key.
    pub fn before(&self, id: PacketId, key: KeyId) -> bool {
        self.unknown.range(..id).next().is_some() || self.keys.range(..id).any(|(_, other)| *other == key)
    }
}
