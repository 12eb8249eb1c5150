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
    /// The same packets by key.
    by_key: BTreeSet<(KeyId, PacketId)>,
}

impl UnacknowledgedNotices {
    /// Starts with the notices that a previous process left pending.
    pub fn new(recovered: impl Iterator<Item = PacketId>) -> Self {
        UnacknowledgedNotices { without_key: recovered.collect(), ..Self::default() }
    }

    /// Records that a notice is pending for a packet with this key.
    pub fn insert(&mut self, number: PacketId, key: KeyId) {
        if let Some(previous) = self.keys.insert(number, key) {
            self.by_key.remove(&(previous, number));
        }
        self.by_key.insert((key, number));
    }

    /// Records that the platform has acknowledged the notices of these packets.
    pub fn remove(&mut self, numbers: &[PacketId]) {
        for number in numbers {
            self.without_key.remove(number);
            if let Some(key) = self.keys.remove(number) {
                self.by_key.remove(&(key, *number));
            }
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
            || self.by_key.range((key, PacketId(0))..(key, number)).next().is_some()
    }
}
