//! Journal changes that have happened but could not be written to the state folder yet, in order.
//!
//! The backlog holds only consequences of past events: outcomes of calls, completions of packets and
//! acknowledgements of notices. An action that needs its record on disk first is refused instead. So the
//! backlog holds at most three groups for each packet that was held when the folder began to fail.

use std::collections::{BTreeMap, VecDeque};

use sailcart::PacketId;
use sailcart_store::Change;

use super::records::Key;

/// A [`Change`] that owns its bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnedChange {
    Put(Key, Vec<u8>),
    Delete(Key),
}

impl OwnedChange {
    /// Borrows the change in the form that the store accepts.
    pub fn as_change(&self) -> Change<'_> {
        match self {
            OwnedChange::Put(key, value) => Change::Put(key, value),
            OwnedChange::Delete(key) => Change::Delete(key),
        }
    }
}

/// Changes to the records of one packet that are written atomically.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeGroup {
    pub packet: PacketId,
    pub changes: Vec<OwnedChange>,
}

impl ChangeGroup {
    /// Borrows the changes in the form that the store accepts.
    pub fn as_changes(&self) -> Vec<Change<'_>> {
        self.changes.iter().map(OwnedChange::as_change).collect()
    }
}

/// A first-in, first-out queue of change groups.
#[derive(Debug, Default)]
pub struct Backlog {
    groups: VecDeque<ChangeGroup>,
    group_counts: BTreeMap<PacketId, u32>,
}

impl Backlog {
    /// Appends a group.
    pub fn push(&mut self, group: ChangeGroup) {
        *self.group_counts.entry(group.packet).or_default() += 1;
        self.groups.push_back(group);
    }

    /// The group to be written next.
    pub fn first(&self) -> Option<&ChangeGroup> {
        self.groups.front()
    }

    /// Removes the first group once it has been written.
    pub fn remove_first(&mut self) {
        let Some(group) = self.groups.pop_front() else { return };
        if let Some(count) = self.group_counts.get_mut(&group.packet) {
            *count -= 1;
            if *count == 0 {
                self.group_counts.remove(&group.packet);
            }
        }
    }

    /// Whether a group of this packet is still unwritten.
    pub fn contains(&self, packet: PacketId) -> bool {
        self.group_counts.contains_key(&packet)
    }

    /// Whether all groups have been written.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// The number of unwritten groups.
    pub fn len(&self) -> usize {
        self.groups.len()
    }
}
