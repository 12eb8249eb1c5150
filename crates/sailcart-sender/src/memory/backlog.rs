//! Changes of the journal that have happened and that the folder has not taken yet, in their order. Only what follows from the past
//! stands here: how calls came back, ends, notices that were acknowledged. What must stand on the disk before it happens is refused
//! instead, so a backlog holds three groups for each packet that was kept when the folder began to fail, at most.

use std::collections::{BTreeMap, VecDeque};

use sailcart::PacketId;
use sailcart_store::Change;

use super::records::Key;

/// A change that owns its bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnedChange {
    Put(Key, Vec<u8>),
    End(Key),
}

impl OwnedChange {
    /// As the store takes it.
    pub fn as_change(&self) -> Change<'_> {
        match self {
            OwnedChange::Put(key, value) => Change::Put(key, value),
            OwnedChange::End(key) => Change::End(key),
        }
    }
}

/// Changes about one packet that count together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    pub packet: PacketId,
    pub changes: Vec<OwnedChange>,
}

impl Group {
    /// As the store takes them.
    pub fn as_changes(&self) -> Vec<Change<'_>> {
        self.changes.iter().map(OwnedChange::as_change).collect()
    }
}

/// Groups in the order in which they happened.
#[derive(Debug, Default)]
pub struct Backlog {
    groups: VecDeque<Group>,
    /// How many groups each packet has here.
    by_packet: BTreeMap<PacketId, u32>,
}

impl Backlog {
    pub fn push(&mut self, group: Group) {
        *self.by_packet.entry(group.packet).or_default() += 1;
        self.groups.push_back(group);
    }

    /// The group that is due next.
    pub fn first(&self) -> Option<&Group> {
        self.groups.front()
    }

    /// The first group has been written.
    pub fn written(&mut self) {
        let Some(group) = self.groups.pop_front() else { return };
        if let Some(count) = self.by_packet.get_mut(&group.packet) {
            *count -= 1;
            if *count == 0 {
                self.by_packet.remove(&group.packet);
            }
        }
    }

    /// Whether something about a packet is still to be written.
    pub fn concerns(&self, packet: PacketId) -> bool {
        self.by_packet.contains_key(&packet)
    }

    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    pub fn len(&self) -> usize {
        self.groups.len()
    }
}
