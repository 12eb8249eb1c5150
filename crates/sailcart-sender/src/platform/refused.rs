//! Notices that the platform answered with 400. One that cannot be read would take all others of its call along, and an answer may be
//! spoilt: so each of them goes alone from then on, the one that was refused least first, and is given up after a number of tries only.

use std::collections::BTreeMap;

use sailcart::PacketId;

/// Tries after which a notice is given up: with the pauses between them over five seconds for one notice alone.
const MOST_TRIES: u32 = 100;

/// How often each notice was refused.
#[derive(Debug, Default)]
pub struct Refused {
    tries: BTreeMap<PacketId, u32>,
    /// The last call was one of these.
    was_alone: bool,
}

impl Refused {
    pub fn contains(&self, id: PacketId) -> bool {
        self.tries.contains_key(&id)
    }

    /// The one that goes alone with the next call: the least refused, in turn with those that were never refused, if there are any.
    pub fn alone(&mut self, others_wait: bool) -> Option<PacketId> {
        let least = self.tries.iter().min_by_key(|(_, tries)| **tries).map(|(id, _)| *id);
        let alone = least.filter(|_| !others_wait || !self.was_alone);
        self.was_alone = alone.is_some();
        alone
    }

    /// These were refused together. Tells those that are given up.
    pub fn note(&mut self, ids: &[PacketId]) -> Vec<PacketId> {
        for id in ids {
            *self.tries.entry(*id).or_default() += 1;
        }
        let over = |id: &&PacketId| self.tries.get(id).is_some_and(|tries| *tries >= MOST_TRIES);
        let given_up: Vec<PacketId> = ids.iter().filter(over).copied().collect();
        self.forget(&given_up);
        given_up
    }

    /// The platform has these, or they were given up.
    pub fn forget(&mut self, ids: &[PacketId]) {
        for id in ids {
            self.tries.remove(id);
        }
    }
}
