//! Tracks which pending notices hold back later packets of the same key.
//!
//! A packet in per-key order must not be dispatched before the platform has acknowledged the notices of the
//! packets that precede it.

use std::collections::{BTreeMap, BTreeSet};

use sailcart::{KeyId, PacketId};

/// Packets that completed without being delivered and whose notices the platform has not acknowledged.
#[derive(Debug, Default)]
pub struct UnacknowledgedNotices {
    /// From the previous process. The journal does not store their keys, so each may precede any packet.
    without_key: BTreeSet<PacketId>,
    keys: BTreeMap<PacketId, KeyId>,
}

impl UnacknowledgedNotices {
    /// Starts with the notices that a previous process left pending.
    pub fn new(recovered: impl Iterator<Item = PacketId>) -> Self {
        UnacknowledgedNotices { without_key: recovered.collect(), keys: BTreeMap::new() }
    }

    /// Records that a notice is pending for a packet with this key.
    pub fn insert(&mut self, number: PacketId, key: KeyId) {
        self.keys.insert(number, key);
    }

    /// Records that the platform has acknowledged the notices of these packets.
    pub fn remove(&mut self, numbers: &[PacketId]) {
        for number in numbers {
            self.without_key.remove(number);
            self.keys.remove(number);
        }
    }

    /// Whether no notice holds back any packet.
    pub fn is_empty(&self) -> bool {
        self.without_key.is_empty() && self.keys.is_empty()
    }

    /// Whether a notice is pending for a packet that was accepted before this one and has, or may have, its
    /// key.
    pub fn any_before(&self, number: PacketId, key: KeyId) -> bool {
        self.without_key.range(..number).next().is_some()
            || self.keys.range(..number).any(|(_, other)| *other == key)
    }
}
